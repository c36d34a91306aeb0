under("silence_agent")
