"""The fabric's view of one entry VM's readiness."""

# Seconds between two probes, and misses in a row after which an entry VM gets no packets.
PROBE_INTERVAL_SECONDS = 0.5
FAILED_PROBES_UNTIL_OUT = 2


class Rotation:
    """Whether the fabric sends packets to an entry VM.

    Attributes:
        is_in: it does.
    """

    def __init__(self) -> None:
        self.is_in = False
        self._failed_probes = 0

    def record_probe(self, ready: bool) -> None:
        """Takes the outcome of a probe."""
        self._failed_probes = 0 if ready else self._failed_probes + 1
        if ready:
            self.is_in = True
        elif self._failed_probes >= FAILED_PROBES_UNTIL_OUT:
            self.is_in = False
