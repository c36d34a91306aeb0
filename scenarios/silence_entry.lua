run_with_faults("silence_entry")
