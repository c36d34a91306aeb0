under("cut_agent")
