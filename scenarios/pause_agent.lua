under("pause_agent")
