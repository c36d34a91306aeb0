-- Without faults every job completes with all of its own outputs.
start{entries = 2, agents = 3}
for i = 1, 12 do submit{entry = i % 2 + 1, tasks = 10, ms = 20} end
wait_for_answers()
expect(check_invariants() == 12, "all jobs are complete")
