"""Marjoramford: a layer-4 load balancer that keeps established flows whole."""

__version__ = "0.1.0"
