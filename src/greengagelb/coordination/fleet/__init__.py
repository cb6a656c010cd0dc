"""Fleet membership, the state of upstreams and the choice among them."""
