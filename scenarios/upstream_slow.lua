under("upstream_slow")
