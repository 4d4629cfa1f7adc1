"""Simulation of several balancers and the systems around them under one virtual clock.

A world carries out the balancers' actions over a simulated network with latency, loss, duplication
and partitions. Results come from the servers' ledger and the callers' sessions. The balancers' own
counters are no evidence, since a faulty balancer may count wrongly too.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec

from ..shared.addresses import Address
from ..shared.records import VmRecord
from ..token_flows.actions import (
    Action,
    CancelDispatch,
    Dispatch,
    DrainFinished,
    ReplyGossip,
    ReplyHandover,
    SendGossip,
    SendHandover,
    SendInner,
    SendToCaller,
)
from ..token_flows.balancers import Balancer, Identity
from ..token_flows.choosers import Policy
from ..token_flows.events import (
    AnswerReceived,
    BrokenOff,
    CallerDatagram,
    CatalogueRead,
    DispatchEnded,
    DispatchOutcome,
    Event,
    GossipFailed,
    GossipReceived,
    GossipReplied,
    HandoverReceived,
    HandoverReplied,
    InnerDatagram,
    LoadReported,
    ProbeFailed,
    ProvedNotRun,
    Tick,
    VmListRead,
)
from ..token_flows.keys import KeyRing
from ..token_flows.messages import decode_forward, encode
from ..token_flows.settings import CoreSettings
from .caller_sessions import CallerSession
from .deployments import Deployment
from .networks import PLATFORM, Network
from .platform_models import PlatformModel
from .schedules import Schedule
from .server_models import Ledger, RequestRejected, RequestStarted, ServerModel

PLATFORM_POLL_INTERVAL_SECONDS = 0.05
PROBE_INTERVAL_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 0.8
CALLER_POLL_INTERVAL_SECONDS = 0.05
# A server that began to leave may still be sent new work until all entry VMs know of it.
LATE_WORK_AFTER_SECONDS = 3.0
# Secrets by key id.
KEY_SECRETS = {1: b"first key of the ring", 2: b"second key of the ring"}


@dataclass(slots=True)
class WorldSettings:
    """Behaviour of the simulated systems.

    Attributes:
        core: settings of every balancer.
        policy: policy for choosing a server, or None for that of `core`.
        loss: share of datagrams that are lost, from 0 to 1.
        duplication: share of delivered datagrams that arrive twice, from 0 to 1.
        vm_list_lag_seconds: time until a change of a VM's state appears on the platform's list.
        report_lag_seconds: age of the load reports of backend servers.
        misreporting_servers: number of servers that always report that they are idle.
        work_seconds: mean time that a request holds a slot.
        cold_start_seconds: how long a server that joins during the run needs twice the time for
            its work.
    """

    core: CoreSettings = field(default_factory=CoreSettings)
    policy: Policy | None = None
    loss: float = 0.0
    duplication: float = 0.02
    vm_list_lag_seconds: float = 1.0
    report_lag_seconds: float = 0.0
    misreporting_servers: int = 0
    work_seconds: float = 0.3
    cold_start_seconds: float = 0.0


@dataclass(slots=True)
class EntryNode:
    """An entry VM process; events that arrive while it is paused are queued."""

    record: VmRecord
    balancer: Balancer
    alive: bool = True
    paused: bool = False
    queued_events: list[Event] = field(default_factory=list)


@dataclass(slots=True)
class ServerNode:
    """A backend server process."""

    record: VmRecord
    model: ServerModel
    alive: bool = True


@dataclass(slots=True)
class _RunningDispatch:
    node: EntryNode
    server: ServerNode
    action: Dispatch


class World(Schedule):
    """Several entry VMs, backend servers, callers and the platform under a virtual clock.

    Attributes:
        platform_down_until: until when the platform does not answer.
        stale_platform: outdated copy that answers all reads, or None if reads are up to date.
        stale_until: until when the outdated copy answers.
        handover_acks_lost_until: until when replies to handovers are lost.
        spread_started_at: when each measured catalogue change that has not reached every entry VM
            was made, by revision.
        spread_seconds: how long each measured change took to reach every entry VM.
        leaving_since: when each draining backend server began to leave, by name.
    """

    def __init__(self, deployment: Deployment, seed: int, settings: WorldSettings):
        super().__init__()
        self.deployment = deployment
        self.settings = settings
        self.random = Random(seed)
        self.network = Network(deployment, self.random, settings.loss, settings.duplication)
        self.platform = PlatformModel()
        self.platform_down_until = float("-inf")
        self.stale_platform: PlatformModel | None = None
        self.stale_until = float("-inf")
        self.ledger = Ledger()
        self.entry_nodes: dict[str, EntryNode] = {}
        self.server_nodes: dict[str, ServerNode] = {}
        self.sessions: list[CallerSession] = []
        self.handover_acks_lost_until = float("-inf")
        self.spread_started_at: dict[int, float] = {}
        self.spread_seconds: list[float] = []
        self.leaving_since: dict[str, float] = {}
        self._callers: dict[Address, CallerSession] = {}
        self._nodes_by_inner_address: dict[Address, EntryNode | ServerNode] = {}
        self._nodes_by_http_address: dict[Address, EntryNode | ServerNode] = {}
        self._running_dispatches: dict[tuple[str, int], _RunningDispatch] = {}
        self._host_count = 0
        self._build()

    @property
    def platform_down(self) -> bool:
        """Whether the platform does not answer."""
        return self.now < self.platform_down_until

    @property
    def drop_handover_acks(self) -> bool:
        """Whether replies to handovers are lost."""
        return self.now < self.handover_acks_lost_until

    # Setup and changes of the fleet.

    def _build(self) -> None:
        for service in self.deployment.services:
            self.platform.put_entry(service.entry(self.deployment.owner, 1, 1))
        number = 0
        for service in self.deployment.services:
            for index in range(service.servers):
                number += 1
                self.add_server(f"{service.name}-{index + 1}", service.name, service.slots, number)
        for number in range(self.deployment.entry_vms):
            self.add_entry_vm(f"entry-{number + 1}", number, listed_at=0.0)
        for name in list(self.server_nodes)[: self.settings.misreporting_servers]:
            self.server_nodes[name].model.reports_idle = True

    def add_entry_vm(
        self, name: str, zone_number: int, listed_at: float, incarnation: int = 1
    ) -> EntryNode:
        """Starts an entry VM and adds it to the platform's list."""
        zone = self.deployment.zones[zone_number % len(self.deployment.zones)]
        host = self._next_host()
        record = VmRecord(name, 1, incarnation, "entry", zone, host, 1, 3, 2, listed_at=listed_at)
        inner, control = Address(host, 2), Address(host, 3)
        identity = Identity(name, incarnation, zone, inner, control)
        seeds = tuple(Address(n.record.host, 3) for n in self.entry_nodes.values() if n.alive)
        balancer = Balancer(
            identity,
            self.settings.core,
            KeyRing(KEY_SECRETS, 1),
            Random(self.random.getrandbits(64)),
            self.now,
            strict=True,
            seeds=seeds[:3],
            policy=self.settings.policy,
        )
        node = EntryNode(record, balancer)
        self.entry_nodes[name] = node
        self._nodes_by_inner_address[inner] = self._nodes_by_http_address[control] = node
        self._publish_vm(record)
        self._schedule_while_alive(node, 0.0, lambda: self._tick(node))
        self._schedule_while_alive(
            node, PLATFORM_POLL_INTERVAL_SECONDS, lambda: self._poll_platform(node)
        )
        self._schedule_while_alive(node, PROBE_INTERVAL_SECONDS, lambda: self._probe_servers(node))
        return node

    def add_server(
        self,
        name: str,
        service: str,
        slots: int,
        zone_number: int,
        host: str | None = None,
        incarnation: int = 1,
        listed_at: float = 0.0,
    ) -> ServerNode:
        """Starts a backend server and adds it to the platform's list.

        Without a `host` the server gets a new address; a given one may have belonged to another
        server before. A server with `listed_at` 0 runs from the start and has no cold start.
        """
        zone = self.deployment.zones[zone_number % len(self.deployment.zones)]
        host = host or self._next_host()
        record = VmRecord(
            name,
            1,
            incarnation,
            "server",
            zone,
            host,
            1,
            3,
            service=service,
            slots=slots,
            listed_at=listed_at,
        )
        work = {t.kind: self.settings.work_seconds for t in self.deployment.traffic}
        model = ServerModel(
            name,
            incarnation,
            service,
            slots,
            Random(self.random.getrandbits(64)),
            self.ledger,
            work,
            self.settings.report_lag_seconds,
            cold_until=self.now + self.settings.cold_start_seconds if listed_at else 0.0,
        )
        node = ServerNode(record, model)
        self.server_nodes[name] = node
        self._nodes_by_inner_address[Address(host, 1)] = self._nodes_by_http_address[
            Address(host, 3)
        ] = node
        self._publish_vm(record)
        return node

    def add_session(self, service: str, name: str) -> CallerSession:
        """Adds a caller with one flow and starts to poll it."""
        session = CallerSession(service, Random(self.random.getrandbits(64)), name)
        address = Address(f"caller-{len(self.sessions)}", 4)
        self.sessions.append(session)
        self._callers[address] = session
        self._poll_caller(address, session)
        return session

    def publish_vm_state(self, name: str, state: str) -> None:
        """Publishes a VM's state on the platform's list, after the lag of the list."""
        self.after(
            self.settings.vm_list_lag_seconds,
            lambda: self.platform.set_vm_state(name, state) and None,
        )

    def kill_entry_vm(self, name: str) -> None:
        """Crashes an entry VM; the platform lists it as gone after the lag of the VM list."""
        self.entry_nodes[name].alive = False
        self.publish_vm_state(name, "gone")

    def kill_server(self, name: str) -> None:
        """Crashes a backend server; the connections of its running requests break."""
        node = self.server_nodes[name]
        node.alive = False
        for key, running in list(self._running_dispatches.items()):
            if running.server is node:
                self._end_dispatch(key, BrokenOff("server died"))
        self.publish_vm_state(name, "gone")

    def drain_server(self, name: str) -> None:
        """Starts draining a backend server, which exits once no request or stream is left."""
        node = self.server_nodes[name]
        node.model.drain(self.now)
        self.leaving_since[name] = self.now
        self.publish_vm_state(name, "leaving")
        self._exit_when_drained(node)

    def _exit_when_drained(self, node: ServerNode) -> None:
        if node.model.is_drained(self.now):
            node.alive = False
            self.publish_vm_state(node.record.name, "gone")
        elif node.alive:
            self.after(0.5, lambda: self._exit_when_drained(node))

    def resume(self, node: EntryNode) -> None:
        """Resumes a paused entry VM, which now handles the events queued during the pause."""
        node.paused = False
        queued_events, node.queued_events = node.queued_events, []
        for event in queued_events:
            self._handle(node, event)

    def start_stale_reads(self, copy: PlatformModel, until: float) -> None:
        """Lets an outdated copy answer all reads; an older one that answers already stays."""
        self.stale_platform = self.stale_platform or copy
        self.stale_until = max(self.stale_until, until)

    def end_stale_reads(self) -> None:
        """Lets the platform answer again, unless an outdated copy answers for longer."""
        if self.now >= self.stale_until:
            self.stale_platform = None

    def start_spread_measurement(self) -> None:
        """Starts measuring how long the latest catalogue change takes to reach all entry VMs."""
        self.spread_started_at[self.platform.catalogue.through] = self.now

    # Entry VMs.

    def submit(self, node: EntryNode, event: Event) -> None:
        """Delivers an event to an entry VM, at once or when it resumes; a dead VM ignores it."""
        if not node.alive:
            return
        if node.paused:
            node.queued_events.append(event)
        else:
            self._handle(node, event)

    def _handle(self, node: EntryNode, event: Event) -> list[Action]:
        actions = node.balancer.handle(event, self.now)
        for action in actions:
            self._perform(node, action)
        return actions

    def _perform(self, node: EntryNode, action: Action) -> None:
        match action:
            case SendToCaller():
                self._send_to_caller(node, action)
            case SendInner():
                self._send_inner(node, action)
            case Dispatch():
                self._dispatch(node, action)
            case CancelDispatch(dispatch=number):
                self._cancel_dispatch(node, number)
            case SendGossip():
                self._send_gossip(node, action)
            case SendHandover():
                self._send_handover(node, action)
            case DrainFinished():
                self._exit(node)
            case ReplyGossip() | ReplyHandover():
                pass

    def _exit(self, node: EntryNode) -> None:
        if node.alive:
            node.alive = False
            self.publish_vm_state(node.record.name, "gone")

    def _tick(self, node: EntryNode) -> None:
        if not node.paused:
            self._handle(node, Tick())
        next_at = node.balancer.next_tick_at(self.now)
        wait = max(0.005, next_at - self.now)
        self._schedule_while_alive(node, wait, lambda: self._tick(node))

    def _poll_platform(self, node: EntryNode) -> None:
        reachable = not self.platform_down and not self.network.is_cut(node.record.zone, PLATFORM)
        if reachable and not node.paused and node.balancer.is_reader():
            self._read_platform(node)
        self._record_spread()
        self._schedule_while_alive(
            node, PLATFORM_POLL_INTERVAL_SECONDS, lambda: self._poll_platform(node)
        )

    def _read_platform(self, node: EntryNode) -> None:
        """Reads changes after the known revision, or the whole old copy of a stale platform."""
        stale = self.stale_platform
        platform = stale or self.platform
        core = node.balancer.node
        catalogue_after = 0 if stale else core.catalogue.through
        vms_after = 0 if stale else core.vm_list.through
        if platform.catalogue.through > catalogue_after:
            self.submit(node, CatalogueRead(*platform.read("catalogue", catalogue_after, 1000)))
        if platform.vms.through > vms_after:
            self.submit(node, VmListRead(*platform.read("vms", vms_after, 1000)))

    def _probe_servers(self, node: EntryNode) -> None:
        targets = node.balancer.probe_targets()
        for number, target in enumerate(targets):
            delay = PROBE_INTERVAL_SECONDS * number / len(targets)
            self._schedule_while_alive(
                node, delay, lambda target=target: self._probe_server(node, target)
            )
        self._schedule_while_alive(node, PROBE_INTERVAL_SECONDS, lambda: self._probe_servers(node))

    def _probe_server(self, node: EntryNode, target) -> None:
        server = self._nodes_by_http_address.get(target.address)
        if not isinstance(server, ServerNode) or not self._is_reachable(node, server):
            self.submit(node, ProbeFailed(target.server, target.incarnation))
            return
        busy, slots, draining, at = server.model.load(self.now)
        report = LoadReported(target.server, target.incarnation, busy, slots, draining, at)
        self.submit(node, report)

    def _record_spread(self) -> None:
        if not self.spread_started_at:
            return
        lowest_revision = min(
            (n.balancer.node.catalogue.through for n in self.entry_nodes.values() if n.alive),
            default=0,
        )
        for revision, started_at in list(self.spread_started_at.items()):
            if lowest_revision >= revision:
                self.spread_seconds.append(self.now - started_at)
                del self.spread_started_at[revision]

    def _schedule_while_alive(
        self, node: EntryNode, seconds: float, call: Callable[[], None]
    ) -> None:
        def call_if_alive() -> None:
            if node.alive:
                call()

        self.after(seconds, call_if_alive)

    # Callers and the fabric.

    def _poll_caller(self, address: Address, session: CallerSession) -> None:
        for payload in session.poll(self.now):
            self._spray_from_caller(address, payload)
        self.after(CALLER_POLL_INTERVAL_SECONDS, lambda: self._poll_caller(address, session))

    def _spray_from_caller(self, address: Address, payload: bytes) -> None:
        for _ in range(self.network.draw_copies()):
            node = self.random.choice(self._spray_targets())
            call = partial(self.submit, node, CallerDatagram(address, payload))
            self.after(self.network.draw_caller_latency(), call)

    def _spray_targets(self) -> list[EntryNode]:
        listed = [
            node
            for name, node in self.entry_nodes.items()
            if (record := self.platform.vms.get(name)) is not None and record.state == "live"
        ]
        return listed or list(self.entry_nodes.values())

    def _send_to_caller(self, node: EntryNode, action: SendToCaller) -> None:
        session = self._callers.get(action.caller)
        if session is None:
            return
        for _ in range(self.network.draw_copies()):
            self.after(
                self.network.draw_caller_latency(),
                lambda: session.receive(action.payload, self.now),
            )

    # Between entry VMs and backend servers.

    def _send_inner(self, node: EntryNode, action: SendInner) -> None:
        target = self._nodes_by_inner_address.get(action.address)
        if target is None or self.network.draw_loss():
            return
        latency = self._zone_latency(node, target)
        sender = Address(node.record.host, 2)
        match target:
            case EntryNode():
                event = InnerDatagram(sender, action.payload)
                self.after(
                    latency, lambda: self._is_reachable(node, target) and self.submit(target, event)
                )
            case ServerNode():
                self.after(latency, lambda: self._deliver_to_server(node, target, action.payload))

    def _deliver_to_server(self, node: EntryNode, target: ServerNode, payload: bytes) -> None:
        if not self._is_reachable(node, target):
            return
        message = decode_forward(payload).unwrap()
        for reply in target.model.receive(message, self.now):
            event = InnerDatagram(Address(target.record.host, 1), encode(reply))
            latency = self._zone_latency(node, target)
            self.after(latency, lambda event=event: self.submit(node, event))

    def _dispatch(self, node: EntryNode, action: Dispatch) -> None:
        server = self._nodes_by_http_address.get(action.address)
        if not isinstance(server, ServerNode) or not self._is_reachable(node, server):
            outcome = ProvedNotRun("connection was not made", unreachable=True)
            # An address without a VM refuses the connection; a dead or cut-off VM does not answer.
            wait = CONNECT_TIMEOUT_SECONDS if server else 0.002
            self.after(wait, lambda: self.submit(node, DispatchEnded(action.dispatch, outcome)))
            return
        key = (f"{node.record.name}/{node.record.incarnation}", action.dispatch)
        self._running_dispatches[key] = _RunningDispatch(node, server, action)
        self.after(self._zone_latency(node, server), lambda: self._start_request(key))

    def _start_request(self, key: tuple[str, int]) -> None:
        running = self._running_dispatches.get(key)
        if running is None:
            return
        action, server = running.action, running.server
        if self.now >= action.deadline:
            self._end_dispatch(key, ProvedNotRun("deadline", expired=True))
            return
        leaving_since = self.leaving_since.get(server.record.name)
        started = server.model.submit(
            action.service,
            action.server,
            action.server_incarnation,
            action.kind,
            action.body,
            self.now,
        )
        match started:
            case RequestRejected(reason=reason):
                draining, mismatch = reason == "draining", reason == "mismatch"
                outcome = ProvedNotRun(reason, draining=draining, mismatch=mismatch)
                self._end_dispatch(key, outcome)
            case RequestStarted(seconds=seconds, answer=answer):
                late = (
                    leaving_since is not None and self.now - leaving_since > LATE_WORK_AFTER_SECONDS
                )
                self.ledger.late_work += late
                self.after(
                    seconds, lambda: self._complete_request(key, action.body, server, answer)
                )

    def _complete_request(
        self, key: tuple[str, int], work: bytes, server: ServerNode, answer: bytes
    ) -> None:
        server.model.finish(work, self.now)
        running = self._running_dispatches.get(key)
        if running is not None and self._is_reachable(running.node, server):
            self._end_dispatch(key, AnswerReceived(answer))
        else:
            self._end_dispatch(key, BrokenOff("connection broke"))

    def _end_dispatch(self, key: tuple[str, int], outcome: DispatchOutcome) -> None:
        running = self._running_dispatches.pop(key, None)
        if running is None:
            return
        event = DispatchEnded(running.action.dispatch, outcome)
        latency = self._zone_latency(running.node, running.server)
        self.after(latency, lambda: self.submit(running.node, event))

    def _cancel_dispatch(self, node: EntryNode, number: int) -> None:
        self._running_dispatches.pop(
            (f"{node.record.name}/{node.record.incarnation}", number), None
        )

    # Between entry VMs.

    def _send_gossip(self, node: EntryNode, action: SendGossip) -> None:
        self._post_to_peer(
            node,
            action.address,
            GossipReceived(action.payload),
            lambda reply: GossipReplied(action.peer, reply),
            GossipFailed(action.peer, action.incarnation),
        )

    def _send_handover(self, node: EntryNode, action: SendHandover) -> None:
        self._post_to_peer(
            node,
            action.address,
            HandoverReceived(action.payload),
            lambda reply: HandoverReplied(action.batch, None if self.drop_handover_acks else reply),
            HandoverReplied(action.batch, None),
        )

    def _post_to_peer(
        self,
        node: EntryNode,
        address: Address,
        event: Event,
        make_reply: Callable[[bytes], Event],
        failure: Event,
    ) -> None:
        target = self._nodes_by_http_address.get(address)

        def deliver() -> None:
            reply = self._call_peer(node, target, event)
            if reply:
                reply_latency = self._zone_latency(node, target)
                self.after(reply_latency, lambda: self.submit(node, make_reply(reply)))
            else:
                self.after(PEER_TIMEOUT_SECONDS, lambda: self.submit(node, failure))

        self.after(self.deployment.zone_latency_seconds, deliver)

    def _call_peer(self, node: EntryNode, target, event: Event) -> bytes | None:
        if (
            not isinstance(target, EntryNode)
            or not self._is_reachable(node, target)
            or target.paused
        ):
            return None
        for action in self._handle(target, event):
            match action:
                case ReplyGossip(payload=payload) | ReplyHandover(payload=payload):
                    return payload
        return None

    def _is_reachable(self, node: EntryNode, target: EntryNode | ServerNode) -> bool:
        return target.alive and not self.network.is_cut(node.record.zone, target.record.zone)

    def _zone_latency(self, node: EntryNode, target: EntryNode | ServerNode) -> float:
        return self.network.draw_zone_latency(node.record.zone, target.record.zone)

    def _publish_vm(self, record: VmRecord) -> None:
        self.platform.put_vm(record)

    def _next_host(self) -> str:
        self._host_count += 1
        return f"host-{self._host_count}"

    def alive_entry_vms(self) -> Iterable[EntryNode]:
        """Returns the entry VMs whose process is alive, paused ones included."""
        return [node for node in self.entry_nodes.values() if node.alive]


def copy_platform(platform: PlatformModel) -> PlatformModel:
    """Returns a snapshot of the platform, as a stale replica would answer from."""
    copy = PlatformModel()
    for source, target in ((platform.catalogue, copy.catalogue), (platform.vms, copy.vms)):
        for record in source.changes_after(0, len(source) + 1).records:
            target.apply(msgspec.structs.replace(record))
        target.advance(source.through)
    return copy
