"""Marjoramford: a layer-4 load balancer that keeps established flows intact."""

__version__ = "0.1.0"
