"""The decision core of an entry VM: a state machine without clock or sockets.

This core serves flows that callers identify by a token, and it reads their requests. Opaque flows,
of which an entry VM sees only packets, have a core of their own: `flow_balancers.FlowBalancer`.

`Balancer` is the public interface. Its caller passes it events together with the current time,
executes the actions that it returns, and passes it a `Tick` no later than `next_tick_at`.
"""

from dataclasses import dataclass
from random import Random

import msgspec

from ..shared.addresses import Address
from ..shared.entry_vms import EntryVm, EntryVms, rendezvous_order
from .actions import Action
from .admissions import FlowAdmission
from .budgets import TokenBucket
from .choosers import POLICIES, Policy
from .coordinators import RequestCoordinator
from .events import (
    CallerDatagram,
    CatalogueRead,
    DispatchEnded,
    DrainRequested,
    Event,
    GossipFailed,
    GossipReceived,
    GossipReplied,
    HandoverReceived,
    HandoverReplied,
    InnerDatagram,
    LoadReported,
    ProbeFailed,
    Tick,
    VmListRead,
)
from .forwarders import Forwarder
from .gossips import Gossip
from .handovers import Handover
from .invariants import Invariants
from .keys import KeyRing
from .limits import LimitShares, Resource
from .nodes import Node
from .publications import Publications
from .reply_suppressors import ReplySuppressor
from .settings import CoreSettings

MAX_TICK_INTERVAL_SECONDS = 0.25
SWEEP_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, zone and addresses of an entry VM; `incarnation` must increase with every start."""

    name: str
    incarnation: int
    zone: str
    inner_address: Address
    control_address: Address


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A backend server whose load endpoint is to be polled."""

    server: str
    incarnation: int
    address: Address


