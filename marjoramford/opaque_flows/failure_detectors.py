"""Failure detection for backend servers that stop answering.

Load patterns: servers fall silent under steady load (power loss, a zone cut off) while the
published list still shows them for seconds. Without detection, callers would retransmit until their
deadlines, and new flows would open at dead servers. An entry VM sees only the callers' half of each
flow: retransmissions, and acknowledgements that advance. Uploads can also fill this entry VM's own
narrow link, so that packets to live servers are lost several times in a row.
"""

from collections import deque

import msgspec

from ..shared.responsiveness import MAX_RETRANSMISSION_GAP_SECONDS, Responsiveness
from .flow_settings import SilenceSettings

# Callers retransmit after 0.2 s; an answer that comes sooner was not held up on the own link.
QUICK_ANSWER_SECONDS = 0.2
# How long a quick answer proves that the own link is free.
LINK_PROOF_SECONDS = 0.5


class LossDetector:
    """Detects that packets from this entry VM to live servers are being lost.

    A server that answers after retransmissions is alive, so the packets before them count as lost,
    even if the answer was only late.
    """

    def __init__(self, settings: SilenceSettings):
        self._settings = settings
        self._losses: deque[float] = deque(maxlen=settings.lossy_losses)

    def record_loss(self, now: float) -> None:
        """Records that packets to a live server were lost."""
        self._losses.append(now)

    def is_lossy(self, now: float) -> bool:
        """Whether `lossy_losses` losses occurred within the last `lossy_seconds`."""
        losses = self._losses
        full = len(losses) == self._settings.lossy_losses
        return full and now - losses[0] <= self._settings.lossy_seconds


class OwnLinkMonitor:
    """Judges whether the silence of servers may be that of this entry VM's own link.

    A full link delays the packets that show answers, so all servers seem silent at once. Packets
    that were queued there arrive in order, so an answer without delay shows that the queue is gone.
    """

    def __init__(self) -> None:
        # Times of the latest retransmissions, oldest first.
        self._silent_servers: dict[str, float] = {}
        self._quick_answer_at = float("-inf")

    def record_retransmission(self, server: str, now: float) -> None:
        """Records a retransmission to a server."""
        silent = self._silent_servers
        silent.pop(server, None)
        silent[server] = now
        while now - silent[oldest := next(iter(silent))] > MAX_RETRANSMISSION_GAP_SECONDS:
            del silent[oldest]

    def record_answer(self, server: str, forwarded_at: float, now: float) -> None:
        """Records a server's answer to a packet that was first forwarded at `forwarded_at`."""
        self._silent_servers.pop(server, None)
        if now - forwarded_at <= QUICK_ANSWER_SECONDS:
            self._quick_answer_at = now

    def is_suspected(self, server: str, now: float) -> bool:
        """Whether a server's silence may be the link's.

        This is so if other servers are silent too, and none has lately answered without delay.
        """
        if now - self._quick_answer_at <= LINK_PROOF_SECONDS:
            return False
        return any(
            name != server and now - at <= MAX_RETRANSMISSION_GAP_SECONDS
            for name, at in self._silent_servers.items()
        )


class ListStatus(msgspec.Struct, frozen=True):
    """A server's status on the published list.

    Attributes:
        unlisted_since: when its entry left the list; None while it is listed.
        gone: whether its absence is confirmed or a newer incarnation replaced it; it can come back.
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
    link_suspected: bool = False,
) -> bool:
    """Returns whether a flow's server is considered dead, so that the flow may be reset.

    A server that answers is alive, whatever the list says.

    Args:
        server: this entry VM's evidence.
        list_status: the server's status on the published list.
        flow_rounds: rounds in which this flow's oldest data was retransmitted since its last
            answer; a flow with 0 rounds is never reset for silence.
        lossy: whether packets to live servers are being lost here; doubles the retransmissions and
            the silence required, but not `answer_seconds`.
        now: time on the monotonic clock, in seconds.
        settings: thresholds.
        link_suspected: whether the silence may be that of this entry VM's own link; then
            `own_link_seconds` of it are required of a listed server.
    """
    unlisted_since = list_status.unlisted_since
    silent_since_unlisted = unlisted_since is not None and server.answered_at < unlisted_since
    if list_status.gone and silent_since_unlisted:
        return True
    if flow_rounds == 0 or server.unanswered == 0:
        return False
    if now - server.last_retransmission_at < settings.answer_seconds:
        return False
    silence = now - server.silent_since
    factor = 2 if lossy else 1
    if silent_since_unlisted:
        enough = server.unanswered >= factor * settings.unlisted_retransmissions
        return enough and silence >= factor * settings.unlisted_seconds
    if link_suspected and silence < settings.own_link_seconds:
        return False
    enough = server.unanswered >= factor * settings.dead_retransmissions
    return enough and silence >= factor * settings.dead_seconds


def is_idle_flow_dead(
    server: Responsiveness,
    list_status: ListStatus,
    lossy: bool,
    now: float,
    settings: SilenceSettings,
    link_suspected: bool,
) -> bool:
    """Returns whether idle flows of a server may be reset, before their callers' next requests.

    The list must say that the server is gone, or must lack it while other flows show here that it
    is dead. The thresholds are those of a listed server, since idle flows add no evidence of their
    own, and the evidence must be recent.
    """
    unlisted_since = list_status.unlisted_since
    if unlisted_since is None or server.answered_at >= unlisted_since:
        return False
    if list_status.gone:
        return True
    if link_suspected or now - server.counted_at > MAX_RETRANSMISSION_GAP_SECONDS:
        return False
    as_listed = ListStatus(None, False)
    return is_dead(server, as_listed, server.unanswered, lossy, now, settings)
