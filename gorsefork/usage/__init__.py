"""Use, recorded and exported once: numbers, batches, what to send next. No I/O, no clock, no wire."""
