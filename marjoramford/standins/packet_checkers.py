"""Checks of the platform's rules for opaque flows during a simulation.

The checks use only what callers, backend servers and the store observe. The one exception is the
check of the server lists (LIST), which looks into the entry VMs; it is not one of the platform's
rules. The names of the other rules and their time limits are the platform's.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ..opaque_flows.packets import FlowKey
from ..platform.packets import FLAG_SYN
from ..shared.addresses import Address
from .packet_callers import CallerFlow
from .packet_catalogues import PacketCatalogue
from .packet_endpoints import Packet
from .packet_servers import SLOTS, OpenedFlow, PacketServer
from .packet_vms import EmulatedVm

# Time limits of the platform's rules, in seconds.
CONFIG_APPLY_SECONDS = 5.0
ROLLBACK_SLACK_SECONDS = 0.25
DRAIN_SECONDS = 5.0
STABLE_SECONDS = 5.0
FLOW_TIMEOUT_SECONDS = 2.0
MIN_STRAY_PACKETS = 3
# A refusal for overload must come within this time after most slots were taken; an entry VM learns
# of an answer a round trip later, and judges anew ten times a second.
OVERLOAD_SECONDS = 0.5
# An entry VM must know an entry this long after it was written, and have given up the server this
# long after its entry was removed, if it and the store are stable.
LISTED_SECONDS = 1.0
REMOVED_SECONDS = 5.0
# An entry VM in contact with the store for this long must follow a drain acknowledged as long ago.
EVACUATION_SECONDS = 5.0
CONTACT_SECONDS = 5.0
# Flows that may open at a cold server within a second: its limit times the first, plus the second.
WARMUP_OVERAGE = 1.5
WARMUP_SLACK = 5
WARMUP_WINDOW_SECONDS = 1.0
# A refusal that reaches its caller may have been decided this long before.
REFUSAL_DELAY_SECONDS = 0.05
MAX_NOTES = 20


class CheckedWorld(Protocol):
    """The part of a simulation that the checker reads."""

    now: float
    catalogue: PacketCatalogue
    servers: dict[str, PacketServer]
    vms: list[EmulatedVm]

    @property
    def sender(self) -> EmulatedVm | None:
        """The entry VM whose datagram a server is handling."""

    def last_vm(self, key: FlowKey) -> EmulatedVm | None:
        """Returns the entry VM that received the flow's last packet."""

    def is_stable(self, name: str) -> bool:
        """Returns whether no fault hit a server or its zone's links within `STABLE_SECONDS`."""


@dataclass(slots=True)
class _StrayPackets:
    """Packets of an open flow that reached other servers since its own server last got one."""

    since: float
    count: int = 0


@dataclass(slots=True)
class PacketFindings:
    """Result of the checks.

    Attributes:
        broken: number of violations of each rule, by the rule's name.
        notes: descriptions of the first `MAX_NOTES` violations.
        cold_openings: number of flows whose first opening packet reached a cold server that has a
            limit.
        most_cold_openings: highest number of them at one server within a second.
    """

    broken: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)
    cold_openings: int = 0
    most_cold_openings: int = 0


