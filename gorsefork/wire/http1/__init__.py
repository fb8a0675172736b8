"""HTTP/1.1: what both sides of several services share."""
