under("kill_upstream")
