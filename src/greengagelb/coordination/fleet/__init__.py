"""Which instances and upstreams there are, and which one is chosen."""
