-- Once a data centre is accepted as out, no task starts there; work goes on
-- elsewhere, and there again after its return.
start{entries = 2, agents = 3}
for i = 1, 6 do submit{entry = i % 2 + 1, tasks = 20, ms = 40} end
local state, at = datacentre("out", "dc-1", 2)
expect(state == "accepted", "the change is accepted")
for i = 1, 6 do submit{entry = i % 2 + 1, tasks = 10, ms = 20} end
settle()
expect(starts_after(1, at) == 0, "no start there after it was accepted")
expect(starts_after(2, at) + starts_after(3, at) > 0, "work goes on elsewhere")
state, at = datacentre("in", "dc-1", 2)
expect(state == "accepted", "the return is accepted")
wait_until("starts there again", function()
  submit{entry = 1, tasks = 12, ms = 20}
  settle()
  return starts_after(1, at) > 0
end)
check()
