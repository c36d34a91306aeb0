run_with_faults("pause_entry")
