-- An upstream that says it is leaving gets no new work.
start{entries = 2, agents = 2}
upstream_faults(1, '{"leaving":true}')
wait(3000)
local at = sys.now_us()
for i = 1, 8 do submit{entry = i % 2 + 1, tasks = 10, ms = 20} end
settle()
expect(starts_after(1, at) == 0, "no start there")
expect(check() == 8, "all jobs are complete")
