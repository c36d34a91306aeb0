under("silence_entry")
