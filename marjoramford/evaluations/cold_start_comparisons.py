"""Compares ways to keep the flows that open at one cold server within a limit over a whole fleet.

Simulated are the decisions of all entry VMs for one cold server in one zone, while flows arrive at
random entry VMs. `tools/measure_cold_starts.py` prints the figures.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

import msgspec

from ..opaque_flows.cold_starts import ColdStartControl
from ..opaque_flows.flow_settings import ColdStartSettings, PeerSettings
from ..opaque_flows.peer_groups import PeerGroup
from ..shared.addresses import Address
from ..shared.backend_servers import BackendServer
from ..shared.entry_vms import EntryVm

ZONES = 3
ZONE = "a"
TICK_SECONDS = 0.5
# Openings are counted from here on, when all entry VMs have settled and the buckets are in use.
MEASURED_FROM_SECONDS = 20.0
# Simulated start of a fleet: seeds, cold servers and steps.
SEEDS = 3
COLD_SERVERS = 6
START_STEP_SECONDS = 0.1
PEERS = PeerSettings()
ADDRESS = Address("127.0.0.1", 1)
# Round trip between two entry VMs, interval between requests, and validity of a granted token.
ROUND_TRIP_SECONDS = 0.004
REQUEST_INTERVAL_SECONDS = 0.1
GRANT_SECONDS = 0.25

MemberView = Callable[[str, Sequence[str], float], tuple[list[str], list[str]]]


class Policy(Protocol):
    """Decides for all entry VMs of a fleet; `messages` counts those between entry VMs."""

    messages: int

    def open(self, entry_vm: int, now: float) -> bool:
        """Returns whether an entry VM opens a flow at the server at this time."""

    def tick(self, now: float) -> None:
        """Advances all entry VMs to this time."""


class OpeningCount(msgspec.Struct, frozen=True):
    """What a cold server got.

    Attributes:
        used_share: openings per second as a share of the limit.
        most_in_second: most openings in any sliding second.
        messages_per_second: messages between entry VMs.
    """

    used_share: float
    most_in_second: int
    messages_per_second: float


def see_everyone(_own: str, names: Sequence[str], _now: float) -> tuple[list[str], list[str]]:
    """Returns the view of a zone in which every member is present."""
    return list(names), []


class Holders:
    """A few entry VMs of the zone have a share; see `cold_starts`."""

    def __init__(self, entry_vms: int, limit: float, view: MemberView = see_everyone):
        self.messages = 0
        self._limit = limit
        self._view = view
        self._names = [f"front-a-{number}" for number in range(0, entry_vms, ZONES)]
        settings = ColdStartSettings()
        self._controls = {n: ColdStartControl(n, ZONE, settings, 0.0) for n in self._names}
        self._server = _make_cold_server("i-1")

    def open(self, entry_vm: int, now: float) -> bool:
        """Returns whether the entry VM holds a token, and takes it."""
        control = self._controls.get(f"front-a-{entry_vm}")
        if control is None or not control.may_open(self._server, self._limit, now):
            return False
        return control.record_opening(self._server, self._limit, now)

    def tick(self, now: float) -> None:
        """Updates the members that each entry VM sees."""
        for name, control in self._controls.items():
            control.update_members(*self._view(name, self._names, now), now)


def _make_cold_server(name: str) -> BackendServer:
    return BackendServer(name, 1, ZONE, "booking", ADDRESS, ADDRESS, warm_at=float("inf"))


class Shares:
    """Every entry VM of the fleet has a share, and a bucket for one opening."""

    def __init__(self, entry_vms: int, limit: float, random: Random):
        self.messages = 0
        self._rate = limit / entry_vms
        self._next_at = [random.random() / self._rate for _ in range(entry_vms)]

    def open(self, entry_vm: int, now: float) -> bool:
        """Returns whether the bucket of the entry VM is full, and empties it."""
        if now < self._next_at[entry_vm]:
            return False
        self._next_at[entry_vm] = now + 1 / self._rate
        return True

    def tick(self, now: float) -> None:
        """Does nothing: all members are known."""


class Grants:
    """One entry VM of the zone grants tokens on request, each for one opening until a deadline."""

    def __init__(self, limit: float):
        self.messages = 0
        self._limit = limit
        self._tokens = 0.0
        self._at = 0.0
        self._granted: dict[int, float] = {}
        self._asked_at: dict[int, float] = {}

    def open(self, entry_vm: int, now: float) -> bool:
        """Returns whether the entry VM holds a valid token; requests one otherwise."""
        granted_at = self._granted.pop(entry_vm, float("inf"))
        if granted_at <= now <= granted_at + GRANT_SECONDS:
            return True
        if granted_at < float("inf") and now < granted_at:
            self._granted[entry_vm] = granted_at
        elif now - self._asked_at.get(entry_vm, float("-inf")) >= REQUEST_INTERVAL_SECONDS:
            self._asked_at[entry_vm] = now
            self.messages += 2
            self._tokens = min(1.0, self._tokens + (now - self._at) * self._limit)
            self._at = now
            if self._tokens >= 1:
                self._tokens -= 1
                self._granted[entry_vm] = now + ROUND_TRIP_SECONDS
        return False

    def tick(self, now: float) -> None:
        """Does nothing: tokens accrue when they are requested."""


def count_openings(
    policy: Policy, entry_vms: int, flows_per_second: float, limit: float, seconds: float, seed: int
) -> OpeningCount:
    """Returns what the server got while flows arrived at random entry VMs.

    Args:
        policy: decides for all entry VMs.
        entry_vms: entry VMs of the fleet, spread over `ZONES` zones.
        flows_per_second: new flows of the whole fleet for which the server would be chosen.
        limit: openings per second that the operator allows.
        seconds: time that is counted, after `MEASURED_FROM_SECONDS`.
        seed: of the arrivals.
    """
    random = Random(seed)
    now, next_tick = 0.0, 0.0
    opened: list[float] = []
    while now < MEASURED_FROM_SECONDS + seconds:
        while next_tick <= now:
            policy.tick(next_tick)
            next_tick += TICK_SECONDS
        now += random.expovariate(flows_per_second)
        if policy.open(random.randrange(entry_vms), now):
            opened.append(now)
    measured = sum(at >= MEASURED_FROM_SECONDS for at in opened)
    used = measured / seconds / limit
    return OpeningCount(used, count_most_in_second(opened), policy.messages / now)


def count_most_in_second(times: Sequence[float]) -> int:
    """Returns the most of the sorted times that lie in any sliding second, its ends included."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class FleetStart(msgspec.Struct, frozen=True):
    """What cold servers got after all entry VMs started together, under demand everywhere.

    Attributes:
        settled: when the entry VMs of the zone had settled, in seconds: the first, half, the last.
        most_unknown: most members of its zone that an entry VM did not know when it had settled.
        most_in_second: most openings of one of the servers in any sliding second.
    """

    settled: tuple[float, float, float]
    most_unknown: int
    most_in_second: int


