"""Stand-ins for the systems around marjoramford: platform, fabric, backend servers, callers.

Each has a model without I/O, which tests and experiments drive with a virtual clock, and a thin
task that runs the model on sockets.
"""
