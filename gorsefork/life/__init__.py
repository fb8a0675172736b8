"""Start and stop: the configuration, the parts put together, and the drain."""
