-- Jobs are cancelled while they run or wait. A job answered as "not run" must never
-- run.
start{entries = 2, agents = 1}
local list = {}
for i = 1, 10 do list[i] = submit{entry = i % 2 + 1, tasks = 10, ms = 100} end
for i = 10, 1, -2 do cancel(list[i], i % 2 + 1) end
wait_for_answers()
check_invariants()
