"""Planned changes and faults that an experiment injects into the simulated platform."""

from dataclasses import dataclass

from .packet_servers import PacketServer
from .packet_worlds import PacketWorld

# Time from a crash until the server's entry expires, after three missed heartbeats.
ENTRY_EXPIRY_SECONDS = 2.3
# Time that a leaving server keeps running; slightly longer than the drain limit of 5 s.
LEAVING_SECONDS = 6.0
# Entries that expired during an outage of the store are written again within this time after it.
MAX_RELIST_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ReplaceServer:
    """Planned replacement of a backend server: its successor starts first."""


@dataclass(frozen=True, slots=True)
class CrashServer:
    """A backend server crashes.

    When its entry expires, a server of another service starts at the address of a terminated
    server, and a new server of the same service replaces the crashed one.
    """


@dataclass(frozen=True, slots=True)
class StopVm:
    """Planned stop of an entry VM; without effect unless it serves and is not stopping already."""


@dataclass(frozen=True, slots=True)
class ChangeRoutes:
    """A route port moves to another service, and back at the next change; the first one adds it."""


@dataclass(frozen=True, slots=True)
class KillVm:
    """An entry VM's process is killed."""

    down_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class KillAllVms:
    """All entry VMs are killed at once."""

    down_seconds: float = 1.2


@dataclass(frozen=True, slots=True)
class FreezeVm:
    """An entry VM's process is suspended."""

    seconds: float = 2.0


@dataclass(frozen=True, slots=True)
class TurnAwayVm:
    """The store refuses the requests of one entry VM."""

    seconds: float = 4.0


@dataclass(frozen=True, slots=True)
class StopStore:
    """The store is unavailable to all; the entries of a third of the servers expire meanwhile."""

    seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class CutZone:
    """An availability zone is cut off from the others; its callers still reach it."""

    seconds: float = 4.0


@dataclass(frozen=True, slots=True)
class LoseDatagrams:
    """The links of an availability zone lose datagrams from entry VMs to servers."""

    share: float = 0.05
    seconds: float = 4.0


PacketFault = (
    ReplaceServer
    | CrashServer
    | StopVm
    | ChangeRoutes
    | KillVm
    | KillAllVms
    | FreezeVm
    | TurnAwayVm
    | StopStore
    | CutZone
    | LoseDatagrams
)

PLANNED = (ReplaceServer(), StopVm(), ChangeRoutes())
UNPLANNED = (
    CrashServer(),
    KillVm(),
    KillAllVms(),
    FreezeVm(),
    TurnAwayVm(),
    StopStore(),
    CutZone(),
    LoseDatagrams(),
)
PACKET_FAULT_SETS: dict[str, tuple[PacketFault, ...]] = {
    "none": (),
    "planned": PLANNED,
    "unplanned": UNPLANNED,
    "all": PLANNED + UNPLANNED,
}


def inject_fault(world: PacketWorld, fault: PacketFault) -> str:
    """Injects a planned change or a fault.

    Returns:
        A description of its target, or "" if there was no suitable target.
    """
    match fault:
        case ReplaceServer():
            return _replace_server(world)
        case CrashServer():
            return _crash_server(world)
        case ChangeRoutes():
            return _change_routes(world)
        case StopStore(seconds=seconds):
            return _stop_store(world, seconds)
        case CutZone(seconds=seconds):
            return _cut_zone(world, seconds)
        case LoseDatagrams(share=share, seconds=seconds):
            return _lose_datagrams(world, share, seconds)
        case KillAllVms(down_seconds=down_seconds):
            for vm in world.vms:
                vm.kill(down_seconds)
            return "all"
    return _inject_vm_fault(world, fault)


def _inject_vm_fault(world: PacketWorld, fault: PacketFault) -> str:
    vm = world.random.choice(world.vms)
    match fault:
        case StopVm():
            vm.stop()
        case KillVm(down_seconds=down_seconds):
            vm.kill(down_seconds)
        case FreezeVm(seconds=seconds):
            vm.freeze(seconds)
        case TurnAwayVm(seconds=seconds):
            vm.deny_store_access()
            world.after(seconds, vm.allow_store_access)
    return vm.name


def _choose_redundant_server(world: PacketWorld) -> PacketServer | None:
    """Returns a random server whose service has other running servers."""
    redundant = [s for s in world.running_servers() if len(world.running_servers(s.service)) > 1]
    return world.random.choice(redundant) if redundant else None


def _replace_server(world: PacketWorld) -> str:
    server = _choose_redundant_server(world)
    if server is None:
        return ""
    world.start_server(server.service, server.zone)
    world.list_server(server, "leaving")

    def finish_leaving() -> None:
        if server.alive:
            world.terminate_server(server)
            world.catalogue.remove_server(server.name, world.now)

    world.after(LEAVING_SECONDS, finish_leaving)
    return server.name


def _crash_server(world: PacketWorld) -> str:
    server = _choose_redundant_server(world)
    if server is None:
        return ""
    world.terminate_server(server)

    def expire_entry() -> None:
        world.catalogue.remove_server(server.name, world.now)
        others = [s.name for s in world.deployment.services if s.name != server.service]
        world.start_server(others[0], server.zone, reuse_address=True)
        world.start_server(server.service, server.zone)

    world.after(ENTRY_EXPIRY_SECONDS, expire_entry)
    return server.name


def _change_routes(world: PacketWorld) -> str:
    """Moves a port that no other traffic uses between the first two services."""
    services = dict(world.catalogue.history[-1].services)
    moved_port = max(world.ports.values()) + 1
    names = [service.name for service in world.deployment.services]
    current = services.get(moved_port)
    services[moved_port] = names[1] if current == names[0] else names[0]
    world.catalogue.publish_routes(services, world.now)
    return f"port {moved_port} to {services[moved_port]}"


def _stop_store(world: PacketWorld, seconds: float) -> str:
    if world.catalogue.down:
        return ""
    catalogue = world.catalogue
    catalogue.down = True
    catalogue.last_fault_at = world.now
    expired = world.random.sample(world.running_servers(), len(world.running_servers()) // 3)
    for server in expired:
        catalogue.remove_server(server.name, world.now)

    def restore_store() -> None:
        catalogue.down = False
        catalogue.last_fault_at = world.now
        for server in expired:
            world.after(
                world.random.uniform(0.0, MAX_RELIST_SECONDS), lambda s=server: _relist(world, s)
            )

    world.after(seconds, restore_store)
    return f"{len(expired)} entries lapse"


def _relist(world: PacketWorld, server: PacketServer) -> None:
    if server.alive:
        state = "leaving" if server.name in world.checker.draining else "live"
        world.list_server(server, state)


def _cut_zone(world: PacketWorld, seconds: float) -> str:
    zone = world.random.choice(world.deployment.zones)
    for other in world.deployment.zones:
        world.record_fault(other)
        if other != zone:
            world.network.cut(zone, other)

    def heal() -> None:
        world.network.heal()
        for each in world.deployment.zones:
            world.record_fault(each)

    world.after(seconds, heal)
    return zone


def _lose_datagrams(world: PacketWorld, share: float, seconds: float) -> str:
    zone = world.random.choice(world.deployment.zones)
    world.set_zone_loss(zone, share)
    world.after(seconds, lambda: world.set_zone_loss(zone, 0.0))
    return zone
