"""What an entry VM that is probably cut off leaves to the others at first."""

from .entry_vms import EntryVms

DOUBT_SECONDS = 1.0
MAX_DOUBTS = 10_000


class Doubts:
    """Holds an answer back while most other entry VMs cannot be reached.

    The fabric hands the caller's repetition to another entry VM, which may know better. If the
    same question still comes here after `DOUBT_SECONDS`, the caller has no better choice.
    """

    def __init__(self, entry_vms: EntryVms):
        self._entry_vms = entry_vms
        self._since: dict[int, float] = {}

    def holds_back(self, key: int, now: float) -> bool:
        """Tells whether to stay silent on the question identified by `key`."""
        if not self._entry_vms.is_in_minority():
            return False
        if len(self._since) >= MAX_DOUBTS:
            self._since.clear()
        return now - self._since.setdefault(key, now) < DOUBT_SECONDS
