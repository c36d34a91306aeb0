under("store_slow")
