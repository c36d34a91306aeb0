under("kill_agent")
