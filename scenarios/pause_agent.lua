run_with_faults("pause_agent")
