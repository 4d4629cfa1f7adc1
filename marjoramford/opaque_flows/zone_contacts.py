"""Whether this entry VM still reaches other availability zones.

Load pattern: a zone is cut off from all others and from the platform for seconds, and its callers
stay. New flows that open in other zones wait until their callers' deadlines, although the zone has
servers of its own. That hurts most while the zone is drained, since its servers are not used then.

Silence of the other zones alone is no proof, and neither is that of the platform: each can fail
alone while the other serves. A zone that is cut off loses both. While it counts as cut off, no
packets go to other zones, so the evidence lapses and must come anew: a few flows try them again.
"""

from collections import deque

from ..shared.backend_servers import BackendServer
from .server_lists import ServerList

# Packets to other zones without an answer, and the time without any, that count as silence; a
# caller repeats an opening packet after 0.2 and 0.6 s.
MIN_SILENCES = 3
SILENT_SECONDS = 0.5
# Older silences prove nothing: their servers may have been dead, and nothing been sent since.
EVIDENCE_SECONDS = 5.0


class ZoneContact:
    """The evidence of one entry VM that other zones answer; times are monotonic, in seconds.

    Args:
        own_zone: availability zone of this entry VM.
        server_list: knows whether the platform answers.
    """

    def __init__(self, own_zone: str, server_list: ServerList):
        self._own_zone = own_zone
        self._server_list = server_list
        self._answered_at = float("-inf")
        self._silent_at: deque[float] = deque(maxlen=MIN_SILENCES)

    def record_answer(self, server: BackendServer, now: float) -> None:
        """Records a sign of life of a server."""
        if server.zone != self._own_zone:
            self._answered_at = now
            self._silent_at.clear()

    def record_silence(self, server: BackendServer, now: float) -> None:
        """Records that a caller repeated a packet to a server that has not answered."""
        if server.zone != self._own_zone:
            self._silent_at.append(now)

    def discard(self) -> None:
        """Discards the evidence, after this process was stalled."""
        self._silent_at.clear()

    def is_cut_off(self, now: float) -> bool:
        """Whether neither servers of other zones nor the platform answer."""
        silent_at = self._silent_at
        if len(silent_at) < MIN_SILENCES or now - silent_at[0] > EVIDENCE_SECONDS:
            return False
        is_silent = now - self._answered_at >= SILENT_SECONDS
        return is_silent and self._server_list.is_platform_lost
