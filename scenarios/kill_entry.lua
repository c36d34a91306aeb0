under("kill_entry")
