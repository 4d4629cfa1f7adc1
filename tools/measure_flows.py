"""Measures the processor time, memory and control traffic of entry VMs for opaque flows.

Writes docs/measurements/flows.json and the table of docs/CAPACITY.md that is computed from it. With
--check it measures nothing, and exits with 1 unless the page holds the table of the last results.
"""

import json
import time
import tracemalloc
from pathlib import Path
from random import Random

import fire
import msgspec
from capacity import (
    CALLS_BUDGET_PER_SECOND,
    CONTROL_BUDGET_BYTES_PER_SECOND,
    FLOWS,
    MEMORY_BUDGET_MB,
    NODES,
    OPENS_PER_SECOND,
    PROCESSOR_BUDGET_PERCENT,
    SERVERS,
    SERVICES,
    ZONES,
    changes_per_second,
    format_verdict,
    update_table,
)

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.flow_settings import PacketVmSettings, PeerSettings
from marjoramford.opaque_flows.packets import FlowKey, PacketHeader
from marjoramford.opaque_flows.peer_groups import PeerGroup, count_readers
from marjoramford.opaque_flows.routes import Route, RouteTable, WeightedService
from marjoramford.opaque_flows.server_lists import ListChanges
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm, MemberUpdate
from marjoramford.shared.records import VmRecord

ROOT = Path(__file__).parent.parent
RESULTS_FILE = ROOT / "docs" / "measurements" / "flows.json"
BEGIN = "<!-- computed by tools/measure_flows.py -->"
END = "<!-- end of opaque flows -->"

REPEATS = 5
MEASURED_FLOWS = 20_000
MEASURED_SERVERS = 5_000
MEASURED_MEMBERS = 64
ROUTE_IP = 0xC6120001


def main(check: bool = False) -> None:
    """Measures and writes the results and the table, or checks the table.

    Args:
        check: only compare the page with the last results.
    """
    if not check:
        RESULTS_FILE.write_text(json.dumps(measure(), indent=1) + "\n", encoding="utf-8")
    table = render(json.loads(RESULTS_FILE.read_text(encoding="utf-8")))
    update_table(BEGIN, END, table, check, "tools/measure_flows.py")


def measure() -> dict[str, float]:
    """Returns all results; rates and times are medians of `REPEATS` runs."""
    return {
        "placements_per_second_17_servers": median_of_runs(lambda: measure_placement_rate(17)),
        "placements_per_second_120_servers": median_of_runs(lambda: measure_placement_rate(120)),
        "forwarded_per_second": median_of_runs(measure_forwarding_rate),
        "bytes_per_flow": measure_bytes_per_flow(),
        "bytes_per_server": measure_bytes_per_server(),
        "exchange_bytes_64_members": measure_exchange_bytes(),
        "exchange_ms_64_members": median_of_runs(measure_exchange_milliseconds),
    }


def render(measured: dict[str, float]) -> str:
    """Returns the table as Markdown."""
    rows = [
        ("quantity", "from", "at that size", "budget", "reaches"),
        ("---", "---", "---", "---", "---"),
        *flow_rows(measured),
        *control_rows(measured),
    ]
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def flow_rows(measured: dict[str, float]):
    """Yields the cost of placing, forwarding and remembering flows."""
    placements_per_second = measured["placements_per_second_17_servers"]
    opens = OPENS_PER_SECOND / NODES
    yield (
        "placing a flow",
        f"{placements_per_second:,.0f}/s on a core with {SERVERS // SERVICES} servers a service",
        f"{opens:.0f}/s, {100 * opens / placements_per_second:.2f}% of a core",
        "none set (data)",
        "yes",
    )
    yield (
        "forwarding a packet, decision only",
        f"{measured['forwarded_per_second']:,.0f}/s on a core",
        "as traffic asks",
        "none set (data)",
        "yes",
    )
    flows = FLOWS / NODES
    yield (
        "memory of flows",
        f"{measured['bytes_per_flow']:,.0f} bytes a flow",
        f"{flows:,.0f} flows, {flows * measured['bytes_per_flow'] / 1e6:.1f} MB",
        "none set (data); a cache, bounded by `max_flows`",
        "yes",
    )


def control_rows(measured: dict[str, float]):
    """Yields the cost of the server list, of platform reads and of exchanges between peers."""
    memory = SERVERS * measured["bytes_per_server"] / 1e6
    yield (
        "memory of the server list, as built: every node keeps all",
        f"{measured['bytes_per_server']:,.0f} bytes a server",
        f"{memory:.0f} MB",
        f"{MEMORY_BUDGET_MB} MB",
        format_verdict(memory <= MEMORY_BUDGET_MB),
    )
    members = NODES // ZONES
    # One reader of each zone is a standby.
    readers = (count_readers(members, PeerSettings()) - 1) * ZONES
    calls = readers * (1.0 / PeerSettings().reader_wait + changes_per_second())
    yield (
        "calls on the platform",
        f"{readers} readers, one watch each {PeerSettings().reader_wait} s and one a change",
        f"{calls:,.0f}/s",
        f"{CALLS_BUDGET_PER_SECOND:,}/s",
        format_verdict(calls <= CALLS_BUDGET_PER_SECOND),
    )
    followers = members / (readers / ZONES)
    yield (
        "followers of a reader",
        "half the root of a zone's entry VMs read",
        f"{followers:.0f}, each with one waiting question",
        "none set",
        "yes",
    )
    # Every 2 s a node starts an exchange with one peer, and on average answers one.
    sent = measured["exchange_bytes_64_members"]
    percent = measured["exchange_ms_64_members"] / 10
    yield (
        "exchange of news, both ways every 2 s, and as many asked by others",
        f"{measured['exchange_bytes_64_members']:,.0f} bytes and "
        f"{measured['exchange_ms_64_members']:.2f} ms each",
        f"{sent:,.0f} B/s sent, {percent:.2f}% of a core",
        f"{CONTROL_BUDGET_BYTES_PER_SECOND} B/s, {PROCESSOR_BUDGET_PERCENT}%",
        format_verdict(sent <= CONTROL_BUDGET_BYTES_PER_SECOND),
    )


