"""Opaque flows: entry VMs that forward packets of flows whose bytes only the two ends read."""
