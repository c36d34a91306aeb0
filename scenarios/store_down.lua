under("store_down")
