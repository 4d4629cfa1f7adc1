"""Signals to which other code can connect to extend a daemon without changing it."""

from blinker import signal

started = signal("entry-vm-started")
drained = signal("entry-vm-drained")
stopped = signal("entry-vm-stopped")
