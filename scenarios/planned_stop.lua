-- A planned stop of an agent and of an entry cuts off nothing.
start{entries = 2, agents = 2}
local list = {}
for i = 1, 8 do list[i] = submit{entry = i % 2 + 1, tasks = 10, ms = 200} end
stop("agent-1")
stop("entry-1")
settle()
wait_until("both have stopped", function() return has_stopped("agent-1") end)
wait_until("the entry has stopped", function() return has_stopped("entry-1") end)
local count = check()
for _, job in ipairs(list) do
  local taken_in = job.name ~= "DRAINING"
  expect(not taken_in or job.state == "complete", "what was taken in is complete")
end
expect(count >= 4, "the jobs of the other entry are complete")
