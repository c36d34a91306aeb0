local names = io.open(WORK .. "/pair"):read("l")
local first, second = names:match("([%w_]+)%+([%w_]+)")
under(first, second)
