"""gorsefork: a quota-keeping ingress and its decisions."""
