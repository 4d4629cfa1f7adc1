"""Decisions on backend servers that do not answer.

Load patterns: servers fall silent under steady load (power loss, a zone cut off) while the
published list still shows them for seconds. Callers of their flows would send again until their
deadlines, and new flows would open towards nothing. What one entry VM sees is the callers' half:
packets sent again, and acknowledgements that move. And uploads that fill this entry VM's own narrow
link, so that packets to living servers are lost several times in a row.
"""

from collections import deque

import msgspec

from .flow_settings import SilenceSettings


class Responsiveness(msgspec.Struct, eq=False):
    """One entry VM's evidence that a server answers, over all flows to it.

    Attributes:
        answered_at: last sign of life, on the steady clock in seconds.
        unanswered: packets that callers sent again since then.
        silent_since: when the oldest of the packets sent again was first forwarded.
        last_retransmission_at: when a packet was sent again last.
        suspected_until: not chosen for new flows before this time, if others can be.
    """

    answered_at: float = float("-inf")
    unanswered: int = 0
    silent_since: float = float("inf")
    suspected_until: float = float("-inf")
    last_retransmission_at: float = float("-inf")

    def answer_age(self, now: float) -> float | None:
        """Returns the seconds since the last sign of life, for logs; None if there was none."""
        return round(now - self.answered_at, 3) if self.answered_at > float("-inf") else None

    def record_answer(self, now: float) -> None:
        """Notes a sign of life."""
        self.answered_at = now
        self.unanswered = 0
        self.silent_since = float("inf")
        self.suspected_until = float("-inf")

    def record_retransmission(
        self, waiting_since: float, now: float, suspicion_seconds: float
    ) -> None:
        """Notes a packet sent again whose first copy was forwarded at `waiting_since`."""
        if waiting_since < self.answered_at:
            return
        self.unanswered += 1
        self.last_retransmission_at = now
        self.silent_since = min(self.silent_since, waiting_since)
        self.suspected_until = max(self.suspected_until, now + suspicion_seconds)

    def discard_evidence(self) -> None:
        """Drops evidence gathered while this entry VM itself stood still."""
        self.unanswered = 0
        self.silent_since = float("inf")
        self.suspected_until = float("-inf")


class LossDetector:
    """Tells whether packets are being lost here on their way to living servers.

    A server that answers after packets were sent again lives, so those packets were lost.
    """

    def __init__(self, settings: SilenceSettings):
        self._settings = settings
        self._losses: deque[float] = deque(maxlen=settings.lossy_losses)

    def record_loss(self, now: float) -> None:
        """Notes packets that turned out to be lost."""
        self._losses.append(now)

    def is_lossy(self, now: float) -> bool:
        """Tells whether there were several losses lately."""
        losses = self._losses
        full = len(losses) == self._settings.lossy_losses
        return full and now - losses[0] <= self._settings.lossy_seconds


class ListStatus(msgspec.Struct, frozen=True):
    """What the published list says of a server.

    Attributes:
        unlisted_since: when its entry left the list; None while it is listed.
        gone: whether the entry is missing for so long that it will not come back.
    """

    unlisted_since: float | None
    gone: bool


def is_dead(
    server: Responsiveness,
    list_status: ListStatus,
    flow_rounds: int,
    lossy: bool,
    now: float,
    settings: SilenceSettings,
) -> bool:
    """Tells whether a flow's server is taken for dead, so that the flow may be reset.

    A server that answers is alive, whatever the list says.

    Args:
        server: this entry VM's evidence.
        list_status: what the published list says.
        lossy: whether packets to living servers are being lost here; doubles the bounds.
        now: time on the steady clock, in seconds.
        settings: bounds on the evidence.
        flow_rounds: rounds in which this flow's oldest data was sent again since its last answer.
    """
    unlisted_since = list_status.unlisted_since
    unlisted = unlisted_since is not None and server.answered_at < unlisted_since
    if list_status.gone and unlisted:
        return True
    if flow_rounds == 0 or server.unanswered == 0:
        return False
    if now - server.last_retransmission_at < settings.answer_seconds:
        return False
    silence = now - server.silent_since
    factor = 2 if lossy else 1
    if unlisted:
        enough = server.unanswered >= factor * settings.unlisted_retransmissions
        return enough and silence >= factor * settings.unlisted_seconds
    enough = server.unanswered >= factor * settings.dead_retransmissions
    return enough and silence >= factor * settings.dead_seconds
