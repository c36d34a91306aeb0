run_with_faults("restart_entry")
