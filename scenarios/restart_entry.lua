under("restart_entry")
