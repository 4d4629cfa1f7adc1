"""Labels in callers' packets that belong to no known server.

Load pattern: servers start and end while entry VMs restart or read their list late. A label that is
not listed may be that of a server whose entry is still on its way, so its flow must not be reset
before a list that was read late enough lacks the server too.
"""

# Far more than the servers that can start between two reads of the platform. Forged labels must not
# take unbounded memory.
MAX_UNKNOWN_LABELS = 1024


class UnknownLabels:
    """Remembers when each unknown label was first seen; evicts the oldest if there are too many."""

    def __init__(self) -> None:
        self._first_seen: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._first_seen)

    def record(self, label: int, now: float) -> float:
        """Records a packet with an unknown label; returns when the label was first seen."""
        first_seen = self._first_seen.setdefault(label, now)
        if len(self._first_seen) > MAX_UNKNOWN_LABELS:
            del self._first_seen[next(iter(self._first_seen))]
        return first_seen

    def evict(self, seen_before: float) -> None:
        """Forgets the labels that were first seen before a time."""
        for label, first_seen in list(self._first_seen.items()):
            if first_seen < seen_before:
                del self._first_seen[label]