class Balancer:
    """Makes all decisions of one entry VM that serves flows by token.

    Args:
        random: the only source of randomness.
        strict: whether a violated invariant raises an exception.
        seeds: control addresses of other entry VMs. One of them is contacted in each regular
            gossip round while no other entry VM is reachable, unless the round tries a lost one.
        policy: policy for choosing backend servers; overrides the policy of the settings.
    """

    def __init__(
        self,
        identity: Identity,
        settings: CoreSettings,
        keys: KeyRing,
        random: Random,
        now: float,
        strict: bool = False,
        seeds: tuple[Address, ...] = (),
        policy: Policy | None = None,
    ):
        self._node = _make_node(identity, settings, keys, random, now, strict)
        self._node.policy = policy or self._node.policy
        self._publications = Publications(self._node)
        self._coordinator = RequestCoordinator(self._node)
        admission = FlowAdmission(self._node)
        self._forwarder = Forwarder(self._node, admission, self._coordinator)
        self._gossip = Gossip(self._node, self._coordinator, self._publications, seeds)
        self._handover = Handover(self._node, self._coordinator)
        self._next_sweep_at = now

    @property
    def node(self) -> Node:
        """The internal state, for reading only."""
        return self._node

    @property
    def running_count(self) -> int:
        """Number of requests dispatched to backend servers that have not ended."""
        return self._coordinator.running_count

    @property
    def waiting_count(self) -> int:
        """Number of requests queued for a backend server."""
        return self._coordinator.waiting_count

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has been requested."""
        return self._node.draining_until is not None

    def next_tick_at(self, now: float) -> float:
        """Returns the time by which the next `Tick` must be handled, in epoch seconds."""
        due = min(self._gossip.next_due(), self._coordinator.next_due_at(now))
        return min(max(due, now), now + MAX_TICK_INTERVAL_SECONDS)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handles one event at `now` (epoch seconds) and returns the actions to execute."""
        match event:
            case CallerDatagram(caller=caller, payload=payload):
                return self._forwarder.handle_caller_datagram(caller, payload, now)
            case InnerDatagram(sender=sender, payload=payload):
                return self._forwarder.handle_inner_datagram(sender, payload, now)
            case DispatchEnded():
                return self._coordinator.end_dispatch(event, now)
            case Tick():
                return self._tick(now)
            case LoadReported() | ProbeFailed():
                return self._handle_probe(event, now)
            case _:
                return self._handle_control(event, now)

    def is_reader(self) -> bool:
        """Returns whether this entry VM polls the platform for the catalogue and the VM list.

        Rendezvous hashing selects `readers_per_zone` entry VMs in each availability zone; the
        others receive the data by gossip.
        """
        node = self._node
        same_zone = [vm.name for vm in node.entry_vms.active() if vm.zone == node.own.zone]
        order = rendezvous_order("reader", [node.own.name, *same_zone])
        return node.own.name in order[: node.settings.control.readers_per_zone]

    def probe_targets(self) -> list[ProbeTarget]:
        """Returns the backend servers whose load endpoint is to be polled."""
        servers = self._node.servers.values()
        return [
            ProbeTarget(server.name, server.incarnation, server.http_address)
            for server in servers
            if not server.gone
        ]

    def charge_control_bytes(self, size: int, now: float) -> None:
        """Charges bytes that a task has already sent to the control traffic budget."""
        self._node.control_bytes.charge(size, now)
        self._node.counters["control_bytes_sent"] += size

    def dump(self) -> dict[str, object]:
        """Returns the state as plain data, for the operators' state dump."""
        node = self._node
        return {
            "entry_vm": msgspec.structs.asdict(node.own) | {"draining_until": node.draining_until},
            "catalogue_through": node.catalogue.through,
            "vms_through": node.vm_list.through,
            "flows": len(node.flows),
            "running": self._coordinator.running_count,
            "waiting": self._coordinator.waiting_count,
            "entry_vms": [msgspec.structs.asdict(vm) for vm in node.entry_vms.others()],
            "backend_servers": [_public_fields(server) for server in node.servers.values()],
            "catalogue": [entry.name for entry in node.catalogue.values() if not entry.retired],
            "retired": [entry.name for entry in node.catalogue.values() if entry.retired],
            "counters": dict(node.counters),
            "violations": {str(key): n for key, n in node.invariants.violations.items()},
        }

    def _handle_control(self, event: Event, now: float) -> list[Action]:
        match event:
            case CatalogueRead(records=records, through=through):
                self._publications.apply_catalogue(records, through)
                self._gossip.request_urgent_round(now)
                return []
            case VmListRead(records=records, through=through):
                self._publications.apply_vms(records, through, now)
                self._gossip.request_urgent_round(now)
                return []
            case GossipReceived():
                return self._gossip.handle_request(event, now)
            case GossipReplied():
                return self._gossip.handle_reply(event, now)
            case GossipFailed():
                return self._gossip.handle_failure(event, now)
            case HandoverReceived():
                return self._handover.handle_batch(event, now)
            case HandoverReplied():
                return self._handover.handle_reply(event, now)
            case DrainRequested(deadline=deadline):
                actions = self._handover.start_drain(deadline, now)
                self._gossip.request_urgent_round(now)
                return actions
            case _:
                raise TypeError(f"unknown event {event!r}")

    def _handle_probe(self, event: LoadReported | ProbeFailed, now: float) -> list[Action]:
        server = self._node.servers.get(event.server)
        if server is None or server.incarnation != event.incarnation:
            return []
        match event:
            case LoadReported():
                server.apply_report(event.busy, event.slots, event.draining, event.measured_at)
            case ProbeFailed():
                server.record_failed_probe()
                self._node.servers.eject_if_failing(server, now)
        return []

    def _tick(self, now: float) -> list[Action]:
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            self._node.flows.expire(now)
            self._node.limits.expire(now)
            self._node.entry_vms.expire_suspicions(now)
            self._node.reply_suppressor.forget_after_heal()
        actions = self._coordinator.tick(now)
        actions += self._handover.advance(now)
        return actions + self._gossip.tick(now)


def _public_fields(struct) -> dict[str, object]:
    fields = msgspec.structs.asdict(struct)
    return {name: value for name, value in fields.items() if not name.startswith("_")}


def _make_node(
    identity: Identity,
    settings: CoreSettings,
    keys: KeyRing,
    random: Random,
    now: float,
    strict: bool,
) -> Node:
    times = settings.times
    control = settings.control
    own = EntryVm(
        identity.name,
        identity.incarnation,
        identity.zone,
        identity.inner_address,
        identity.control_address,
    )
    entry_vms = EntryVms(own, times.suspicion)
    return Node(
        settings=settings,
        own=own,
        keys=keys,
        random=random,
        invariants=Invariants(strict),
        policy=POLICIES[settings.load.policy],
        entry_vms=entry_vms,
        reply_suppressor=ReplySuppressor(entry_vms),
        limits=LimitShares(
            identity.name,
            identity.zone,
            times.limit_hold,
            times.clock_error,
            {
                Resource.CONNECTIONS: times.connection_lease,
                Resource.LOAD: times.load_lease,
            },
        ),
        control_bytes=TokenBucket(control.bytes_per_second, control.burst_bytes, now),
    )
