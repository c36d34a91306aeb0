under("pause_entry")
