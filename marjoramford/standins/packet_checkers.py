"""Promises on opaque flows, judged by what callers, servers and the store see alone.

Bounds and names are those of the platform's rules. What an entry VM decides is not looked at.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ..packets import FlowKey
from ..platform.packets import FLAG_SYN
from .packet_callers import CallerFlow
from .packet_catalogues import PacketCatalogue
from .packet_endpoints import Packet
from .packet_servers import OpenedFlow, PacketServer
from .packet_vms import EmulatedVm

# Bounds in seconds; the platform's figures.
CONFIG_APPLY_SECONDS = 5.0
ROLLBACK_SLACK_SECONDS = 0.25
DRAIN_SECONDS = 5.0
STABLE_SECONDS = 5.0
FLOW_TIMEOUT_SECONDS = 2.0
MIN_STRAY_PACKETS = 3
MAX_NOTES = 20


class CheckedWorld(Protocol):
    """What the judge looks at."""

    now: float
    catalogue: PacketCatalogue
    servers: dict[str, PacketServer]

    def last_vm(self, key: FlowKey) -> EmulatedVm | None:
        """Returns the entry VM that took the flow's last packet."""

    def is_stable(self, name: str) -> bool:
        """Tells whether nothing happened to a server or its links lately."""


@dataclass(slots=True)
class _StrayPackets:
    """Packets of an open flow that reached other servers since its own got the last one."""

    since: float
    count: int = 0


@dataclass(slots=True)
class PacketFindings:
    """How often each rule of the platform was broken, and the first cases."""

    broken: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)


