-- After taking a data centre out is accepted, no task starts there and tasks run in
-- the others. After it is taken back in, tasks start there again.
start{entries = 2, agents = 3}
for i = 1, 6 do submit{entry = i % 2 + 1, tasks = 20, ms = 40} end
local state, at = set_data_centre("out", "dc-1", 2)
expect(state == "accepted", "the change is accepted")
for i = 1, 6 do submit{entry = i % 2 + 1, tasks = 10, ms = 20} end
wait_for_answers()
expect(count_starts_after(1, at) == 0, "no start in dc-1 after acceptance")
expect(count_starts_after(2, at) + count_starts_after(3, at) > 0, "tasks start in the other data centres")
state, at = set_data_centre("in", "dc-1", 2)
expect(state == "accepted", "taking it back in is accepted")
wait_until("starts in dc-1", function()
  submit{entry = 1, tasks = 12, ms = 20}
  wait_for_answers()
  return count_starts_after(1, at) > 0
end)
check_invariants()