class PacketChecker:
    """Checks the events of one simulation against the platform's rules."""

    def __init__(self, world: CheckedWorld):
        self.findings = PacketFindings()
        self._world = world
        self._sent_packets: defaultdict[FlowKey, set[tuple]] = defaultdict(set)
        self._idempotent_by_request: dict[str, bool] = {}
        self._opening_sent_at: dict[FlowKey, float] = {}
        self._server_by_flow: dict[FlowKey, str] = {}
        self._stray_packets: dict[FlowKey, _StrayPackets] = {}
        self._draining_since: dict[str, float] = {}
        self._zones_drained_since: dict[str, float] = {}
        self._opening_flows: defaultdict[tuple[str, int], set[FlowKey]] = defaultdict(set)
        self._cold_openings: defaultdict[tuple[str, int], deque[float]] = defaultdict(deque)
        self._slots_taken_at: defaultdict[str, float] = defaultdict(lambda: float("-inf"))
        self._newest_routes_used: dict[tuple[str, int, int], tuple[int, float]] = {}

    @property
    def draining(self) -> Collection[str]:
        """Names of the servers that were ever listed as leaving."""
        return self._draining_since.keys()

    # Events at callers and in the store

    def on_request_sent(self, request: str, idempotent: bool) -> None:
        """Records that a caller sent a request."""
        self._idempotent_by_request[request] = idempotent

    def on_packet_sent(self, packet: Packet) -> None:
        """Records a packet that a caller sent."""
        key = packet.caller_flow_key
        if packet.flags & FLAG_SYN:
            self._opening_sent_at.setdefault(key, self._world.now)
        self._sent_packets[key].add(_end_to_end_fields(packet))

    def on_server_draining(self, server: str) -> None:
        """Records that the store has acknowledged a server's entry as leaving."""
        self._draining_since.setdefault(server, self._world.now)

    def on_zone_drained(self, zone: str) -> None:
        """Records that the store has acknowledged the drain of a zone."""
        self._zones_drained_since.setdefault(zone, self._world.now)

    def on_zone_returned(self, zone: str) -> None:
        """Records that the store has acknowledged the end of a zone's drains."""
        self._zones_drained_since.pop(zone, None)

    def on_answer(self, request: str, answer: bytes) -> None:
        """Checks that an answer belongs to the request and names a server that ran it."""
        parts = answer.decode(errors="replace").split()
        server = self._world.servers.get(parts[2]) if len(parts) == 3 else None
        is_well_formed = server is not None and parts[:2] == [request, server.service]
        if not is_well_formed or not server.runs[request]:
            self._record_violation("MIXED", f"request {request} received the answer {answer!r}")

    def on_flow_reset(self, flow: CallerFlow) -> None:
        """Checks a reset that reached a caller; a flow that is open at its server must survive."""
        if flow.opened_at is None:
            self._check_refusal(flow)
            return
        holder = self._world.servers.get(self._server_by_flow.get(flow.key, ""))
        if holder is None or not holder.has_open_flow(flow.key):
            return
        if self._counts_for_flows(flow.key, holder):
            self._record_violation(
                "FLOW", f"{flow.key} was reset although it is open at {holder.name}"
            )

    # Events at servers

    def on_packet_received(self, server: PacketServer, packet: Packet) -> None:
        """Checks a packet that reached the server it was addressed to."""
        key = packet.caller_flow_key
        if _end_to_end_fields(packet) not in self._sent_packets[key]:
            self._record_violation(
                "UNASKED", f"{server.name} received a packet of {key} that its caller never sent"
            )
        self._check_stray_packets(server, key)
        if packet.flags & FLAG_SYN:
            self._check_zone_drain(server, key)
            self._check_cold_start(server, key)

    def on_flow_opened(self, server: PacketServer, opening: OpenedFlow) -> None:
        """Checks a flow that opened at a server: service, connection draining and routes."""
        key = opening.flow
        self._server_by_flow[key] = server.name
        self._stray_packets.pop(key, None)
        if server.service not in self._world.catalogue.services_since(0, key.route_port):
            self._record_violation(
                "ROUTE",
                f"{key} opened at {server.name} of service {server.service}, which no routes name",
            )
            return
        self._check_drain(server, opening)
        self._check_routes(server, key)

    def on_request_started(self, server: PacketServer, request: str) -> None:
        """Checks a request that a server started to process."""
        self._record_slots_taken(server.service)
        if request not in self._idempotent_by_request:
            self._record_violation("UNASKED", f"{server.name} ran {request}, which no caller sent")
        elif not self._idempotent_by_request[request] and self._count_runs(request) > 1:
            self._record_violation(
                "TWICE", f"non-idempotent request {request} ran again at {server.name}"
            )

    def _record_slots_taken(self, service: str) -> None:
        """Records that more than half of the servers of a service have no free slot now."""
        servers = self._usable_servers({service})
        if 2 * sum(server.load >= SLOTS for server in servers) > len(servers):
            self._slots_taken_at[service] = self._world.now

    # Server lists

    def check_server_lists(self) -> None:
        """Checks that each entry VM has the store's list, if it and the store are stable.

        This compares the state of an entry VM, since callers notice a wrong list only by chance.
        """
        stable_since = self._world.now - STABLE_SECONDS
        if self._world.catalogue.down or self._world.catalogue.last_fault_at >= stable_since:
            return
        for vm in self._world.vms:
            if vm.reads_store and vm.last_fault_at < stable_since:
                self._check_server_list(vm)

    def _check_server_list(self, vm: EmulatedVm) -> None:
        now, catalogue = self._world.now, self._world.catalogue
        in_force = vm.balancer.server_list.servers
        for name, record in catalogue.records.items():
            server = in_force.get(name)
            if catalogue.changed_at(name) > now - LISTED_SECONDS:
                continue
            address = Address(record.host, record.data_port)
            expected = (record.service, address, record.state == "leaving", False, None)
            if server is None:
                self._record_violation("LIST", f"{vm.name} lacks {name}")
                continue
            known = (
                server.service,
                server.data_address,
                server.leaving,
                server.gone,
                server.unlisted_since,
            )
            if known != expected:
                self._record_violation("LIST", f"{vm.name} has {known} of {name}, not {expected}")
            is_drained = server.zone in catalogue.drained_zones
            drain_is_due = catalogue.drain_changed_at(server.zone) <= now - LISTED_SECONDS
            if drain_is_due and server.zone_drained != is_drained:
                self._record_violation(
                    "LIST",
                    f"{vm.name} has {name} as drained: {server.zone_drained}, not {is_drained}",
                )
        for name in self._world.servers:
            server = in_force.get(name)
            was_removed = (
                name not in catalogue.records
                and catalogue.changed_at(name) <= now - REMOVED_SECONDS
            )
            if was_removed and server is not None and not server.gone:
                self._record_violation("LIST", f"{vm.name} has {name}, which the store lacks")

    # Rules

    def _check_refusal(self, flow: CallerFlow) -> None:
        """Checks a refused opening.

        It is allowed without a route, without a running server, and while the service is
        overloaded.
        """
        port = flow.key.route_port
        catalogue = self._world.catalogue
        version = catalogue.newest_version_acked_by(flow.sent_at - CONFIG_APPLY_SECONDS)
        routes = [r for r in catalogue.history if r.version >= version]
        if any(port not in r.services for r in routes) or not version:
            return
        services = catalogue.services_since(version, port)
        available = self._usable_servers(services)
        overloaded_since = self._world.now - OVERLOAD_SECONDS
        if any(self._slots_taken_at[service] >= overloaded_since for service in services):
            return
        if available and self._is_path_stable(flow.key):
            self._record_violation(
                "CONFIG", f"{flow.key} was refused although it has a route and a running server"
            )

    def _check_drain(self, server: PacketServer, opening: OpenedFlow) -> None:
        since = self._draining_since.get(server.name)
        sent_at = self._opening_sent_at[opening.flow]
        if since is None or sent_at < since or opening.at <= since + DRAIN_SECONDS:
            return
        if self._is_path_stable(opening.flow):
            late = opening.at - since
            self._record_violation(
                "DRAIN",
                f"{server.name} accepted {opening.flow} {late:.1f} s after it started draining",
            )

    def _check_zone_drain(self, server: PacketServer, key: FlowKey) -> None:
        """Checks an opening packet at a server whose zone may be drained."""
        now, sender = self._world.now, self._world.sender
        late = now - self._zones_drained_since.get(server.zone, now) - EVACUATION_SECONDS
        if late > 0 and sender is not None and sender.contact_since <= now - CONTACT_SECONDS:
            self._record_violation(
                "EVAC",
                f"{sender.name} forwarded the opening packet of {key} to {server.name} {late:.1f} s"
                f" after the drain of {server.zone} had to be in force",
            )

    def _check_cold_start(self, server: PacketServer, key: FlowKey) -> None:
        """Checks the rate of flows whose first opening packet reaches a cold server.

        All entry VMs count, also those that cannot know yet that the server has started again.
        """
        limit = self._world.catalogue.warmup_per_s
        start = (server.name, server.incarnation)
        if not limit or not server.warmup_left_seconds or key in self._opening_flows[start]:
            return
        self._opening_flows[start].add(key)
        openings = self._cold_openings[start]
        openings.append(self._world.now)
        while openings[0] <= self._world.now - WARMUP_WINDOW_SECONDS:
            openings.popleft()
        self.findings.cold_openings += 1
        self.findings.most_cold_openings = max(self.findings.most_cold_openings, len(openings))
        if len(openings) > limit * WARMUP_OVERAGE + WARMUP_SLACK:
            self._record_violation(
                "FAILBACK",
                f"{len(openings)} flows within {WARMUP_WINDOW_SECONDS} s at {server.name}, which is"
                f" cold and handles {limit} requests per second",
            )

    def _usable_servers(self, services: Collection[str]) -> list[PacketServer]:
        """Returns the servers of some services at which any entry VM may place a flow.

        Those of drained zones and of zones that were drained until recently are left out, and cold
        ones that have a limit: entry VMs without a share of it may not use them.
        """
        catalogue, now = self._world.catalogue, self._world.now
        recently = now - EVACUATION_SECONDS
        return [
            server
            for server in self._world.servers.values()
            if server.alive
            and server.service in services
            and server.zone not in self._zones_drained_since
            and server.zone not in catalogue.drained_zones
            and catalogue.drain_changed_at(server.zone) < recently
            and not (catalogue.warmup_per_s and server.warm_at > now - REFUSAL_DELAY_SECONDS)
        ]

    def _check_routes(self, server: PacketServer, key: FlowKey) -> None:
        """Checks that routes apply in time, and that no running entry VM returns to older ones."""
        catalogue = self._world.catalogue
        sent_at = self._opening_sent_at[key]
        port = key.route_port
        due = catalogue.newest_version_acked_by(sent_at - CONFIG_APPLY_SECONDS)
        if server.service not in catalogue.services_since(due, port) and self._is_path_stable(key):
            self._record_violation(
                "CONFIG",
                f"{key} opened at service {server.service} by routes older than version {due}",
            )
        vm = self._world.last_vm(key)
        if vm is None:
            return
        vm_and_port = (vm.name, vm.boots, port)
        seen, seen_at = self._newest_routes_used.get(vm_and_port, (0, 0.0))
        newer = catalogue.services_since(seen, port)
        if server.service not in newer and sent_at > seen_at + ROLLBACK_SLACK_SECONDS:
            self._record_violation(
                "CONFIG", f"{vm.name} went back to routes older than version {seen} for {key}"
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
        if self._counts_for_flows(key, holder):
            self._record_violation(
                "FLOW", f"packets of {key} go to {server.name} although it is open at {holder.name}"
            )

    def _is_path_stable(self, key: FlowKey) -> bool:
        vm = self._world.last_vm(key)
        stable_since = self._world.now - STABLE_SECONDS
        store_is_stable = self._world.catalogue.last_fault_at < stable_since
        return store_is_stable and vm is not None and vm.last_fault_at < stable_since

    def _counts_for_flows(self, key: FlowKey, holder: PacketServer) -> bool:
        """Returns whether no fault excuses harm to an open flow.

        Planned work does not excuse it, nor does an outage or a restore of the store: an open flow
        needs nothing from the store as long as its server runs.
        """
        vm = self._world.last_vm(key)
        stable_since = self._world.now - STABLE_SECONDS
        is_vm_stable = vm is not None and vm.last_unplanned_fault_at < stable_since
        return is_vm_stable and self._world.is_stable(holder.name)

    def _count_runs(self, request: str) -> int:
        servers: Iterable[PacketServer] = self._world.servers.values()
        return sum(server.runs[request] for server in servers)

    def _record_violation(self, rule: str, note: str) -> None:
        self.findings.broken[rule] += 1
        if len(self.findings.notes) < MAX_NOTES:
            self.findings.notes.append(f"{rule}: {note}")


def _end_to_end_fields(packet: Packet) -> tuple:
    """Returns the fields that must arrive unchanged; entry VMs may set only the label."""
    return (packet.flags, packet.seq, packet.ack, packet.data)