class PacketChecker:
    """Watches servers and callers of one world."""

    def __init__(self, world: CheckedWorld):
        self.findings = PacketFindings()
        self._world = world
        self._sent_packets: defaultdict[FlowKey, set[tuple]] = defaultdict(set)
        self._idempotent_by_request: dict[str, bool] = {}
        self._opening_sent_at: dict[FlowKey, float] = {}
        self._server_by_flow: dict[FlowKey, str] = {}
        self._stray_packets: dict[FlowKey, _StrayPackets] = {}
        self._draining_since: dict[str, float] = {}
        self._newest_routes_used: dict[tuple[str, int, int], tuple[int, float]] = {}

    @property
    def draining(self) -> Collection[str]:
        """Names of the servers that were listed as leaving."""
        return self._draining_since.keys()

    # What the world says

    def on_request_sent(self, request: str, idempotent: bool) -> None:
        """Notes that a caller sent a request."""
        self._idempotent_by_request[request] = idempotent

    def on_packet_sent(self, packet: Packet) -> None:
        """Notes a packet that a caller sent."""
        key = packet.caller_flow_key
        if packet.flags & FLAG_SYN:
            self._opening_sent_at.setdefault(key, self._world.now)
        self._sent_packets[key].add(_end_to_end_fields(packet))

    def on_server_draining(self, server: str) -> None:
        """Notes that the store has acknowledged that a server is leaving."""
        self._draining_since.setdefault(server, self._world.now)

    def on_answer(self, request: str, answer: bytes) -> None:
        """Takes the answer that a caller got to a request."""
        parts = answer.decode(errors="replace").split()
        server = self._world.servers.get(parts[2]) if len(parts) == 3 else None
        whole = server is not None and parts[:2] == [request, server.service]
        if not whole or not server.runs[request]:
            self._record_violation("MIXED", f"{request} got {answer!r}")

    def on_flow_reset(self, flow: CallerFlow) -> None:
        """Takes a reset that reached a caller."""
        if flow.opened_at is None:
            self._check_refusal(flow)
            return
        holder = self._world.servers.get(self._server_by_flow.get(flow.key, ""))
        if holder is None or not holder.has_open_flow(flow.key):
            return
        if self._is_path_stable(flow.key) and self._world.is_stable(holder.name):
            self._record_violation("FLOW", f"{flow.key} was reset, {holder.name} holds it")

    # What servers say

    def on_packet_received(self, server: PacketServer, packet: Packet) -> None:
        """Takes a packet that reached the server it was meant for."""
        key = packet.caller_flow_key
        if _end_to_end_fields(packet) not in self._sent_packets[key]:
            self._record_violation(
                "UNASKED", f"{server.name} got a packet of {key} that was never sent"
            )
        self._check_stray_packets(server, key)

    def on_flow_opened(self, server: PacketServer, opening: OpenedFlow) -> None:
        """Takes a flow that opened at a server."""
        key = opening.flow
        self._server_by_flow[key] = server.name
        self._stray_packets.pop(key, None)
        if server.service not in self._world.catalogue.services_since(0, key.route_port):
            self._record_violation("ROUTE", f"{key} opened at {server.name} of {server.service}")
            return
        self._check_drain(server, opening)
        self._check_routes(server, key)

    def on_request_started(self, server: PacketServer, request: str) -> None:
        """Takes a request that a server began to work on."""
        if request not in self._idempotent_by_request:
            self._record_violation("UNASKED", f"{server.name} ran {request}")
        elif not self._idempotent_by_request[request] and self._count_runs(request) > 1:
            self._record_violation("TWICE", f"{request} ran again at {server.name}")

    # Rules

    def _check_refusal(self, flow: CallerFlow) -> None:
        """A flow may be refused only if its route is not there, or nothing is behind it."""
        port = flow.key.route_port
        catalogue = self._world.catalogue
        version = catalogue.newest_version_acked_by(flow.sent_at - CONFIG_APPLY_SECONDS)
        routes = [r for r in catalogue.history if r.version >= version]
        if any(port not in r.services for r in routes) or not version:
            return
        services = catalogue.services_since(version, port)
        available = [s for s in self._world.servers.values() if s.alive and s.service in services]
        if available and self._is_path_stable(flow.key):
            self._record_violation("CONFIG", f"{flow.key} was refused, though its route is there")

    def _check_drain(self, server: PacketServer, opening: OpenedFlow) -> None:
        since = self._draining_since.get(server.name)
        sent_at = self._opening_sent_at[opening.flow]
        if since is None or sent_at < since or opening.at <= since + DRAIN_SECONDS:
            return
        if self._is_path_stable(opening.flow):
            late = opening.at - since
            self._record_violation(
                "DRAIN", f"{server.name} took {opening.flow} {late:.1f} s after its drain"
            )

    def _check_routes(self, server: PacketServer, key: FlowKey) -> None:
        """Judges lateness, and going back to older routes within one start of an entry VM."""
        catalogue = self._world.catalogue
        sent_at = self._opening_sent_at[key]
        port = key.route_port
        due = catalogue.newest_version_acked_by(sent_at - CONFIG_APPLY_SECONDS)
        if server.service not in catalogue.services_since(due, port) and self._is_path_stable(key):
            self._record_violation(
                "CONFIG", f"{key} opened at {server.service} by routes before {due}"
            )
        vm = self._world.last_vm(key)
        if vm is None:
            return
        vm_and_port = (vm.name, vm.boots, port)
        seen, seen_at = self._newest_routes_used.get(vm_and_port, (0, 0.0))
        newer = catalogue.services_since(seen, port)
        if server.service not in newer and sent_at > seen_at + ROLLBACK_SLACK_SECONDS:
            self._record_violation(
                "CONFIG", f"{vm.name} went back to routes before {seen} for {key}"
            )
        first_version = min(
            r.version for r in catalogue.history if r.services.get(port) == server.service
        )
        if first_version > seen:
            self._newest_routes_used[vm_and_port] = (first_version, self._world.now)

    def _check_stray_packets(self, server: PacketServer, key: FlowKey) -> None:
        holder = self._world.servers.get(self._server_by_flow.get(key, ""))
        if holder is None or not holder.has_open_flow(key) or holder is server:
            self._stray_packets.pop(key, None)
            return
        now = self._world.now
        stray_packets = self._stray_packets.setdefault(key, _StrayPackets(now))
        stray_packets.count += 1
        if (
            stray_packets.count < MIN_STRAY_PACKETS
            or now - stray_packets.since < FLOW_TIMEOUT_SECONDS
        ):
            return
        del self._stray_packets[key]
        if self._is_path_stable(key) and self._world.is_stable(holder.name):
            self._record_violation(
                "FLOW", f"packets of {key} go to {server.name}, {holder.name} holds it"
            )

    def _is_path_stable(self, key: FlowKey) -> bool:
        vm = self._world.last_vm(key)
        stable_since = self._world.now - STABLE_SECONDS
        store_is_stable = self._world.catalogue.last_fault_at < stable_since
        return store_is_stable and vm is not None and vm.last_fault_at < stable_since

    def _count_runs(self, request: str) -> int:
        servers: Iterable[PacketServer] = self._world.servers.values()
        return sum(server.runs[request] for server in servers)

    def _record_violation(self, rule: str, note: str) -> None:
        self.findings.broken[rule] += 1
        if len(self.findings.notes) < MAX_NOTES:
            self.findings.notes.append(f"{rule}: {note}")


def _end_to_end_fields(packet: Packet) -> tuple:
    """Returns what no one may change on the way: all but the label."""
    return (packet.flags, packet.seq, packet.ack, packet.data)
