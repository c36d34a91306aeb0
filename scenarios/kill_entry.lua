run_with_faults("kill_entry")
