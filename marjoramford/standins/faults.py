"""Planned changes and failures that experiments inject into a world."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..token_flows.events import DrainRequested
from ..token_flows.keys import KeyRing
from .networks import PLATFORM
from .worlds import KEY_SECRETS, EntryNode, ServerNode, World, copy_platform

# Faults hit an entry VM only while more than this number of them run, neither draining nor paused.
MIN_ENTRY_VMS = 3
DRAIN_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class StopEntryVm:
    """A planned stop of an entry VM."""


@dataclass(frozen=True, slots=True)
class JoinEntryVm:
    """A new entry VM joins."""


@dataclass(frozen=True, slots=True)
class KillEntryVm:
    """An entry VM crashes."""


@dataclass(frozen=True, slots=True)
class PauseEntryVm:
    """An entry VM is paused and later resumes with a stale view of the cluster."""

    seconds: float = 6.0


@dataclass(frozen=True, slots=True)
class StopServer:
    """A planned stop of a backend server; a new server replaces it."""


@dataclass(frozen=True, slots=True)
class JoinServer:
    """A new backend server joins; its work is slow if the world has a cold start."""


@dataclass(frozen=True, slots=True)
class KillServer:
    """A backend server crashes; a new server replaces it."""


@dataclass(frozen=True, slots=True)
class ReuseAddress:
    """A backend server crashes and a server of another service gets its address.

    A new server at another address replaces the crashed one.
    """


@dataclass(frozen=True, slots=True)
class CutZones:
    """A network partition separates two availability zones."""

    seconds: float = 6.0


@dataclass(frozen=True, slots=True)
class CutPlatform:
    """A network partition separates a zone from the platform and from all other zones."""

    seconds: float = 6.0


@dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform does not answer."""

    seconds: float = 8.0


@dataclass(frozen=True, slots=True)
class PlatformStale:
    """A change is published, and soon after the platform answers from an older copy.

    Entry VMs that have applied the change must not return to the older revision.
    """

    seconds: float = 8.0


@dataclass(frozen=True, slots=True)
class ReclassTwice:
    """An operator changes the service class of an entry twice, the second time 10 ms later."""


@dataclass(frozen=True, slots=True)
class RetireAndAdd:
    """An operator retires an entry while flows are open, and adds it again later."""

    seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class RotateKeys:
    """The entry VMs switch to the next key one by one, within 2 s."""


@dataclass(frozen=True, slots=True)
class LoseHandoverAcks:
    """An entry VM stops as planned while the replies to its handovers are lost."""

    seconds: float = 2.0


@dataclass(frozen=True, slots=True)
class KillDuringHandover:
    """An entry VM crashes during a planned stop, within 50 ms of its start."""


Fault = (
    StopEntryVm
    | JoinEntryVm
    | KillEntryVm
    | PauseEntryVm
    | StopServer
    | JoinServer
    | KillServer
    | ReuseAddress
    | CutZones
    | CutPlatform
    | PlatformDown
    | PlatformStale
    | ReclassTwice
    | RetireAndAdd
    | RotateKeys
    | LoseHandoverAcks
    | KillDuringHandover
)

PLANNED: tuple[Fault, ...] = (
    StopEntryVm(),
    JoinEntryVm(),
    StopServer(),
    JoinServer(),
    ReclassTwice(),
    RetireAndAdd(),
    RotateKeys(),
)
UNPLANNED: tuple[Fault, ...] = (
    KillEntryVm(),
    PauseEntryVm(),
    KillServer(),
    ReuseAddress(),
    CutZones(),
    CutPlatform(),
    PlatformDown(),
    PlatformStale(),
    LoseHandoverAcks(),
    KillDuringHandover(),
)
FAULT_SETS: dict[str, tuple[Fault, ...]] = {
    "none": (),
    "planned": PLANNED,
    "unplanned": UNPLANNED,
    "all": PLANNED + UNPLANNED,
}


def inject_fault(world: World, fault: Fault) -> str:
    """Injects a fault now.

    Returns:
        The name of what the fault affects, or an empty string if it is not possible now: too few
        entry VMs or servers are left, or the entry is retired already. For a joining server it is
        the name of a running server of the same service.
    """
    match fault:
        case StopEntryVm():
            return _apply_to_entry_vm(world, lambda node: _stop_entry_vm(world, node))
        case JoinEntryVm():
            return _join_entry_vm(world)
        case KillEntryVm():
            return _apply_to_entry_vm(world, lambda node: world.kill_entry_vm(node.record.name))
        case PauseEntryVm(seconds=seconds):
            return _apply_to_entry_vm(world, lambda node: _pause_entry_vm(world, node, seconds))
        case StopServer():
            return _apply_to_server(world, lambda node: _stop_server(world, node))
        case JoinServer():
            return _apply_to_server(world, lambda node: _replace_server(world, node))
        case KillServer():
            return _apply_to_server(world, lambda node: _kill_server(world, node))
        case ReuseAddress():
            return _apply_to_server(world, lambda node: _reuse_address(world, node))
        case LoseHandoverAcks(seconds=seconds):
            return _apply_to_entry_vm(
                world, lambda node: _stop_without_handover_acks(world, node, seconds)
            )
        case KillDuringHandover():
            return _apply_to_entry_vm(world, lambda node: _kill_during_handover(world, node))
        case RotateKeys():
            return _rotate_keys(world)
        case _:
            return _inject_outside_vms(world, fault)


