"""Adapter to the users' platform: its settings, packets and published entries, translated."""
