local names = io.open(WORK .. "/pair"):read("l")
local first, second = names:match("([%w_]+)%+([%w_]+)")
run_with_faults(first, second)