def start_fleet(
    entry_vms: int, limit: float, seed: int, settings: ColdStartSettings, seconds: float = 25.0
) -> FleetStart:
    """Simulates the gossip of a fleet whose entry VMs all start within one second.

    Args:
        entry_vms: entry VMs of the fleet, spread over `ZONES` zones.
        limit: openings per second that the operator allows at each of the cold servers.
        seed: of the gossip.
        settings: the bound and the wait after a start.
        seconds: simulated time.
    """
    random = Random(seed)
    groups = _make_groups(entry_vms, random)
    zone = [address for address, group in groups.items() if group.entry_vms.own.zone == ZONE]
    controls = {
        address: ColdStartControl(groups[address].entry_vms.own.name, ZONE, settings, 0.0)
        for address in zone
    }
    exchange_at = {address: random.random() for address in groups}
    settled: dict[Address, tuple[float, int]] = {}
    servers = [_make_cold_server(f"i-{number:x}") for number in range(COLD_SERVERS)]
    opened: dict[str, list[float]] = {server.name: [] for server in servers}
    for step in range(round(seconds / START_STEP_SECONDS)):
        now = step * START_STEP_SECONDS
        for address, group in groups.items():
            if exchange_at[address] <= now:
                _exchange(group, groups)
                pause = PEERS.exchange_seconds
                if not len(group.entry_vms):
                    pause = PEERS.join_seconds
                exchange_at[address] = now + pause
        for address, control in controls.items():
            members = groups[address].zone_members()
            if members is None:
                continue
            control.update_members(members.present, members.lost, now)
            if control.is_settled(now):
                settled.setdefault(address, (now, len(zone) - len(members.present)))
            for server in servers:
                if control.may_open(server, limit, now):
                    control.record_opening(server, limit, now)
                    opened[server.name].append(now)
    times = sorted(at for at, _ in settled.values())
    most = max(map(count_most_in_second, opened.values()))
    unknown = max(missing for _, missing in settled.values())
    return FleetStart((times[0], times[len(times) // 2], times[-1]), unknown, most)


def _make_groups(entry_vms: int, random: Random) -> dict[Address, PeerGroup]:
    addresses = [Address("127.0.0.1", number + 1) for number in range(entry_vms)]
    groups = {}
    for number, address in enumerate(addresses):
        zone = "abc"[number % ZONES]
        own = EntryVm(f"front-{zone}-{number}", 1, zone, address, address)
        groups[address] = PeerGroup(own, addresses[:SEEDS], PEERS, random)
    return groups


def _exchange(group: PeerGroup, groups: dict[Address, PeerGroup]) -> None:
    selected = group.choose_exchange_partner()
    if selected is not None:
        partner = groups[selected[0]]
        partner.merge_updates(group.select_updates())
        group.merge_updates(partner.select_updates())
