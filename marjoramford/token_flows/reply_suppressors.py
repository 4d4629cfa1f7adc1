"""Withholding of replies while this entry VM is probably on the minority side of a partition."""

from ..shared.entry_vms import EntryVms

SUPPRESSION_SECONDS = 1.0
MAX_SUPPRESSED_KEYS = 10_000


class ReplySuppressor:
    """Withholds replies while most other entry VMs are unreachable.

    The fabric delivers the caller's retransmission to another entry VM, which may have better
    information. If the same message still arrives here `SUPPRESSION_SECONDS` after it first did,
    the caller has no better entry VM to ask, and this one replies.
    """

    def __init__(self, entry_vms: EntryVms):
        self._entry_vms = entry_vms
        self._first_request_at: dict[int, float] = {}

    def forget_after_heal(self) -> None:
        """Forgets all messages if the partition is over, so that the next one starts anew."""
        if not self._entry_vms.is_in_minority():
            self._first_request_at.clear()

    def suppresses_reply(self, key: int, now: float) -> bool:
        """Returns whether to withhold the reply to a message from a caller.

        Args:
            key: equal in all retransmissions of the message: the nonce of an `Open`, or the flow
                number if the coordinator of the flow is lost.
            now: epoch seconds.
        """
        self.forget_after_heal()
        if not self._entry_vms.is_in_minority():
            return False
        if len(self._first_request_at) >= MAX_SUPPRESSED_KEYS:
            self._first_request_at.clear()
        return now - self._first_request_at.setdefault(key, now) < SUPPRESSION_SECONDS
