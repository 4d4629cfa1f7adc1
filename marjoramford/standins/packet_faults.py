"""Planned changes and faults that an experiment injects into the simulated platform."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .packet_servers import PacketServer
from .packet_worlds import PacketWorld

# Time from a crash until the server's entry expires, after three missed heartbeats.
ENTRY_EXPIRY_SECONDS = 2.3
# Time that a leaving server keeps running; slightly longer than the drain limit of 5 s.
LEAVING_SECONDS = 6.0
# Entries that expired during an outage of the store are written again within this time after it.
MAX_RELIST_SECONDS = 2.0
WRITE_RETRY_SECONDS = 0.3
# In a drain that ends cold, when the zone's servers are stopped, counted back from its end, and how
# long they are down. Their entries do not expire meanwhile.
MAINTENANCE_LEAD_SECONDS = 2.0
MAINTENANCE_SECONDS = 1.5


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
class RestoreStore:
    """The store is unavailable to all and comes back from a copy, in a new era.

    Afterwards the running servers and the operator write again what the store should hold, and the
    entries of servers that no longer run expire, since nobody renews their leases.

    Attributes:
        seconds: length of the outage.
        copy_age_seconds: age of the copy when the outage begins.
    """

    seconds: float = 2.0
    copy_age_seconds: float = 4.0


@dataclass(frozen=True, slots=True)
class CutZone:
    """An availability zone is cut off from the others; its callers still reach it.

    Attributes:
        zone: the zone; "" for a random one.
        from_store: whether its entry VMs cannot reach the store either.
    """

    seconds: float = 4.0
    zone: str = ""
    from_store: bool = False


@dataclass(frozen=True, slots=True)
class LoseDatagrams:
    """The links of an availability zone lose datagrams from entry VMs to servers."""

    share: float = 0.05
    seconds: float = 4.0


@dataclass(frozen=True, slots=True)
class StopZoneServers:
    """The servers of an availability zone stop responding, and come back cold under their names.

    They close nothing, and their entries expire unless they are back before.

    Attributes:
        seconds: time until they start again.
        zone: the zone; "" for a random one.
    """

    seconds: float = 4.0
    zone: str = ""


@dataclass(frozen=True, slots=True)
class DrainZone:
    """The operator drains an availability zone and later returns it to service.

    Attributes:
        seconds: length of the drain.
        cold: whether its servers are restarted shortly before the drain ends.
        zone: the zone; "" for a random one.
    """

    seconds: float = 8.0
    cold: bool = False
    zone: str = ""


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
    | RestoreStore
    | CutZone
    | LoseDatagrams
    | StopZoneServers
    | DrainZone
)

PLANNED = (ReplaceServer(), StopVm(), ChangeRoutes())
UNPLANNED = (
    CrashServer(),
    KillVm(),
    KillAllVms(),
    FreezeVm(),
    TurnAwayVm(),
    StopStore(),
    RestoreStore(),
    RestoreStore(seconds=0.15, copy_age_seconds=8.0),
    CutZone(),
    LoseDatagrams(),
)
ZONES = (
    DrainZone(),
    DrainZone(seconds=2.0),
    DrainZone(cold=True),
    StopZoneServers(),
    StopZoneServers(seconds=1.0),
)
PACKET_FAULT_SETS: dict[str, tuple[PacketFault, ...]] = {
    "none": (),
    "planned": PLANNED,
    "unplanned": UNPLANNED,
    "all": PLANNED + UNPLANNED,
    "zones": ZONES,
    "all-and-zones": ZONES + PLANNED + UNPLANNED,
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
        case RestoreStore(seconds=seconds, copy_age_seconds=copy_age):
            return _restore_store(world, seconds, copy_age)
        case CutZone(seconds=seconds, zone=zone, from_store=from_store):
            zone = zone or world.random.choice(world.deployment.zones)
            return _cut_zone(world, zone, seconds, from_store)
        case LoseDatagrams(share=share, seconds=seconds):
            return _lose_datagrams(world, share, seconds)
        case StopZoneServers(seconds=seconds, zone=zone):
            zone = zone or world.random.choice(world.deployment.zones)
            return _stop_zone_servers(world, zone, seconds)
        case DrainZone(seconds=seconds, cold=cold, zone=zone):
            zone = zone or world.random.choice(world.deployment.zones)
            return _drain_zone(world, zone, seconds, cold)
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

    def come_back() -> None:
        catalogue.down = False
        catalogue.last_fault_at = world.now
        for server in expired:
            _write_within(world, MAX_RELIST_SECONDS, partial(_relist, world, server))

    world.after(seconds, come_back)
    return f"{len(expired)} entries lapse"


def _restore_store(world: PacketWorld, seconds: float, copy_age: float) -> str:
    catalogue = world.catalogue
    if catalogue.down:
        return ""
    catalogue.down = True
    catalogue.last_fault_at = world.now
    copied_at = world.now - copy_age

    def come_back() -> None:
        catalogue.restore(copied_at, world.now)
        catalogue.down = False
        catalogue.last_fault_at = world.now
        for server in world.running_servers():
            _write_within(world, MAX_RELIST_SECONDS, partial(_relist, world, server))
        _write_within(world, MAX_RELIST_SECONDS, partial(_publish_routes_again, world))
        for zone in world.wanted_drains:
            _write_within(world, MAX_RELIST_SECONDS, partial(_write_drain_again, world, zone))
        for name in catalogue.records:
            if not world.servers[name].alive:
                expire = partial(_expire_entry, world, name)
                world.after(ENTRY_EXPIRY_SECONDS, partial(_write_when_up, world, expire))

    world.after(seconds, come_back)
    return f"{seconds} s, copy of {copy_age} s earlier"


def _write_within(world: PacketWorld, seconds: float, write: Callable[[], None]) -> None:
    """Makes a write to the store after a random time."""
    world.after(world.random.uniform(0.0, seconds), partial(_write_when_up, world, write))


def _write_when_up(world: PacketWorld, write: Callable[[], None]) -> None:
    """Makes a write to the store, again and again until the store is available."""
    if world.catalogue.down:
        world.after(WRITE_RETRY_SECONDS, partial(_write_when_up, world, write))
    else:
        write()


def _relist(world: PacketWorld, server: PacketServer) -> None:
    """Writes the entry of a running server, unless the store has it as it should be."""
    state = "leaving" if server.name in world.checker.draining else "live"
    record = world.catalogue.records.get(server.name)
    expected = (state, server.incarnation)
    if server.alive and (record is None or (record.state, record.incarnation) != expected):
        world.list_server(server, state)


def _write_drain_again(world: PacketWorld, zone: str) -> None:
    """Writes whether a zone is drained, unless the store has it as it should be."""
    if (zone in world.catalogue.drained_zones) != bool(world.wanted_drains[zone]):
        world.write_drain(zone)


def _publish_routes_again(world: PacketWorld) -> None:
    """Writes the newest routes as they were, or as a new version."""
    if world.random.random() < 0.5:
        world.catalogue.publish_routes_again(world.now)
    else:
        world.catalogue.publish_routes(world.catalogue.history[-1].services, world.now)


def _expire_entry(world: PacketWorld, name: str) -> None:
    if not world.servers[name].alive:
        world.catalogue.remove_server(name, world.now)


def _cut_zone(world: PacketWorld, zone: str, seconds: float, from_store: bool) -> str:
    without_store = [vm for vm in world.vms if from_store and vm.zone == zone]
    for vm in without_store:
        vm.deny_store_access()
    for other in world.deployment.zones:
        world.record_fault(other)
        if other != zone:
            world.network.cut(zone, other)

    def heal() -> None:
        world.network.heal()
        for vm in without_store:
            vm.allow_store_access()
        for each in world.deployment.zones:
            world.record_fault(each)

    world.after(seconds, heal)
    return zone


def _lose_datagrams(world: PacketWorld, share: float, seconds: float) -> str:
    zone = world.random.choice(world.deployment.zones)
    world.set_zone_loss(zone, share)
    world.after(seconds, lambda: world.set_zone_loss(zone, 0.0))
    return zone


def _stop_zone_servers(world: PacketWorld, zone: str, seconds: float) -> str:
    stopped = [server for server in world.running_servers() if server.zone == zone]
    for server in stopped:
        world.stop_server(server)
        expire = partial(_expire_entry, world, server.name)
        world.after(ENTRY_EXPIRY_SECONDS, partial(_write_when_up, world, expire))

    def come_back() -> None:
        for server in stopped:
            # A server that was leaving does not come back.
            if server.name not in world.checker.draining:
                world.restart_server(server)
                _write_when_up(world, partial(_relist, world, server))

    world.after(seconds, come_back)
    return f"{len(stopped)} servers of {zone}"


def _drain_zone(world: PacketWorld, zone: str, seconds: float, cold: bool) -> str:
    world.wanted_drains[zone] += 1
    _write_when_up(world, partial(world.write_drain, zone))

    def end() -> None:
        world.wanted_drains[zone] -= 1
        _write_when_up(world, partial(world.write_drain, zone))

    if cold:
        stop = partial(_stop_zone_servers, world, zone, MAINTENANCE_SECONDS)
        world.after(seconds - MAINTENANCE_LEAD_SECONDS, stop)
    world.after(seconds, end)
    return f"{zone} for {seconds} s"
