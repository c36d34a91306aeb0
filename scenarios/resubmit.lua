-- A job submitted repeatedly through each entry runs once, and every answer is
-- consistent.
start{entries = 3, agents = 2}
local job = submit{entry = 1, tasks = 20, ms = 200}
for i = 1, 6 do resubmit(job, i % 3 + 1) end
wait_for_answers()
for i = 1, 3 do resubmit(job, i) end
wait_for_answers()
expect(check_invariants() == 1, "the job is complete")
