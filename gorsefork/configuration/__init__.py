"""Configuration that every ingress holds: records, digests of them, replication and snapshots. No I/O."""
