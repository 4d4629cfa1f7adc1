"""Adapter to the users' platform: translates its settings, packets and published entries."""
