run_with_faults("upstream_fails")
