run_with_faults("kill_upstream")
