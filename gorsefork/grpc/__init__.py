"""gRPC without its wire: deadlines, statuses, and what the end of a call means. No I/O, no clock."""