def median_of_runs(measure_once) -> float:
    """Returns the median result of `REPEATS` calls."""
    return sorted(measure_once() for _ in range(REPEATS))[REPEATS // 2]


def make_balancer(servers: int, max_flows: int = 100_000) -> FlowBalancer:
    """Returns a balancer with one route and the given number of servers in two zones."""
    settings = PacketVmSettings(
        name="front-1",
        zone="a",
        packet_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
        platform="127.0.0.1:4",
        max_flows=max_flows,
    )
    balancer = FlowBalancer(settings, Random(1), 0.0)
    route = Route(ROUTE_IP, 443, (WeightedService("booking", 1.0),))
    balancer.installed_routes.apply(RouteTable(1, (route,), 15.0))
    records = tuple(make_record(number) for number in range(servers))
    balancer.server_list.apply(ListChanges(records, (), True, StateVersion(0, servers + 1)), 0.0)
    balancer.server_list.confirm(0.0)
    return balancer


def make_record(number: int) -> VmRecord:
    """Returns a server's entry."""
    return VmRecord(
        name=f"i-{number:010x}",
        revision=number + 1,
        incarnation=0,
        role="server",
        zone="ab"[number % 2],
        host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        data_port=8000,
        http_port=8000,
        service="booking",
        slots=2,
    )


def opening(number: int) -> PacketHeader:
    """Returns a flow's opening packet."""
    key = FlowKey(0x64400000 + (number >> 15), number & 0x7FFF, ROUTE_IP, 443)
    return PacketHeader(key, 0, True, False, False, 5, 0, 0)


def measure_placement_rate(servers: int) -> float:
    """Returns the number of flows placed per second."""
    balancer = make_balancer(servers)
    heads = [opening(number) for number in range(MEASURED_FLOWS)]
    started_at = time.perf_counter()
    for head in heads:
        balancer.handle_packet(head, 0.0)
    return len(heads) / (time.perf_counter() - started_at)


def measure_forwarding_rate() -> float:
    """Returns the number of packets of open flows decided per second."""
    balancer = make_balancer(17)
    label = balancer.handle_packet(opening(1), 0.0).label
    key = opening(1).flow
    heads = [
        PacketHeader(key, label, False, False, False, 6 + 200 * n, 100 + 600 * n, 200)
        for n in range(MEASURED_FLOWS)
    ]
    started_at = time.perf_counter()
    for head in heads:
        balancer.handle_packet(head, 0.1)
    return len(heads) / (time.perf_counter() - started_at)


def measure_bytes_per_flow() -> float:
    """Returns the memory of a flow in the flow table in bytes."""
    balancer = make_balancer(17)
    heads = [opening(number) for number in range(MEASURED_FLOWS)]
    tracemalloc.start()
    for head in heads:
        balancer.handle_packet(head, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(size / len(heads), 1)


def measure_bytes_per_server() -> float:
    """Returns the memory of a server in the server list in bytes."""
    tracemalloc.start()
    balancer = make_balancer(MEASURED_SERVERS)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(size / len(list(balancer.server_list.servers.values())), 1)


def make_group() -> PeerGroup:
    """Returns a peer group that knows `MEASURED_MEMBERS` entry VMs."""
    vms = []
    for number in range(MEASURED_MEMBERS):
        address = Address(f"10.1.0.{number}", 8166)
        vms.append(EntryVm(f"front-a-{number}", 1_700_000_000_000, "a", address, address))
    group = PeerGroup(vms[0], (), PeerSettings(), Random(1))
    group.merge_updates([vm.to_update() for vm in vms[1:]])
    return group


def measure_exchange_bytes() -> float:
    """Returns the size of the updates that one side sends in an exchange, in bytes."""
    return float(len(msgspec.json.encode(make_group().select_updates())))


def measure_exchange_milliseconds() -> float:
    """Returns the time to encode the updates of one exchange and merge them, in milliseconds."""
    group = make_group()
    rounds = 200
    started_at = time.perf_counter()
    for _ in range(rounds):
        body = msgspec.json.encode(group.select_updates())
        group.merge_updates(msgspec.json.decode(body, type=tuple[MemberUpdate, ...]))
    return round((time.perf_counter() - started_at) / rounds * 1000, 3)


if __name__ == "__main__":
    fire.Fire(main)
