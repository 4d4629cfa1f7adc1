"""Flows with tokens: entry VMs that handle single requests of the callers."""
