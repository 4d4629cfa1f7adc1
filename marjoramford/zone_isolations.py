"""Withdrawal of an entry VM from rotation while it can reach no server that takes new flows.

Load pattern: an availability zone is drained and then loses its links to the other zones. Its entry
VMs still receive their callers' packets, but the servers of their own zone take no new flows, and
packets to all others are lost. If all of them report that they are not ready, the fabric sends
these packets to the entry VMs of other zones, which reach the servers.

Flows that opened in the zone before the drain would then be lost, so an entry VM withdraws only if
more of its callers wait in vain than are served there. One whose own zone is not drained never
withdraws: it can serve from its zone.
"""

import msgspec

from .flow_settings import IsolationSettings


class Isolation(msgspec.Struct, frozen=True):
    """A withdrawal from rotation; times on the monotonic clock, in seconds.

    Attributes:
        began_at: when it began.
        until: when it ends, if the platform has answered since it began.
    """

    began_at: float
    until: float


class IsolationMonitor:
    """Decides from the answers of all servers whether this entry VM is isolated."""

    def __init__(self, settings: IsolationSettings):
        self._settings = settings
        self._silent_since = float("inf")
        self._silent_servers: set[str] = set()
        self._waiting_callers = 0
        self._answers_in_zone = 0
        self._isolation: Isolation | None = None

    @property
    def isolation(self) -> Isolation | None:
        """The present isolation, or None."""
        return self._isolation

    def record_answer(self, in_own_zone: bool) -> None:
        """Records an answer; one from another zone ends the silence and an isolation."""
        if in_own_zone:
            self._answers_in_zone += 1
            return
        self.discard_evidence()
        self._isolation = None

    def record_retransmission(self, server: str, waiting_since: float, is_first: bool) -> None:
        """Records that a caller repeats a packet to a server of another zone.

        Args:
            server: name of the server.
            waiting_since: when the packet was first forwarded.
            is_first: whether it is the first repetition of this caller.
        """
        if waiting_since < self._silent_since:
            self._silent_since = waiting_since
            self._answers_in_zone = 0
        self._silent_servers.add(server)
        self._waiting_callers += is_first

    def discard_evidence(self) -> None:
        """Discards the silence, for example after this process was stalled."""
        self._silent_since = float("inf")
        self._silent_servers.clear()
        self._waiting_callers = 0
        self._answers_in_zone = 0

    def update(self, zone_drained: bool, platform_answered_at: float, now: float) -> None:
        """Begins or ends an isolation; must be called several times a second.

        Args:
            zone_drained: whether this entry VM's own zone is drained.
            platform_answered_at: when the platform last confirmed the server list.
            now: time on the monotonic clock, in seconds.
        """
        settings = self._settings
        if not zone_drained:
            self._isolation = None
        elif self._isolation is not None:
            # Without packets there is no answer of a server that could show the end of the cut.
            platform_is_back = platform_answered_at > self._isolation.began_at
            if platform_is_back and now >= self._isolation.until:
                self.discard_evidence()
                self._isolation = None
        elif (
            len(self._silent_servers) >= settings.min_silent_servers
            and now - self._silent_since >= settings.silent_seconds
            and self._waiting_callers > self._answers_in_zone
        ):
            self._isolation = Isolation(now, now + settings.min_seconds)
