"""What an entry VM that is probably cut off leaves to the others at first."""

from .entry_vms import EntryVms

HOLDBACK_SECONDS = 1.0
MAX_HELD_BACK_KEYS = 10_000


class ReplyHoldback:
    """Holds an answer back while most other entry VMs cannot be reached.

    The fabric hands the caller's repetition to another entry VM, which may know better. If the
    same question still comes here after `HOLDBACK_SECONDS`, the caller has no better choice.
    """

    def __init__(self, entry_vms: EntryVms):
        self._entry_vms = entry_vms
        self._first_asked_at: dict[int, float] = {}

    def withholds_reply(self, key: int, now: float) -> bool:
        """Tells whether to stay silent on the question identified by `key`."""
        if not self._entry_vms.is_in_minority():
            return False
        if len(self._first_asked_at) >= MAX_HELD_BACK_KEYS:
            self._first_asked_at.clear()
        return now - self._first_asked_at.setdefault(key, now) < HOLDBACK_SECONDS
