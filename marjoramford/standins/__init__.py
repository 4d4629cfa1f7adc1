"""Stand-ins for the systems around marjoramford: platform, fabric, backend servers, callers.

Each system has a model without I/O, which tests and experiments drive with a virtual clock, and
a thin adapter that runs the model on sockets.
"""
