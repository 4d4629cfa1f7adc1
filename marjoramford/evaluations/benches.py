"""Benchmarks of throughput, latency, memory and control cost.

Forwarding is measured against a bare relay in the same run, to cancel out the machine's speed.
"""

import asyncio
import gc
import json
import socket
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from random import Random
from statistics import median

import msgspec
from hdrh.histogram import HdrHistogram

from ..shared.addresses import Address
from ..shared.records import CatalogueEntry, KindRules, VmRecord
from ..standins.deployments import HERITAGE, ServiceShape
from ..standins.schedules import START_EPOCH_SECONDS
from ..standins.worlds import World, WorldSettings
from ..token_flows.balancers import Balancer, Identity
from ..token_flows.cores import Core
from ..token_flows.datagrams import EventProtocol, enlarge_receive_buffer
from ..token_flows.events import CallerDatagram, CatalogueRead, VmListRead
from ..token_flows.keys import KeyRing
from ..token_flows.messages import Open, Request, Send, decode_from_entry_vm, encode
from ..token_flows.settings import CoreSettings

HOST = "127.0.0.1"
NOW = 1000.0
CALLER = Address(HOST, 9)
KEYS = KeyRing({1: b"k" * 16}, 1)
BURST_DATAGRAMS = 100
MAX_NANOSECONDS = 10_000_000_000


@dataclass(slots=True)
class Slope:
    """A cost at several sizes of the input named by `thing`; `points` maps size to cost."""

    thing: str
    unit: str
    points: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class BenchReport:
    """Results of one run; ratios are to the bare relay in the same round."""

    quick: bool
    forward_per_second: float = 0.0
    relay_per_second: float = 0.0
    forward_ratio: float = 0.0
    forward_ratio_spread: list[float] = field(default_factory=list)
    opens_per_second: float = 0.0
    opens_spread: list[float] = field(default_factory=list)
    bytes_per_flow: float = 0.0
    bytes_per_entry: float = 0.0
    bytes_per_entry_vm: float = 0.0
    bytes_per_server: float = 0.0
    open_p50_us: float = 0.0
    open_p99_us: float = 0.0
    slopes: list[Slope] = field(default_factory=list)


