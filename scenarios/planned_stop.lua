-- A planned stop of an agent and of an entry interrupts no job: each accepted job
-- completes.
start{entries = 2, agents = 2}
local list = {}
for i = 1, 8 do list[i] = submit{entry = i % 2 + 1, tasks = 10, ms = 200} end
stop("agent-1")
stop("entry-1")
wait_for_answers()
wait_until("agent-1 to stop", function() return has_stopped("agent-1") end)
wait_until("entry-1 to stop", function() return has_stopped("entry-1") end)
local count = check_invariants()
for _, job in ipairs(list) do
  local accepted = job.name ~= "DRAINING"
  expect(not accepted or job.state == "complete", "an accepted job is complete")
end
expect(count >= 4, "at least the jobs of the other entry are complete")
