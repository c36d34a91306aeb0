-- A job submitted again and again, through each entry, is run once and
-- answered the same.
start{entries = 3, agents = 2}
local job = submit{entry = 1, tasks = 20, ms = 200}
for i = 1, 6 do resubmit(job, i % 3 + 1) end
settle()
for i = 1, 3 do resubmit(job, i) end
settle()
expect(check() == 1, "it is complete")
