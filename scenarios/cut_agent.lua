run_with_faults("cut_agent")
