"""Experiments, comparisons with baselines, and benchmarks on the stand-ins."""
