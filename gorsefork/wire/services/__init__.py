"""Whom an ingress asks and tells, beside clients and tour boxes: the accounts, its fellows' books."""
