"""Which contract a customer is on: the plan book, its changes and their order. No I/O, no clock, no wire."""
