-- A planned stop of an agent and of an entry cuts off nothing.
start{entries = 2, agents = 2}
for i = 1, 8 do submit{entry = i % 2 + 1, tasks = 10, ms = 200} end
stop("agent-1")
stop("entry-1")
settle()
wait_until("both have stopped", function() return has_stopped("agent-1") end)
wait_until("the entry has stopped", function() return has_stopped("entry-1") end)
expect(check() == 8, "all jobs are complete")
