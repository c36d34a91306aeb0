-- An upstream that announces that it is leaving gets no new tasks.
start{entries = 2, agents = 2}
set_upstream_faults(1, '{"leaving":true}')
wait(3000)
local at = sys.now_us()
for i = 1, 8 do submit{entry = i % 2 + 1, tasks = 10, ms = 20} end
wait_for_answers()
expect(count_starts_after(1, at) == 0, "no start on the leaving upstream")
expect(check_invariants() == 8, "all jobs are complete")
