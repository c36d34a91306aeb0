run_with_faults("store_down")
