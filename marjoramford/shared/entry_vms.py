"""Membership table: the entry VMs known to this one, from the platform's VM list and from gossip.

Failure detection follows SWIM: an entry VM that does not answer becomes suspect, and lost when the
suspicion times out. A suspect or lost entry VM becomes alive again when this one hears from it
directly, or when it refutes the suspicion with a higher heartbeat, which arrives by gossip.
Membership only determines where datagrams are sent. It never determines which entry VM may run a
request.
"""

import logging
from collections.abc import Iterable
from itertools import islice
from typing import Literal

import msgspec
import xxhash

from .addresses import Address
from .logs import LogEvent, log_event
from .records import VmRecord

logger = logging.getLogger(__name__)

MemberState = Literal["alive", "suspect", "lost", "leaving", "left"]
_REACHABLE_STATES = ("alive", "suspect", "leaving")


class Coordinator(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The incarnation of an entry VM that is solely responsible for the requests of a flow."""

    entry_vm: str
    incarnation: int


class MemberUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of one entry VM, sent by itself or passed on by another.

    `heartbeat` orders the updates about one incarnation. Only the entry VM itself raises it: to
    refute a suspicion and, unless it serves opaque flows, at the start and at the end of a planned
    stop.
    Of two updates with the same heartbeat, the one whose state comes later in the order alive,
    leaving, suspect, lost, left is newer. The first update that says `leaving` is newer than
    `suspect` and `lost` as well, since an entry VM for opaque flows may have announced it after
    that suspicion. No update about the same incarnation is newer than `left`, whatever its
    heartbeat.
    """

    name: str
    incarnation: int
    heartbeat: int
    state: MemberState
    zone: str
    peer_address: Address
    control_address: Address
    successor: Coordinator | None = None
    link_mbps: float = 0.0


class EntryVm(msgspec.Struct, eq=False):
    """A member of the fleet, with the state that this entry VM currently assigns to it.

    Attributes:
        suspected_until: when a suspect becomes lost, on the clock of the caller of `suspect`, in
            seconds; 0 while there is no suspicion or no timeout has been set.
        transmissions: how many times its latest update has been disseminated.
        successor: the coordinator that took over its flows at a planned stop.
        link_mbps: bandwidth of its link, in Mbit/s; 0 if it is not known.
        catalogue_through: catalogue revision up to which it has every change.
        vms_through: VM list revision up to which it has every change.
    """

    name: str
    incarnation: int
    zone: str
    peer_address: Address
    control_address: Address
    heartbeat: int = 0
    state: MemberState = "alive"
    suspected_until: float = 0.0
    successor: Coordinator | None = None
    transmissions: int = 0
    link_mbps: float = 0.0
    catalogue_through: int = 0
    vms_through: int = 0

    @property
    def is_reachable(self) -> bool:
        """Whether datagrams may be sent to it: it is neither lost nor has it left."""
        return self.state in _REACHABLE_STATES

    def to_update(self) -> MemberUpdate:
        """Returns its current state as an update for gossip."""
        return MemberUpdate(
            self.name,
            self.incarnation,
            self.heartbeat,
            self.state,
            self.zone,
            self.peer_address,
            self.control_address,
            self.successor,
            self.link_mbps,
        )


class Local(msgspec.Struct, frozen=True):
    """This incarnation of this entry VM is the coordinator."""


class Remote(msgspec.Struct, frozen=True):
    """Another entry VM is the coordinator; relay to `address`."""

    address: Address


class Lost(msgspec.Struct, frozen=True):
    """The coordinator is gone, according to the membership known here."""


CoordinatorLocation = Local | Remote | Lost

_STATE_RANK = {"alive": 0, "leaving": 1, "suspect": 2, "lost": 3, "left": 4}
_MAX_SUCCESSOR_HOPS = 8
UPDATE_TRANSMISSIONS = 4


class EntryVms:
    """The membership table: the other entry VMs, and this one's own state."""

    def __init__(self, own: EntryVm, suspicion_seconds: float):
        self.own = own
        self._suspicion_seconds = suspicion_seconds
        self._others: dict[str, EntryVm] = {}
        # Incarnation of each entry VM that is known to have begun its planned stop.
        self._leaving: dict[str, int] = {}
        self._in_minority: bool | None = None
        self._pending_updates: dict[str, EntryVm] = {}

    def __len__(self) -> int:
        return len(self._others)

    def others(self) -> Iterable[EntryVm]:
        """Returns every other known entry VM, including lost ones and those that have left."""
        return self._others.values()

    def get(self, name: str) -> EntryVm | None:
        """Returns another entry VM by name, or None if it is not known."""
        return self._others.get(name)

    def active(self) -> list[EntryVm]:
        """Returns the other entry VMs that accept new flows."""
        return [vm for vm in self._others.values() if vm.state == "alive"]

    def reachable(self) -> list[EntryVm]:
        """Returns the other entry VMs to which datagrams may be sent."""
        return [vm for vm in self._others.values() if vm.is_reachable]

    def has_announced_leave(self, vm: EntryVm) -> bool:
        """Returns whether the incarnation is known to have begun its planned stop."""
        return self._is_leaving(vm)

    def is_in_minority(self) -> bool:
        """Returns whether more than half of the others that have not left are suspect or lost."""
        if self._in_minority is None:
            remaining = [vm for vm in self._others.values() if vm.state != "left"]
            unreachable = sum(vm.state in ("suspect", "lost") for vm in remaining)
            self._in_minority = 2 * unreachable > len(remaining)
        return self._in_minority

    def select_updates(self, limit: int) -> tuple[MemberUpdate, ...]:
        """Returns up to `limit` recent updates to piggyback on a message.

        Each update is returned at most `UPDATE_TRANSMISSIONS` times.
        """
        selected = list(islice(self._pending_updates.values(), limit))
        for vm in selected:
            vm.transmissions += 1
            del self._pending_updates[vm.name]
            if vm.transmissions < UPDATE_TRANSMISSIONS:
                self._pending_updates[vm.name] = vm
        return tuple(vm.to_update() for vm in selected)

    def apply_record(self, record: VmRecord) -> None:
        """Applies an entry VM's record from the platform's VM list.

        A record with incarnation 0 applies to whichever incarnation is known.
        """
        if record.role != "entry" or record.name == self.own.name:
            return
        known = self._others.get(record.name)
        if known is not None and 0 < record.incarnation < known.incarnation:
            return
        if known is None or record.incarnation > known.incarnation:
            known = EntryVm(
                record.name,
                record.incarnation,
                record.zone,
                Address(record.host, record.inner_port),
                Address(record.host, record.http_port),
            )
            self._others[record.name] = known
            self._record_change(known)
        if record.state == "gone":
            self._set_state(known, "left")
        elif record.state == "leaving" and known.is_reachable:
            self._leaving[known.name] = known.incarnation
            if known.state == "alive":
                self._set_state(known, "leaving")

    def merge_update(self, update: MemberUpdate) -> None:
        """Merges an update from gossip; a stale one has no effect.

        A suspicion of this entry VM itself is refuted by raising its own heartbeat.
        """
        if update.name == self.own.name:
            self._refute(update)
            return
        known = self._others.get(update.name)
        if known is not None and known.incarnation == update.incarnation and update.link_mbps:
            # An entry VM of an older build may have passed the update on without it.
            known.link_mbps = update.link_mbps
        if known is not None and not self._is_newer(update, known):
            return
        if known is None or update.incarnation > known.incarnation:
            known = EntryVm(
                update.name,
                update.incarnation,
                update.zone,
                update.peer_address,
                update.control_address,
                link_mbps=update.link_mbps,
            )
            self._others[update.name] = known
            self._record_change(known)
        known.heartbeat = update.heartbeat
        known.successor = update.successor or known.successor
        if update.state == "alive":
            self._set_state(known, self._answering_state(known))
        elif update.state != "suspect" or known.state in ("alive", "leaving"):
            self._set_state(known, update.state)

    def confirm_alive(self, name: str, incarnation: int) -> None:
        """Marks a suspect or lost incarnation alive again, or leaving if it had begun to leave.

        Called after the incarnation answered or sent a message of its own.
        """
        known = self._others.get(name)
        if known is None or known.incarnation != incarnation:
            return
        if known.state in ("suspect", "lost"):
            log_event(logger, LogEvent.ENTRY_VM_BACK, entry_vm=name)
            self._set_state(known, self._answering_state(known))

    def suspect(self, name: str, incarnation: int, now: float) -> None:
        """Marks an incarnation suspect because it did not answer, if it was alive or leaving."""
        known = self._others.get(name)
        if known is None or known.incarnation != incarnation:
            return
        if known.state not in ("alive", "leaving"):
            return
        known.suspected_until = now + self._suspicion_seconds
        self._set_state(known, "suspect")
        log_event(logger, LogEvent.ENTRY_VM_SUSPECTED, entry_vm=name)

    def expire_suspicions(self, now: float) -> None:
        """Marks suspects lost when their suspicion timeout has passed.

        A suspicion learned from gossip has no timeout yet; its timeout starts here.
        """
        for vm in self._others.values():
            if vm.state == "suspect":
                vm.suspected_until = vm.suspected_until or now + self._suspicion_seconds
                if vm.suspected_until <= now:
                    self._set_state(vm, "lost")
                    log_event(logger, LogEvent.ENTRY_VM_LEFT, entry_vm=vm.name, state="lost")

    def locate(self, coordinator: Coordinator, known_address: Address) -> CoordinatorLocation:
        """Returns where a coordinator, or the successor that took over its flows, can be reached.

        A coordinator that is not known here is assumed to be at `known_address`, which comes from
        the token. If that is this entry VM's own address, the address was reused and the
        coordinator is lost.
        """
        for _ in range(_MAX_SUCCESSOR_HOPS):
            if coordinator.entry_vm == self.own.name:
                return Local() if coordinator.incarnation == self.own.incarnation else Lost()
            vm = self._others.get(coordinator.entry_vm)
            if vm is None or coordinator.incarnation > vm.incarnation:
                is_own_address = known_address == self.own.peer_address
                return Lost() if is_own_address else Remote(known_address)
            if coordinator.incarnation < vm.incarnation or vm.state == "lost":
                return Lost()
            if vm.state != "left":
                return Remote(vm.peer_address)
            if vm.successor is None:
                return Lost()
            coordinator = vm.successor
            successor = self._others.get(coordinator.entry_vm)
            known_address = successor.peer_address if successor else known_address
        return Lost()

    def latest_successor(self, coordinator: Coordinator) -> EntryVm | None:
        """Returns the entry VM that now has a coordinator's flows, or None if it is not known.

        This is the coordinator's own entry VM as long as that has not left.
        """
        vm = self._find_incarnation(coordinator)
        for _ in range(_MAX_SUCCESSOR_HOPS):
            if vm is None or vm.state != "left" or vm.successor is None:
                break
            vm = self._find_incarnation(vm.successor)
        return vm if vm is not None and vm.state != "left" else None

    def _find_incarnation(self, coordinator: Coordinator) -> EntryVm | None:
        known = self._others.get(coordinator.entry_vm)
        vm = self.own if coordinator.entry_vm == self.own.name else known
        return vm if vm is not None and vm.incarnation == coordinator.incarnation else None

    def _refute(self, update: MemberUpdate) -> None:
        own = self.own
        is_suspected = update.state in ("suspect", "lost") and update.incarnation == own.incarnation
        if is_suspected and update.heartbeat >= own.heartbeat:
            own.heartbeat = update.heartbeat + 1

    def _is_newer(self, update: MemberUpdate, known: EntryVm) -> bool:
        if update.incarnation != known.incarnation:
            return update.incarnation > known.incarnation
        if known.state == "left":
            return False
        if update.heartbeat != known.heartbeat:
            return update.heartbeat > known.heartbeat
        if update.state == "leaving" and not self._is_leaving(known):
            return True
        return _STATE_RANK[update.state] > _STATE_RANK[known.state]

    def _is_leaving(self, vm: EntryVm) -> bool:
        return self._leaving.get(vm.name) == vm.incarnation

    def _answering_state(self, vm: EntryVm) -> MemberState:
        return "leaving" if self._is_leaving(vm) else "alive"

    def _record_change(self, vm: EntryVm) -> None:
        self._in_minority = None
        vm.transmissions = 0
        self._pending_updates[vm.name] = vm

    def _set_state(self, vm: EntryVm, state: MemberState) -> None:
        if state == "leaving":
            self._leaving[vm.name] = vm.incarnation
        if vm.state != state:
            vm.state = state
            self._record_change(vm)
            if state != "suspect":
                vm.suspected_until = 0.0


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Sorts names by rendezvous hash with a key.

    Every entry VM that knows the same names gets the same order.
    """
    prefix = f"{key}/".encode()
    return sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(prefix + name.encode()))
