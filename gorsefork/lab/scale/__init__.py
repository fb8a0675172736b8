"""The scale run: the control code of hundreds of ingresses on one machine, measured.

Hollow ingresses run the real control code (the fleet's view, the configuration) with real sockets on loopback
and no data path, many to a process.
"""