class Bench:
    """Runs all benchmarks.

    Args:
        quick: whether to use fewer rounds and smaller sizes, which takes less than a minute.
    """

    def __init__(self, quick: bool):
        self._quick = quick
        self._rounds = 5 if quick else 9
        self._bursts = 40 if quick else 200
        self.report = BenchReport(quick)

    def run(self) -> BenchReport:
        """Runs all benchmarks and returns the report."""
        asyncio.run(self._measure_datagrams())
        self._measure_flow_memory()
        self._measure_record_memory()
        self._measure_decisions()
        self._measure_dissemination()
        return self.report

    async def _measure_datagrams(self) -> None:
        """Alternates rounds of a bare relay, of forwarding and of opening flows.

        The first round warms up and is not counted.
        """
        relays, forwards, opens = [], [], []
        for number in range(self._rounds + 1):
            relay = await self._measure_rate(_relay_protocol, encode(Send(b"t" * 150, b"x" * 400)))
            balancer = make_balancer()
            send = encode(Send(open_flow(balancer, CALLER), b"x" * 400))
            forward = await self._measure_rate(_core_protocol(balancer), send)
            open_rate = await self._measure_rate(
                _core_protocol(balancer), encode(Open("service-0", 7))
            )
            if number:
                relays.append(relay)
                forwards.append(forward)
                opens.append(open_rate)
        ratios = sorted(f / r for f, r in zip(forwards, relays, strict=True))
        report = self.report
        report.forward_per_second = median(forwards)
        report.relay_per_second = median(relays)
        report.forward_ratio = median(ratios)
        report.forward_ratio_spread = [ratios[0], ratios[-1]]
        report.opens_per_second = median(opens)
        report.opens_spread = [min(opens), max(opens)]

    async def _measure_rate(self, make_protocol: Callable, payload: bytes) -> float:
        """Returns how many datagrams a second a protocol receives, handles and sends."""
        loop = asyncio.get_running_loop()
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sink.bind((HOST, 0))
        transport, protocol = await loop.create_datagram_endpoint(
            lambda: make_protocol(sink.getsockname()), local_addr=(HOST, 0)
        )
        enlarge_receive_buffer(transport)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.connect(transport.get_extra_info("sockname"))
        elapsed = 0.0
        for _ in range(self._bursts):
            for _ in range(BURST_DATAGRAMS):
                sender.send(payload)
            target = protocol.handled + BURST_DATAGRAMS
            started_at = time.perf_counter()
            while protocol.handled < target:
                await asyncio.sleep(0)
            elapsed += time.perf_counter() - started_at
        transport.close()
        sink.close()
        sender.close()
        return self._bursts * BURST_DATAGRAMS / elapsed

    def _measure_flow_memory(self) -> None:
        count = 60_000 if self._quick else 300_000
        balancer = make_balancer(connections=10**8)

        def open_all() -> None:
            for _ in range(count):
                open_flow(balancer, CALLER)

        self.report.bytes_per_flow = _bytes_per_item(count, open_all)

    def _measure_record_memory(self) -> None:
        count = 3_000 if self._quick else 11_000
        balancer = make_balancer()

        def measure_bytes(records: list[bytes], event: type) -> float:
            through = 10**6 + len(records)
            return _bytes_per_item(
                count, lambda: balancer.handle(event(tuple(records), through), NOW)
            )

        entries = [_encode_record(make_entry(n + 10, n + 200_000)) for n in range(count)]
        self.report.bytes_per_entry = measure_bytes(entries, CatalogueRead)
        vms = [_encode_record(make_entry_vm(n + 10, n + 200_000)) for n in range(count)]
        self.report.bytes_per_entry_vm = measure_bytes(vms, VmListRead)
        servers = [_encode_record(make_server(n, n + 400_000, "many")) for n in range(count)]
        self.report.bytes_per_server = measure_bytes(servers, VmListRead)

    def _measure_decisions(self) -> None:
        max_exponent = 3 if self._quick else 4
        sizes = [10**n for n in range(1, max_exponent + 1)]
        self._add_slope("servers of the service", sizes, lambda n: make_balancer(servers=n))
        self._add_slope("services", sizes, lambda n: make_balancer(services=n))
        self._add_slope("entry VMs", sizes, lambda n: make_balancer(entry_vms=n))
        self._add_slope("open flows", [100 * n for n in sizes], _balancer_with_flows)
        histogram = HdrHistogram(1, MAX_NANOSECONDS, 3)
        _time_opens(make_balancer(servers=17), histogram)
        self.report.open_p50_us = histogram.get_value_at_percentile(50) / 1000
        self.report.open_p99_us = histogram.get_value_at_percentile(99) / 1000

    def _add_slope(self, thing: str, sizes: list[int], make: Callable[[int], Balancer]) -> None:
        opens = Slope(thing, "us an open")
        requests = Slope(thing, "us a request")
        for size in sizes:
            balancer = make(size)
            histogram = HdrHistogram(1, MAX_NANOSECONDS, 3)
            _time_opens(balancer, histogram)
            opens.points[str(size)] = histogram.get_value_at_percentile(50) / 1000
            histogram.reset()
            _time_requests(balancer, histogram)
            requests.points[str(size)] = histogram.get_value_at_percentile(50) / 1000
        self.report.slopes += [opens, requests]

    def _measure_dissemination(self) -> None:
        fleet_sizes = (8, 32, 64) if self._quick else (8, 32, 128, 256)
        spread = Slope("entry VMs", "s until a change is in force everywhere")
        reads = Slope("entry VMs", "platform reads a change")
        sent = Slope("entry VMs", "control bytes a second")
        processor_time = Slope("entry VMs", "ms of processor time a node and second")
        for size in fleet_sizes:
            found = _measure_catalogue_spread(size, changes=6)
            for slope, value in zip((spread, reads, sent, processor_time), found, strict=True):
                slope.points[str(size)] = value
        self.report.slopes += [spread, reads, sent, processor_time]


def compare(report: BenchReport, path: Path) -> dict[str, float]:
    """Returns the ratio of each number to that of an earlier report in a JSON file.

    Lists are not compared; numbers that are missing or 0 in the earlier report are left out.
    """
    earlier = json.loads(path.read_text(encoding="utf-8"))
    return {
        name: value / earlier[name]
        for name, value in asdict(report).items()
        if isinstance(value, float) and earlier.get(name)
    }


def make_entry(number: int, revision: int, connections: int = 10**6) -> CatalogueEntry:
    """Returns a catalogue entry."""
    kinds = (KindRules("hold"), KindRules("seats", idempotent=True))
    return CatalogueEntry(
        f"service-{number}", revision, 1, "owner", "critical", connections, 10**6, kinds
    )


def make_entry_vm(number: int, revision: int) -> VmRecord:
    """Returns an entry VM's record."""
    host = f"10.1.{number // 250}.{number % 250}"
    return VmRecord(f"entry-{number}", revision, 1, "entry", "z", host, 1, 3, 2)


def make_server(number: int, revision: int, service: str) -> VmRecord:
    """Returns a backend server's record."""
    host = f"10.2.{number // 250}.{number % 250}"
    name = f"{service}-server-{number}"
    return VmRecord(name, revision, 1, "server", "z", host, 1, 3, service=service, slots=10_000)


def make_balancer(
    servers: int = 7, services: int = 2, entry_vms: int = 8, connections: int = 10**6
) -> Balancer:
    """Returns a balancer with a catalogue and VM list of the given sizes."""
    inner, control = Address(HOST, 2), Address(HOST, 3)
    identity = Identity("entry-0", 1, "z", inner, control)
    balancer = Balancer(identity, CoreSettings(), KEYS, Random(1), NOW)
    entries = [make_entry(n, n + 1, min(10**9, connections * entry_vms)) for n in range(services)]
    vms = [make_entry_vm(n, n + 1) for n in range(entry_vms)]
    vms += [make_server(n, entry_vms + n + 1, "service-0") for n in range(servers)]
    balancer.handle(CatalogueRead(tuple(map(_encode_record, entries)), services), NOW)
    balancer.handle(VmListRead(tuple(map(_encode_record, vms)), len(vms)), NOW)
    return balancer


def open_flow(balancer: Balancer, caller: Address) -> bytes:
    """Opens a flow and returns its token."""
    (action,) = balancer.handle(CallerDatagram(caller, encode(Open("service-0", 7))), NOW)
    return decode_from_entry_vm(action.payload).unwrap().token


class _RelayProtocol(asyncio.DatagramProtocol):
    """Baseline: forwards each datagram and does nothing else."""

    def __init__(self, sink: tuple[str, int]):
        self.handled = 0
        self._sink = sink
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        self.handled += 1
        self._transport.sendto(data, self._sink)


class _CountingProtocol(EventProtocol):
    """The entry VM's own protocol, with every datagram attributed to the same caller."""

    def __init__(self, core: Core):
        super().__init__(core, CallerDatagram)
        self.handled = 0
        self._counted_core = core

    def connection_made(self, transport) -> None:
        self._counted_core.set_transports(transport, transport)

    def datagram_received(self, data: bytes, addr) -> None:
        self.handled += 1
        super().datagram_received(data, (CALLER.host, CALLER.port))


def _relay_protocol(sink: tuple[str, int]) -> _RelayProtocol:
    return _RelayProtocol(sink)


def _core_protocol(balancer: Balancer) -> Callable:
    def make(sink: tuple[str, int]) -> _CountingProtocol:
        return _CountingProtocol(Core(balancer, clock=lambda: NOW))

    return make


def _balancer_with_flows(count: int) -> Balancer:
    balancer = make_balancer(connections=10**8)
    for _ in range(count):
        open_flow(balancer, CALLER)
    return balancer


def _time_opens(balancer: Balancer, histogram: HdrHistogram) -> None:
    event = CallerDatagram(CALLER, encode(Open("service-0", 7)))
    for _ in range(200):
        started_at = time.perf_counter_ns()
        balancer.handle(event, NOW)
        histogram.record_value(time.perf_counter_ns() - started_at)


def _time_requests(balancer: Balancer, histogram: HdrHistogram) -> None:
    token = open_flow(balancer, CALLER)
    for number in range(1, 201):
        datagram = encode(Request(token, number, "hold", NOW + 5.0, b"work"))
        started_at = time.perf_counter_ns()
        balancer.handle(CallerDatagram(CALLER, datagram), NOW)
        histogram.record_value(time.perf_counter_ns() - started_at)


def _bytes_per_item(count: int, make_items: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    make_items()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / count


def _measure_catalogue_spread(entry_vms: int, changes: int) -> tuple[float, float, float, float]:
    """Measures catalogue changes in a simulated fleet.

    Returns:
        The longest time until a change is in force everywhere, in seconds, or infinity if one never
        is; platform reads per change; control bytes per second and entry VM; and processor time per
        entry VM and virtual second, in ms.
    """
    shape = ServiceShape("booking", 2, 2, 1000, "critical", ())
    deployment = replace(HERITAGE, entry_vms=entry_vms, services=(shape,), traffic=())
    world = World(deployment, 1, WorldSettings())
    world.run_until(START_EPOCH_SECONDS + 5.0)
    reads = world.platform.read_count
    sent = _control_bytes(world)
    started_at = time.process_time()
    seconds = 2.0 * changes
    for number in range(changes):
        world.at(
            START_EPOCH_SECONDS + 5.0 + 2.0 * number,
            lambda number=number: _change_entry(world, number),
        )
    world.run_until(START_EPOCH_SECONDS + 5.0 + seconds)
    elapsed = time.process_time() - started_at
    world.run_until(START_EPOCH_SECONDS + 25.0 + seconds)
    spread = max(world.spread_seconds) if not world.spread_started_at else float("inf")
    return (
        spread,
        (world.platform.read_count - reads) / changes,
        (_control_bytes(world) - sent) / (seconds + 20.0) / entry_vms,
        1000 * elapsed / seconds / entry_vms,
    )


def _change_entry(world: World, number: int) -> None:
    entry = world.platform.catalogue.get("booking")
    changed = msgspec.structs.replace(entry, max_load=100 + number)
    world.platform.put_entry(changed)
    world.start_spread_measurement()


def _control_bytes(world: World) -> int:
    nodes = world.entry_nodes.values()
    return sum(node.balancer.node.counters["control_bytes_sent"] for node in nodes)


def _encode_record(record) -> bytes:
    return msgspec.json.encode(record)
