"""Zone drains of a test site: the operator's writes, and the check that entry VMs follow them.

An opening packet at a server of a drained zone is a violation if the drain was acknowledged more
than `EVACUATION_SECONDS` earlier and the entry VM that sent the packet had contact with the store
for `CONTACT_SECONDS`.
"""

import time
from collections import Counter
from collections.abc import Callable

from ..platform.entries import DRAIN_PREFIX
from ..platform.packets import FLAG_SYN
from .packet_checkers import CONTACT_SECONDS, EVACUATION_SECONDS
from .packet_endpoints import Packet
from .packet_servers import OpenedFlow, PacketServer
from .packet_stores import PacketStore


class SiteDrains:
    """The operator's drains of zones; observes the servers.

    Args:
        store: the stand-in for the platform's store.
        contact_since: returns since when the entry VM that sent the datagram which a server is
            handling has had contact with the store, in seconds on the monotonic clock.
        record_violation: called with a description of each violation.

    Attributes:
        checked_packets: number of opening packets, at any server, that were sent by an entry VM in
            contact with the store while a drain had to be in force.
    """

    def __init__(
        self,
        store: PacketStore,
        contact_since: Callable[[PacketServer], float],
        record_violation: Callable[[str], None],
    ):
        self.checked_packets = 0
        self._store = store
        self._contact_since = contact_since
        self._record_violation = record_violation
        self._wanted: Counter[str] = Counter()
        self._drained_since: dict[str, float] = {}

    @property
    def wanted_zones(self) -> set[str]:
        """The zones that the operator wants to be drained."""
        return {zone for zone, count in self._wanted.items() if count}

    @property
    def stored_zones(self) -> set[str]:
        """The zones that the store holds as drained."""
        return {key.removeprefix(DRAIN_PREFIX) for key in self._store.values(DRAIN_PREFIX)}

    def begin(self, zone: str) -> None:
        """Records that the operator wants a zone to be drained; drains of a zone may overlap."""
        self._wanted[zone] += 1

    def end(self, zone: str) -> None:
        """Records that one of the drains of a zone is over."""
        self._wanted[zone] -= 1

    def write(self, zone: str) -> None:
        """Writes to the store whether a zone is drained, also if the store has it already."""
        if self._wanted[zone]:
            self._store.put(DRAIN_PREFIX + zone, {})
            self._drained_since.setdefault(zone, time.monotonic())
        else:
            self._store.remove(DRAIN_PREFIX + zone)
            self._drained_since.pop(zone, None)

    def write_again(self) -> None:
        """Writes what a restored copy of the store lacks or has brought back."""
        for zone in self.wanted_zones ^ self.stored_zones:
            self.write(zone)

    def on_packet_received(self, server: PacketServer, packet: Packet) -> None:
        """Checks an opening packet that reached a server."""
        now = time.monotonic()
        due_at = {zone: at + EVACUATION_SECONDS for zone, at in self._drained_since.items()}
        is_opening = packet.flags & FLAG_SYN and any(at < now for at in due_at.values())
        if not is_opening or self._contact_since(server) > now - CONTACT_SECONDS:
            return
        self.checked_packets += 1
        late = now - due_at.get(server.zone, now)
        if late > 0:
            self._record_violation(
                f"{server.name} received an opening packet of {packet.caller_flow_key} {late:.2f} s"
                f" after the drain of {server.zone} had to be in force"
            )

    def on_flow_opened(self, server: PacketServer, opening: OpenedFlow) -> None:
        """Does nothing: the check counts opening packets."""

    def on_request_started(self, server: PacketServer, request: str) -> None:
        """Does nothing: requests on open flows continue during a drain."""
