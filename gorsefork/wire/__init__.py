"""What is spoken on the wire: the fronts, the tour boxes, discovery, the counter and the fellow ingresses."""
