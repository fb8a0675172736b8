"""The fleet's own view: who is there, kept by the ingresses themselves. No I/O, no clock, no global
randomness."""
