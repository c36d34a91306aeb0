under("upstream_fails")
