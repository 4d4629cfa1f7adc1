"""Latency histograms, kept as plain counts and converted to metrics when scraped."""

from bisect import bisect_left

# Upper bounds of the histogram buckets, placed around the latency targets of the callers.
LATENCY_BOUNDS_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0)


class LatencyHistogram:
    """Number of observations per bucket, and their sum.

    Attributes:
        counts: observations per bucket, not cumulative; the last bucket has no upper bound.
        total_seconds: sum of all observations.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Adds one observation."""
        self.counts[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds
