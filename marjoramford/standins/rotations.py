"""The fabric's view of one entry VM's readiness."""

# Seconds between two probes, and misses in a row after which an entry VM gets no packets.
PROBE_SECONDS = 0.5
MISSES_UNTIL_OUT = 2


class Rotation:
    """Whether the fabric sends packets to an entry VM.

    Attributes:
        is_in: it does.
    """

    def __init__(self) -> None:
        self.is_in = False
        self._misses = 0

    def note_probe(self, ready: bool) -> None:
        """Takes the outcome of a probe."""
        self._misses = 0 if ready else self._misses + 1
        if ready:
            self.is_in = True
        elif self._misses >= MISSES_UNTIL_OUT:
            self.is_in = False
