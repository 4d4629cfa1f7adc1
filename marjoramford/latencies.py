"""Histograms of latencies, kept as plain counts until they are scraped."""

from bisect import bisect_left

# Upper bounds of the latency histograms, in seconds; around the callers' targets.
LATENCY_BOUNDS_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0)


class LatencyHistogram:
    """Counts of durations between fixed bounds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Counts one duration."""
        self.counts[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds
