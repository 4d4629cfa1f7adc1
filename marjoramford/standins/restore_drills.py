"""Simulation of a drill: the platform's store goes away and comes back from a copy.

Readers, followers and publishers are the product's own, on a virtual clock. Calls go through a
simulated network instead of sockets. Membership is complete from the start, so there is no gossip.
The time that processes spend computing is not simulated.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import StrEnum
from random import Random
from unittest import mock
from urllib.parse import parse_qs, urlsplit

import msgspec
from result import Err, Ok, Result

from ..opaque_flows import http_calls, state_readers
from ..opaque_flows.flow_balancers import FlowBalancer
from ..opaque_flows.flow_settings import PacketVmSettings
from ..opaque_flows.http_messages import HttpReply, HttpRequest
from ..opaque_flows.http_services import HttpResponse
from ..opaque_flows.peer_groups import PeerGroup
from ..opaque_flows.state_publishers import StatePublisher
from ..opaque_flows.state_readers import StateReader
from ..platform.entries import ROUTES_KEY, SERVER_PREFIX
from ..platform.stores import StoreReader
from ..shared.addresses import Address
from ..shared.entry_vms import EntryVm
from ..shared.errors import Step, StepError
from .packet_stores import ERA_HEADER, PacketStore, StoreCopy
from .virtual_loops import run_virtually

SERVERS_PER_VM = 3
WRITE_INTERVAL_SECONDS = 0.5
SETTLED_SECONDS = 6.0
COPY_AGE_SECONDS = 3.0
OBSERVED_SECONDS = 5.0
# Entries that the copy lacks are back within about two seconds.
MIN_REWRITE_SECONDS = 0.2
MAX_REWRITE_SECONDS = 1.5
POLL_SECONDS = 0.002
STORE_LATENCY_SECONDS = (0.001, 0.003)
PEER_LATENCY_SECONDS = (0.0002, 0.0008)
LINK_BYTES_PER_SECOND = 20e6 / 8
STORE_PAGE_ITEMS = 500

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Course(StrEnum):
    """What happens to the store in the observed seconds."""

    QUIET = "quiet"
    OUTAGE = "outage"
    RESTORE = "restore"


class DrillPlan(msgspec.Struct, frozen=True):
    """The size of a deployment and the course of a drill.

    Attributes:
        entry_vms: entry VMs of all zones together.
        away_seconds: shortest and longest time for which the store is away.
        course: what happens; in quiet times, the same seconds are observed.
    """

    entry_vms: int
    zones: int
    away_seconds: tuple[float, float]
    course: Course = Course.RESTORE


class ZoneTimes(msgspec.Struct):
    """When a zone heard of the new era, and when its last VM had a list of it; in seconds."""

    first_answer_at: float | None = None
    in_step_at: float | None = None


class DrillReport(msgspec.Struct):
    """What a drill took and cost.

    Attributes:
        zones: times by zone.
        back_at: when the store was back, in seconds.
        calls: calls on the store from its going away until `OBSERVED_SECONDS` after its return.
        whole_reads: whole reads of the store, by zone, in the same time.
        state_bytes: bytes of states that followers got in the same time.
    """

    zones: dict[str, ZoneTimes]
    back_at: float = 0.0
    calls: int = 0
    whole_reads: Counter[str] = msgspec.field(default_factory=Counter)
    state_bytes: int = 0


class SimulatedLink:
    """A VM's way out: answers pass one after another, at a limited rate."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def send(self, size: int) -> None:
        """Waits until an answer of `size` bytes has been sent."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / LINK_BYTES_PER_SECOND
        await asyncio.sleep(self._free_at - now)


class SimulatedClient:
    """Takes the place of `HttpClient` on the simulated network."""

    def __init__(self, network: "DrillNetwork", address: Address, step: Step):
        self._network = network
        self._address = address
        self._step = step

    async def get(self, target: str, timeout: float) -> Result[HttpReply, StepError]:
        """Sends a GET request; `timeout` covers the whole call, in seconds."""
        try:
            async with asyncio.timeout(timeout):
                return Ok(await self._network.call(self._address, target))
        except (OSError, TimeoutError) as error:
            return Err(StepError(self._step, str(self._address), repr(error)))

    def close(self) -> None:
        """There is no connection to close."""


class DrillNetwork:
    """Carries calls to the store and between entry VMs.

    Each zone has an address of its own for the store, by which its calls are told apart.

    Attributes:
        is_store_away: whether the store answers no calls.
        report: what was observed.
        observes: whether calls are counted.
    """

    def __init__(self, store: PacketStore, random: Random):
        self._store = store
        self._random = random
        self._handlers: dict[Address, Handler] = {}
        self._links: dict[Address, SimulatedLink] = {}
        self._zones: dict[Address, str] = {}
        # Ordered, so that calls that end together go on in the same order in each run.
        self._store_calls: dict[asyncio.Task, None] = {}
        self.is_store_away = False
        self.report = DrillReport({})
        self.observes = False

    def add_zone(self, zone: str, store_address: Address) -> None:
        """Makes the store reachable for a zone."""
        self._zones[store_address] = zone
        self.report.zones[zone] = ZoneTimes()

    def add_vm(self, address: Address, handler: Handler) -> None:
        """Makes an entry VM reachable."""
        self._handlers[address] = handler
        self._links[address] = SimulatedLink()

    def make_client(self, address: Address, step: Step) -> SimulatedClient:
        """Returns a client on this network."""
        return SimulatedClient(self, address, step)

    def take_store_away(self) -> None:
        """Cuts all calls to the store, and lets it answer none."""
        self.is_store_away = True
        for call in list(self._store_calls):
            call.cancel()

    def bring_store_back(self) -> None:
        """Lets the store answer again."""
        self.is_store_away = False

    async def call(self, address: Address, target: str) -> HttpReply:
        """Returns the answer to a call.

        Raises:
            OSError: the store is away.
        """
        if address in self._zones:
            return await self._call_store(self._zones[address], target)
        await asyncio.sleep(self._random.uniform(*PEER_LATENCY_SECONDS))
        response = await self._handlers[address](HttpRequest("GET", target, b""))
        await self._links[address].send(len(response.body))
        await asyncio.sleep(self._random.uniform(*PEER_LATENCY_SECONDS))
        if self.observes:
            self.report.state_bytes += len(response.body)
        return _make_reply(response)

    async def _call_store(self, zone: str, target: str) -> HttpReply:
        self._count_call(zone, target)
        await asyncio.sleep(self._random.uniform(*STORE_LATENCY_SECONDS))
        if self.is_store_away:
            raise ConnectionRefusedError("the store is away")
        call = asyncio.ensure_future(self._store.answer(HttpRequest("GET", target, b"")))
        self._store_calls[call] = None
        try:
            await asyncio.wait({call})
        finally:
            self._store_calls.pop(call, None)
            call.cancel()
        if call.cancelled():
            raise ConnectionResetError("the store went away")
        response = call.result()
        await asyncio.sleep(self._random.uniform(*STORE_LATENCY_SECONDS))
        times = self.report.zones[zone]
        if times.first_answer_at is None and (ERA_HEADER, "2") in response.headers:
            times.first_answer_at = time.monotonic()
        return _make_reply(response)

    def _count_call(self, zone: str, target: str) -> None:
        if not self.observes:
            return
        self.report.calls += 1
        if target.startswith("/v1/kv-range") and "after=" not in target:
            self.report.whole_reads[zone] += 1


class DrillVm:
    """An entry VM's readers and publisher."""

    def __init__(self, settings: PacketVmSettings, own: EntryVm, random: Random):
        self.zone = settings.zone
        self.address = own.control_address
        self.balancer = FlowBalancer(settings, random, time.monotonic())
        self.group = PeerGroup(own, [], settings.peers, random)
        self._publisher = StatePublisher(self.balancer)
        self.reader = StateReader(
            settings,
            self.balancer,
            self.group,
            StoreReader(settings, self.balancer),
            self._publisher,
        )

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answers a follower's request for changes."""
        query = {
            name: values[0] for name, values in parse_qs(urlsplit(request.target).query).items()
        }
        body = await self._publisher.answer(
            int(query["after"]),
            int(query["routes"]),
            float(query["wait"]),
            query["compress"] == "true",
            int(query["era"]),
            int(query["routes_era"]),
        )
        return HttpResponse(200, body)


class Drill:
    """A deployment, its store, and what happens to both."""

    def __init__(self, plan: DrillPlan, seed: int):
        self._plan = plan
        self._random = Random(seed)
        self._store = PacketStore(STORE_PAGE_ITEMS)
        self._store.era = 1
        self._network = DrillNetwork(self._store, self._random)
        self._values: dict[str, dict] = {}
        self._written_at: dict[str, float] = {}

    async def run(self) -> DrillReport:
        """Runs until the end of the observed time."""
        make_client = self._network.make_client
        with (
            mock.patch.object(http_calls, "HttpClient", make_client),
            mock.patch.object(state_readers, "HttpClient", make_client),
        ):
            self._fill_store()
            vms = self._make_vms()
            tasks = [asyncio.create_task(vm.reader.run()) for vm in vms]
            tasks.append(asyncio.create_task(self._write_entries()))
            await asyncio.sleep(SETTLED_SECONDS - COPY_AGE_SECONDS + self._random.random())
            await self._hold_drill(vms)
        for task in tasks:
            task.cancel()
        return self._network.report

    async def _hold_drill(self, vms: list[DrillVm]) -> None:
        copied_at = time.monotonic()
        copy = self._store.take_copy()
        away_seconds = self._random.uniform(*self._plan.away_seconds)
        await asyncio.sleep(COPY_AGE_SECONDS)
        self._network.observes = True
        if self._plan.course is not Course.QUIET:
            self._network.take_store_away()
        await asyncio.sleep(away_seconds)
        report = self._network.report
        report.back_at = time.monotonic()
        self._network.bring_store_back()
        if self._plan.course is Course.RESTORE:
            self._restore(copy, copied_at)
        while time.monotonic() < report.back_at + OBSERVED_SECONDS:
            self._record_zones_in_step(vms)
            await asyncio.sleep(POLL_SECONDS)

    def _restore(self, copy: StoreCopy, copied_at: float) -> None:
        self._store.restore(copy)
        loop = asyncio.get_running_loop()
        for key, written_at in self._written_at.items():
            if written_at >= copied_at:
                seconds = self._random.uniform(MIN_REWRITE_SECONDS, MAX_REWRITE_SECONDS)
                loop.call_later(seconds, self._store.put, key, self._values[key])

    def _record_zones_in_step(self, vms: list[DrillVm]) -> None:
        behind = {vm.zone for vm in vms if vm.balancer.server_list.version.era < self._store.era}
        for zone, times in self._network.report.zones.items():
            if times.in_step_at is None and zone not in behind:
                times.in_step_at = time.monotonic()

    def _fill_store(self) -> None:
        route = {"host": "198.18.0.1", "prefix": "/443/", "service": "booking"}
        self._store.put(ROUTES_KEY, {"version": 1, "routes": [route]})
        for number in range(SERVERS_PER_VM * self._plan.entry_vms):
            address = f"10.{number // 250}.{number % 250}.1:8080"
            entry = {"service": "booking", "address": address, "zone": "a", "state": "ready"}
            self._write(f"{SERVER_PREFIX}i-{number:x}", entry | {"version": "v1", "slots": 2})

    def _write(self, key: str, entry: dict) -> None:
        self._values[key] = entry
        self._written_at[key] = time.monotonic()
        self._store.put(key, entry)

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))
            key = self._random.choice(list(self._values))
            if not self._network.is_store_away:
                self._write(key, self._values[key] | {"slots": self._random.randrange(1, 9)})

    def _make_vms(self) -> list[DrillVm]:
        members = []
        for number in range(self._plan.entry_vms):
            zone = f"zone-{number % self._plan.zones}"
            address = Address(f"10.200.{number // 250}.{number % 250 + 1}", 7000)
            members.append(EntryVm(f"front-{number}", 1, zone, address, address))
        vms = []
        for own in members:
            store_address = Address(f"10.255.0.{own.zone.rpartition('-')[2]}", 80)
            self._network.add_zone(own.zone, store_address)
            settings = PacketVmSettings(
                name=own.name,
                zone=own.zone,
                packet_address=str(own.control_address),
                ready_address=str(own.control_address),
                control_address=str(own.control_address),
                platform=str(store_address),
            )
            vm = DrillVm(settings, own, Random(self._random.random()))
            vm.group.merge_updates([other.to_update() for other in members if other is not own])
            self._network.add_vm(vm.address, vm.answer)
            vms.append(vm)
        return vms


def run_drill(plan: DrillPlan, seed: int) -> DrillReport:
    """Runs a drill on a virtual clock."""

    async def run() -> DrillReport:
        return await Drill(plan, seed).run()

    return run_virtually(run())


def _make_reply(response: HttpResponse) -> HttpReply:
    headers = {name.lower(): value for name, value in response.headers}
    return HttpReply(response.status, response.body, headers)
