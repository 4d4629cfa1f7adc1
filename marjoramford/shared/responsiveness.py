"""One entry VM's evidence that a backend server answers."""

import msgspec

# A caller retransmits unacknowledged data at least every 1.6 s. After a longer gap its packets have
# taken another path, and what happened in between is not known here.
MAX_RETRANSMISSION_GAP_SECONDS = 2.0


class Responsiveness(msgspec.Struct, eq=False):
    """One entry VM's evidence that a server answers, over all flows to it.

    Attributes:
        answered_at: last sign of life, on the monotonic clock in seconds.
        unanswered: retransmissions by callers since then.
        silent_since: when the oldest of the retransmitted packets was first forwarded.
        suspected_until: not chosen for new flows before this time if another server can be.
        last_retransmission_at: when a caller last retransmitted a packet.
        counted_at: when the latest retransmission that counts in `unanswered` arrived.
    """

    answered_at: float = float("-inf")
    unanswered: int = 0
    silent_since: float = float("inf")
    # `name` keeps the keys of the state dump.
    suspected_until: float = msgspec.field(default=float("-inf"), name="doubted_until")
    last_retransmission_at: float = msgspec.field(default=float("-inf"), name="repeated_at")
    counted_at: float = float("-inf")

    def answer_age(self, now: float) -> float | None:
        """Returns the seconds since the last sign of life, rounded for logs; None without one."""
        return round(now - self.answered_at, 3) if self.answered_at > float("-inf") else None

    def record_answer(self, now: float) -> None:
        """Records a sign of life and clears all suspicion."""
        self.answered_at = now
        self.discard_evidence()

    def record_retransmission(
        self, waiting_since: float, now: float, suspicion_seconds: float, flow_rounds: int = 1
    ) -> None:
        """Records the retransmission of a packet that was first forwarded at `waiting_since`.

        It does not count if the server has answered since then. Retransmissions that are more than
        `MAX_RETRANSMISSION_GAP_SECONDS` apart belong to separate incidents and do not add up,
        except those of one flow, whose data is then still unanswered: `flow_rounds`, with this one.
        """
        self.last_retransmission_at = now
        if waiting_since < self.answered_at:
            return
        if now - self.counted_at > MAX_RETRANSMISSION_GAP_SECONDS:
            self.unanswered = flow_rounds - 1
            self.silent_since = float("inf")
        self.unanswered += 1
        self.counted_at = now
        self.silent_since = min(self.silent_since, waiting_since)
        self.suspect(now + suspicion_seconds)

    def suspect(self, until: float) -> None:
        """Keeps the server from being chosen for new flows until a time, if another one can be."""
        self.suspected_until = max(self.suspected_until, until)

    def discard_evidence(self) -> None:
        """Discards all evidence of silence."""
        self.unanswered = 0
        self.silent_since = float("inf")
        self.suspected_until = float("-inf")
