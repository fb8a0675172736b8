"""Whom an ingress asks and tells, beside clients and backends: the accounts, its peers' books."""
