"""What is spoken on the wire: the fronts, the backends, discovery, the counter and the peers."""
