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
from .packet_ends import Packet
from .packet_servers import Opening, PacketServer
from .packet_vms import EmulatedVm

# Bounds in seconds; the platform's figures.
CONFIG_APPLY_SECONDS = 5.0
ROLLBACK_SLACK_SECONDS = 0.25
DRAIN_SECONDS = 5.0
STABLE_SECONDS = 5.0
FLOW_TIMEOUT_SECONDS = 2.0
STRAY_PACKETS = 3
MAX_NOTES = 20


class JudgedWorld(Protocol):
    """What the judge looks at."""

    now: float
    catalogue: PacketCatalogue
    servers: dict[str, PacketServer]

    def last_vm(self, key: FlowKey) -> EmulatedVm | None:
        """Returns the entry VM that took the flow's last packet."""

    def is_undisturbed(self, name: str) -> bool:
        """Tells whether nothing happened to a server or its links lately."""


@dataclass(slots=True)
class _Strays:
    """Packets of an open flow that reached other servers since its own got the last one."""

    since: float
    count: int = 0


@dataclass(slots=True)
class PacketFindings:
    """How often each rule of the platform was broken, and the first cases."""

    broken: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)


class PacketJudge:
    """Watches servers and callers of one world."""

    def __init__(self, world: JudgedWorld):
        self.findings = PacketFindings()
        self._world = world
        self._sent: defaultdict[FlowKey, set[tuple]] = defaultdict(set)
        self._asked: dict[str, bool] = {}
        self._opened_at: dict[FlowKey, float] = {}
        self._homes: dict[FlowKey, str] = {}
        self._strays: dict[FlowKey, _Strays] = {}
        self._draining_since: dict[str, float] = {}
        self._effects: dict[tuple[str, int, int], tuple[int, float]] = {}

    @property
    def draining(self) -> Collection[str]:
        """Names of the servers that were listed as leaving."""
        return self._draining_since.keys()

    # What the world says

    def note_asked(self, request: str, idempotent: bool) -> None:
        """Notes that a caller sent a request."""
        self._asked[request] = idempotent

    def note_sent(self, packet: Packet) -> None:
        """Notes a packet that a caller sent."""
        key = packet.caller_flow
        if packet.flags & FLAG_SYN:
            self._opened_at.setdefault(key, self._world.now)
        self._sent[key].add(_content(packet))

    def note_draining(self, server: str) -> None:
        """Notes that the store has acknowledged that a server is leaving."""
        self._draining_since.setdefault(server, self._world.now)

    def note_answer(self, request: str, answer: bytes) -> None:
        """Takes the answer that a caller got to a request."""
        words = answer.decode(errors="replace").split()
        server = self._world.servers.get(words[2]) if len(words) == 3 else None
        whole = server is not None and words[:2] == [request, server.service]
        if not whole or not server.runs[request]:
            self._break("MIXED", f"{request} got {answer!r}")

    def note_reset(self, flow: CallerFlow) -> None:
        """Takes a reset that reached a caller."""
        if flow.opened_at is None:
            self._judge_refusal(flow)
            return
        home = self._world.servers.get(self._homes.get(flow.key, ""))
        if home is None or not home.holds(flow.key):
            return
        if self._in_touch(flow.key) and self._world.is_undisturbed(home.name):
            self._break("FLOW", f"{flow.key} was reset, {home.name} holds it")

    # What servers say

    def note_packet(self, server: PacketServer, packet: Packet) -> None:
        """Takes a packet that reached the server it was meant for."""
        key = packet.caller_flow
        if _content(packet) not in self._sent[key]:
            self._break("UNASKED", f"{server.name} got a packet of {key} that was never sent")
        self._watch_strays(server, key)

    def note_opening(self, server: PacketServer, opening: Opening) -> None:
        """Takes a flow that opened at a server."""
        key = opening.flow
        self._homes[key] = server.name
        self._strays.pop(key, None)
        if server.service not in self._world.catalogue.services_since(0, key.route_port):
            self._break("ROUTE", f"{key} opened at {server.name} of {server.service}")
            return
        self._judge_drain(server, opening)
        self._judge_config(server, key)

    def note_run(self, server: PacketServer, request: str) -> None:
        """Takes a request that a server began to work on."""
        if request not in self._asked:
            self._break("UNASKED", f"{server.name} ran {request}")
        elif not self._asked[request] and self._runs(request) > 1:
            self._break("TWICE", f"{request} ran again at {server.name}")

    # Rules

    def _judge_refusal(self, flow: CallerFlow) -> None:
        """A flow may be refused only if its route is not there, or nothing is behind it."""
        port = flow.key.route_port
        catalogue = self._world.catalogue
        version = catalogue.version_due(flow.sent_at - CONFIG_APPLY_SECONDS)
        routes = [r for r in catalogue.history if r.version >= version]
        if any(port not in r.services for r in routes) or not version:
            return
        services = catalogue.services_since(version, port)
        behind = [s for s in self._world.servers.values() if s.alive and s.service in services]
        if behind and self._in_touch(flow.key):
            self._break("CONFIG", f"{flow.key} was refused, though its route is there")

    def _judge_drain(self, server: PacketServer, opening: Opening) -> None:
        since = self._draining_since.get(server.name)
        sent_at = self._opened_at[opening.flow]
        if since is None or sent_at < since or opening.at <= since + DRAIN_SECONDS:
            return
        if self._in_touch(opening.flow):
            late = opening.at - since
            self._break("DRAIN", f"{server.name} took {opening.flow} {late:.1f} s after its drain")

    def _judge_config(self, server: PacketServer, key: FlowKey) -> None:
        """Judges lateness, and going back to older routes within one start of an entry VM."""
        catalogue = self._world.catalogue
        sent_at = self._opened_at[key]
        port = key.route_port
        due = catalogue.version_due(sent_at - CONFIG_APPLY_SECONDS)
        if server.service not in catalogue.services_since(due, port) and self._in_touch(key):
            self._break("CONFIG", f"{key} opened at {server.service} by routes before {due}")
        vm = self._world.last_vm(key)
        if vm is None:
            return
        place = (vm.name, vm.boots, port)
        seen, seen_at = self._effects.get(place, (0, 0.0))
        newer = catalogue.services_since(seen, port)
        if server.service not in newer and sent_at > seen_at + ROLLBACK_SLACK_SECONDS:
            self._break("CONFIG", f"{vm.name} went back to routes before {seen} for {key}")
        first = min(r.version for r in catalogue.history if r.services.get(port) == server.service)
        if first > seen:
            self._effects[place] = (first, self._world.now)

    def _watch_strays(self, server: PacketServer, key: FlowKey) -> None:
        home = self._world.servers.get(self._homes.get(key, ""))
        if home is None or not home.holds(key) or home is server:
            self._strays.pop(key, None)
            return
        now = self._world.now
        strays = self._strays.setdefault(key, _Strays(now))
        strays.count += 1
        if strays.count < STRAY_PACKETS or now - strays.since < FLOW_TIMEOUT_SECONDS:
            return
        del self._strays[key]
        if self._in_touch(key) and self._world.is_undisturbed(home.name):
            self._break("FLOW", f"packets of {key} go to {server.name}, {home.name} holds it")

    def _in_touch(self, key: FlowKey) -> bool:
        vm = self._world.last_vm(key)
        calm_since = self._world.now - STABLE_SECONDS
        store_calm = self._world.catalogue.disturbed_at < calm_since
        return store_calm and vm is not None and vm.disturbed_at < calm_since

    def _runs(self, request: str) -> int:
        servers: Iterable[PacketServer] = self._world.servers.values()
        return sum(server.runs[request] for server in servers)

    def _break(self, rule: str, note: str) -> None:
        self.findings.broken[rule] += 1
        if len(self.findings.notes) < MAX_NOTES:
            self.findings.notes.append(f"{rule}: {note}")


def _content(packet: Packet) -> tuple:
    """Returns what no one may change on the way: all but the label."""
    return (packet.flags, packet.seq, packet.ack, packet.data)
