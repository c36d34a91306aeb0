-- Without a fault every job is complete, whole and its caller's own.
start{entries = 2, agents = 3}
for i = 1, 12 do submit{entry = i % 2 + 1, tasks = 10, ms = 20} end
settle()
expect(check() == 12, "all jobs are complete")
