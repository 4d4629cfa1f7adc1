"""Gossip between entry VMs: membership, published records and leases, within a byte budget."""

import logging

import msgspec
from result import Err, Ok

from ..shared.addresses import Address
from ..shared.entry_vms import EntryVm, MemberUpdate
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from .actions import Action, ReplyGossip, SendGossip
from .coordinators import RequestCoordinator
from .events import GossipFailed, GossipReceived, GossipReplied
from .invariants import Invariant
from .limits import Lease, LimitRequest, Resource
from .nodes import Node
from .publications import Publications

logger = logging.getLogger(__name__)

HTTP_OVERHEAD_BYTES = 330
URGENT_FANOUT = 2
URGENT_INTERVAL_SECONDS = 0.2
LIMIT_REQUEST_INTERVAL_SECONDS = 1.0
SAME_ZONE_SHARE = 0.7
MAX_LOST_PEER_SHARE = 0.5
DEPARTURE_PEERS = 16
MAX_LEASES = 32


class RecordBatch(msgspec.Struct, frozen=True):
    """Records as JSON. The receiver decodes and validates each one separately.

    Attributes:
        through: revision up to which the receiver has every change after applying the records.
    """

    records: tuple[msgspec.Raw, ...]
    through: int


class GossipMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a gossip request, and of the reply to it.

    Attributes:
        sender: the sender's own state.
        catalogue_through: catalogue revision up to which the sender has every change.
        vms_through: VM list revision up to which the sender has every change.
        news: membership updates about other entry VMs.
        wants: requests to borrow a part of the receiver's share of a limit. Only those in a gossip
            request are answered; those in a reply are ignored.
        grants: leases that answer the `wants` of the request.
        catalogue: changes of the catalogue that the receiver was last known to lack.
        vms: changes of the VM list that the receiver was last known to lack.
    """

    sender: MemberUpdate
    catalogue_through: int
    vms_through: int
    news: tuple[MemberUpdate, ...] = ()
    wants: tuple[LimitRequest, ...] = ()
    grants: tuple[Lease, ...] = ()
    catalogue: RecordBatch | None = None
    vms: RecordBatch | None = None


class Gossip:
    """Anti-entropy gossip: a regular round with one peer per interval, and urgent rounds.

    An urgent round sends to up to `URGENT_FANOUT` peers when there are changes or requests for
    larger shares of limits.

    A message of a round is sent only if the node's control byte budget covers it. The exceptions
    are replies and messages to seeds, which stand in when no peer can be chosen. They are sent
    whatever the budget holds and charged to it, so its level may become negative.
    """

    def __init__(
        self,
        node: Node,
        coordinator: RequestCoordinator,
        publications: Publications,
        seeds: tuple[Address, ...],
    ):
        self._node = node
        self._coordinator = coordinator
        self._publications = publications
        self._seeds = seeds
        self._next_round_at = 0.0
        self._next_limit_request_at = 0.0
        self._urgent_at: float | None = None
        self._departure_announced = False

    def next_due(self) -> float:
        """Returns when the next regular or urgent round is due, in epoch seconds."""
        if self._urgent_at is None:
            return self._next_round_at
        return min(self._next_round_at, self._urgent_at)

    def request_urgent_round(self, now: float) -> None:
        """Schedules a round before the interval is over, because there is a change to send."""
        if self._urgent_at is None:
            self._urgent_at = now + URGENT_INTERVAL_SECONDS

    def tick(self, now: float) -> list[Action]:
        """Returns the actions of the rounds that are due.

        An entry VM that has left sends one last round to announce its departure, then none.
        """
        node = self._node
        if node.own.state == "left":
            return self._announce_departure(now)
        if node.limit_requests and now >= self._next_limit_request_at:
            self._next_limit_request_at = now + LIMIT_REQUEST_INTERVAL_SECONDS
            self._urgent_at = now
        actions: list[Action] = []
        if self._urgent_at is not None and now >= self._urgent_at:
            self._urgent_at = None
            actions += self._urgent_round(now)
        if now >= self._next_round_at:
            interval = node.settings.times.gossip_interval
            self._next_round_at = now + interval * node.random.uniform(0.8, 1.2)
            actions += self._regular_round(now)
        return actions

    def handle_request(self, event: GossipReceived, now: float) -> list[Action]:
        """Applies a peer's gossip request and returns the reply to it.

        The reply is charged to the byte budget but always sent.
        """
        message = self._decode(event.payload)
        if message is None:
            return [ReplyGossip(b"")]
        self._apply_message(message, now)
        self._node.entry_vms.confirm_alive(message.sender.name, message.sender.incarnation)
        grants = tuple(self._grant(request, now) for request in message.wants[:MAX_LEASES])
        sender = self._node.entry_vms.get(message.sender.name)
        reply = self._make_message(sender, now, tuple(g for g in grants if g.amount))
        payload = msgspec.json.encode(reply)
        self._node.control_bytes.charge(len(payload) + HTTP_OVERHEAD_BYTES, now)
        self._count_sent(len(payload))
        return [ReplyGossip(payload)]

    def handle_reply(self, event: GossipReplied, now: float) -> list[Action]:
        """Applies a peer's reply to a gossip request."""
        message = self._decode(event.payload)
        if message is None:
            return []
        self._apply_message(message, now)
        self._node.entry_vms.confirm_alive(message.sender.name, message.sender.incarnation)
        for lease in message.grants[:MAX_LEASES]:
            self._node.limits.borrow(lease, now)
        return []

    def handle_failure(self, event: GossipFailed, now: float) -> list[Action]:
        """Marks a peer suspect after a gossip request got no reply."""
        self._node.counters["gossip_failed"] += 1
        self._node.entry_vms.suspect(event.peer, event.incarnation, now)
        return []

    def _regular_round(self, now: float) -> list[Action]:
        peer = self._choose_peer()
        if peer is None:
            return [self._send_to_seed(seed, now) for seed in self._choose_seeds()]
        sent = self._send(peer, now)
        return [sent] if sent else []

    def _urgent_round(self, now: float) -> list[Action]:
        peers = self._node.entry_vms.reachable()
        behind = [vm for vm in peers if self._is_behind(vm)]
        if not behind and self._node.limit_requests:
            behind = self._node.random.sample(peers, min(URGENT_FANOUT, len(peers)))
        selected = self._node.random.sample(behind, min(URGENT_FANOUT, len(behind)))
        if len(behind) > len(selected):
            self.request_urgent_round(now)
        carried = list(self._node.limit_requests)[:MAX_LEASES]
        actions = [sent for sent in (self._send(peer, now) for peer in selected) if sent]
        if actions:
            for key in carried:
                del self._node.limit_requests[key]
        return actions

    def _is_behind(self, vm: EntryVm) -> bool:
        node = self._node
        return (
            vm.catalogue_through < node.catalogue.through or vm.vms_through < node.vm_list.through
        )

    def _announce_departure(self, now: float) -> list[Action]:
        if self._departure_announced:
            return []
        self._departure_announced = True
        peers = self._node.entry_vms.reachable()
        selected = self._node.random.sample(peers, min(DEPARTURE_PEERS, len(peers)))
        return [sent for sent in (self._send(peer, now) for peer in selected) if sent]

    def _choose_peer(self) -> EntryVm | None:
        random = self._node.random
        lost = [vm for vm in self._node.entry_vms.others() if vm.state == "lost"]
        peers = self._node.entry_vms.reachable()
        lost_share = len(lost) / max(1, len(lost) + len(peers))
        if lost and random.random() < min(lost_share, MAX_LOST_PEER_SHARE):
            return random.choice(lost)
        same_zone = [vm for vm in peers if vm.zone == self._node.own.zone]
        if same_zone and random.random() < SAME_ZONE_SHARE:
            return random.choice(same_zone)
        return random.choice(peers) if peers else None

    def _choose_seeds(self) -> list[Address]:
        own = self._node.own.control_address
        seeds = [seed for seed in self._seeds if seed != own]
        return self._node.random.sample(seeds, min(1, len(seeds)))

    def _send_to_seed(self, seed: Address, now: float) -> SendGossip:
        payload = msgspec.json.encode(self._make_message(None, now))
        self._node.control_bytes.charge(len(payload) + HTTP_OVERHEAD_BYTES, now)
        self._count_sent(len(payload))
        return SendGossip("", 0, seed, payload)

    def _send(self, peer: EntryVm, now: float) -> SendGossip | None:
        node = self._node
        payload = msgspec.json.encode(self._make_message(peer, now))
        if not node.control_bytes.try_take(len(payload) + HTTP_OVERHEAD_BYTES, now):
            node.counters["gossip_over_budget"] += 1
            return None
        within_budget = node.control_bytes.level(now) >= 0
        node.invariants.check(within_budget, Invariant.BYTE_BUDGET, peer.name)
        self._count_sent(len(payload))
        return SendGossip(peer.name, peer.incarnation, peer.control_address, payload)

    def _make_message(
        self, peer: EntryVm | None, now: float, grants: tuple[Lease, ...] = ()
    ) -> GossipMessage:
        node = self._node
        # A reply that carries leases omits `wants`, which the receiver of a reply ignores anyway.
        wants = tuple(node.limit_requests.values())[:MAX_LEASES] if not grants else ()
        budget_bytes = int(node.control_bytes.level(now)) - HTTP_OVERHEAD_BYTES
        catalogue = vms = None
        if peer is not None:
            catalogue = self._make_batch(node.catalogue, peer.catalogue_through, budget_bytes // 2)
            vms = self._make_batch(node.vm_list, peer.vms_through, budget_bytes // 2)
        return GossipMessage(
            node.own.to_update(),
            node.catalogue.through,
            node.vm_list.through,
            node.entry_vms.select_updates(node.settings.control.news_per_gossip),
            wants,
            grants,
            catalogue,
            vms,
        )

    def _make_batch(self, store, after: int, budget_bytes: int) -> RecordBatch | None:
        if after >= store.through:
            return None
        batch = store.changes_after(after, self._node.settings.control.records_per_gossip)
        encoded_records: list[msgspec.Raw] = []
        through = after
        for record in batch.records:
            encoded = msgspec.json.encode(record)
            budget_bytes -= len(encoded)
            if budget_bytes < 0:
                return RecordBatch(tuple(encoded_records), through) if encoded_records else None
            encoded_records.append(msgspec.Raw(encoded))
            through = record.revision
        return RecordBatch(tuple(encoded_records), batch.through)

    def _decode(self, payload: bytes) -> GossipMessage | None:
        match decode_json(payload, GossipMessage):
            case Ok(message):
                return message
            case Err(reason):
                self._node.counters["gossip_rejected"] += 1
                log_event(logger, LogEvent.CONTROL_BODY_REJECTED, step="gossip", reason=reason)
        return None

    def _apply_message(self, message: GossipMessage, now: float) -> None:
        entry_vms = self._node.entry_vms
        for update in (message.sender, *message.news):
            entry_vms.merge_update(update)
        sender = entry_vms.get(message.sender.name)
        if sender is not None:
            sender.catalogue_through = message.catalogue_through
            sender.vms_through = message.vms_through
        if message.catalogue is not None:
            batch = message.catalogue
            self._publications.apply_catalogue(batch.records, batch.through)
        if message.vms is not None:
            batch = message.vms
            self._publications.apply_vms(batch.records, batch.through, now)

    def _grant(self, request: LimitRequest, now: float) -> Lease:
        node = self._node
        entry = node.catalogue.get(request.service)
        if entry is None or entry.retired or request.amount < 1:
            return Lease(request.service, request.resource, 0, now)
        times = node.settings.times
        match request.resource:
            case Resource.CONNECTIONS:
                limit, in_use = entry.max_connections, node.flows.count_by_service(request.service)
                expires_at = now + times.connection_lease
            case Resource.LOAD:
                limit, in_use = entry.max_load, self._coordinator.running_count_by_service(
                    request.service
                )
                expires_at = now + times.load_lease
        return node.limits.lend(request, limit, in_use, expires_at, now)

    def _count_sent(self, size: int) -> None:
        self._node.counters["control_bytes_sent"] += size + HTTP_OVERHEAD_BYTES