def _inject_outside_vms(world: World, fault: Fault) -> str:
    zones = list(world.deployment.zones)
    match fault:
        case CutZones(seconds=seconds):
            one, other = world.random.sample(zones, 2)
            _cut_for(world, one, other, seconds)
            return f"{one} {other}"
        case CutPlatform(seconds=seconds):
            zone = world.random.choice(zones)
            for other in (*zones, PLATFORM):
                if other != zone:
                    _cut_for(world, zone, other, seconds)
            return zone
        case PlatformDown(seconds=seconds):
            world.platform_down_until = max(world.platform_down_until, world.now + seconds)
            return PLATFORM
        case PlatformStale(seconds=seconds):
            old_copy = copy_platform(world.platform)
            _change_service_class(world, "standard")
            until = world.now + 1.0 + seconds
            world.after(1.0, lambda: world.start_stale_reads(old_copy, until))
            world.at(until, world.end_stale_reads)
            return PLATFORM
        case ReclassTwice():
            _change_service_class(world, "bulk")
            world.after(0.01, lambda: _change_service_class(world, "critical"))
            return world.deployment.services[0].name
        case RetireAndAdd(seconds=seconds):
            return _retire_and_add(world, seconds)
        case _:
            raise TypeError(f"unknown fault {fault!r}")


def _apply_to_entry_vm(world: World, apply: Callable[[EntryNode], None]) -> str:
    nodes = [
        node
        for node in world.alive_entry_vms()
        if not node.balancer.is_draining and not node.paused
    ]
    if len(nodes) <= MIN_ENTRY_VMS:
        return ""
    node = world.random.choice(nodes)
    apply(node)
    return node.record.name


def _apply_to_server(world: World, apply: Callable[[ServerNode], None]) -> str:
    available = [
        node
        for node in world.server_nodes.values()
        if node.alive and node.model.draining_since is None
    ]
    servers_per_service: dict[str, int] = {}
    for node in available:
        servers_per_service[node.record.service] = (
            servers_per_service.get(node.record.service, 0) + 1
        )
    spare = [node for node in available if servers_per_service[node.record.service] > 2]
    if not spare:
        return ""
    node = world.random.choice(spare)
    apply(node)
    return node.record.name


def _stop_entry_vm(world: World, node: EntryNode) -> None:
    world.publish_vm_state(node.record.name, "leaving")
    world.submit(node, DrainRequested(world.now + DRAIN_SECONDS))


def _stop_without_handover_acks(world: World, node: EntryNode, seconds: float) -> None:
    lost_until = world.now + seconds
    world.handover_acks_lost_until = max(world.handover_acks_lost_until, lost_until)
    _stop_entry_vm(world, node)


def _cut_for(world: World, one: str, other: str, seconds: float) -> None:
    world.network.cut(one, other)
    world.after(seconds, lambda: world.network.restore(one, other))


def _kill_during_handover(world: World, node: EntryNode) -> None:
    _stop_entry_vm(world, node)
    delay = world.random.uniform(0.0, 0.05)
    world.after(delay, lambda: world.kill_entry_vm(node.record.name))


def _join_entry_vm(world: World) -> str:
    number = len(world.entry_nodes)
    name = f"entry-{number + 1}"
    world.add_entry_vm(name, world.random.randrange(16), listed_at=world.now)
    return name


def _pause_entry_vm(world: World, node: EntryNode, seconds: float) -> None:
    node.paused = True
    world.after(seconds, lambda: world.resume(node))


def _replace_server(world: World, node: ServerNode, service: str = "") -> None:
    number = len(world.server_nodes) + 1
    service = service or node.record.service
    name = f"{service}-x{number}"
    zone = world.random.randrange(16)
    world.add_server(name, service, node.model.slots, zone, listed_at=world.now)


def _stop_server(world: World, node: ServerNode) -> None:
    world.drain_server(node.record.name)
    _replace_server(world, node)


def _kill_server(world: World, node: ServerNode) -> None:
    world.kill_server(node.record.name)
    _replace_server(world, node)


def _reuse_address(world: World, node: ServerNode) -> None:
    world.kill_server(node.record.name)
    names = [service.name for service in world.deployment.services]
    other = next(name for name in names if name != node.record.service)
    name = f"{other}-x{len(world.server_nodes) + 1}"
    world.add_server(name, other, node.model.slots, 0, host=node.record.host, listed_at=world.now)
    _replace_server(world, node)


def _rotate_keys(world: World) -> str:
    for node in world.alive_entry_vms():
        delay = world.random.uniform(0.0, 2.0)
        ring = KeyRing(KEY_SECRETS, 2)
        world.after(delay, lambda node=node, ring=ring: setattr(node.balancer.node, "keys", ring))
    return "all entry VMs"


def _change_service_class(world: World, service_class: str) -> None:
    entry = world.platform.catalogue.get(world.deployment.services[0].name)
    assert entry is not None
    changed = msgspec.structs.replace(entry, service_class=service_class)
    world.platform.put_entry(changed)
    if world.stale_platform is None:
        world.start_spread_measurement()


def _retire_and_add(world: World, seconds: float) -> str:
    name = world.deployment.services[1].name
    entry = world.platform.catalogue.get(name)
    assert entry is not None
    if entry.retired:
        return ""
    world.platform.retire(name)
    world.start_spread_measurement()
    added = msgspec.structs.replace(entry, retired=False)
    world.after(seconds, lambda: world.platform.put_entry(added) and None)
    return name
