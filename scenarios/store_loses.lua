under("store_loses")
