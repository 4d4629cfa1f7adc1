"""Readiness probing of entry VMs by the fabric."""

PROBE_INTERVAL_SECONDS = 0.5
# Consecutive failed probes after which an entry VM leaves rotation.
FAILED_PROBES_UNTIL_OUT = 2


class Rotation:
    """Rotation state of one entry VM.

    Attributes:
        is_in: whether the fabric sends packets to the entry VM.
    """

    def __init__(self) -> None:
        self.is_in = False
        self._failed_probes = 0

    def record_probe(self, ready: bool) -> None:
        """Updates the state with the result of a readiness probe."""
        self._failed_probes = 0 if ready else self._failed_probes + 1
        if ready:
            self.is_in = True
        elif self._failed_probes >= FAILED_PROBES_UNTIL_OUT:
            self.is_in = False
