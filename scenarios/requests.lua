-- An agent and an entry are killed while requests run. A non-idempotent request runs
-- at most once.
start{entries = 2, agents = 2}
for i = 1, 10 do request{entry = i % 2 + 1, idempotent = i > 5, ms = 300} end
kill("agent-1")
kill("entry-1")
wait_for_answers()
check_invariants()
