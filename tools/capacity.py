"""Computes the table of docs/CAPACITY.md from the benchmark results.

With --check it exits with 1 unless the page already holds exactly that table.
"""

import json
import math
import sys
from pathlib import Path

import fire

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
BENCH = ROOT / "docs" / "measurements" / "bench.json"
BEGIN = "<!-- computed by tools/capacity.py -->"
END = "<!-- end -->"

# Size and rates of the fleet that the table is computed for.
NODES = 19_000
SERVERS = 190_000
SERVICES = 11_000
FLOWS = 500_000_000
OPENS_PER_SECOND = 910_000
ZONES = 14
CATALOGUE_CHANGES_PER_SECOND = 68_000 / 86_400
RESTARTS_PER_SECOND = 45_000 / 86_400
FAILURES_PER_SECOND = 360 / 86_400
RECORDS_PER_RESTART = 3
RECORDS_PER_FAILURE = 2
READERS_PER_ZONE = 3
WATCHES_PER_READER = 2
COORDINATORS_PER_ZONE = 4
PROBE_BUDGET_BYTES_PER_SECOND = 2_048
PROBE_BYTES = 130
RECORD_JSON_BYTES = 300
MEMORY_BUDGET_MB = 64
CALLS_BUDGET_PER_SECOND = 2_000
SPREAD_BUDGET_SECONDS = 18
CONTROL_BUDGET_BYTES_PER_SECOND = 4_096
PROCESSOR_BUDGET_PERCENT = 1.6


def main(check: bool = False) -> None:
    """Writes the table into the page, or checks that the page holds it.

    Args:
        check: only compare the page with the computed table.
    """
    bench = json.loads(BENCH.read_text(encoding="utf-8"))
    update_table(BEGIN, END, render(bench), check, "tools/capacity.py")


def update_table(begin: str, end: str, table: str, check: bool, tool: str) -> None:
    """Writes a computed table between two markers of the page, or exits with 1 if it differs.

    Args:
        begin: marker before the table.
        end: marker after it.
        table: the table as Markdown.
        check: only compare; exit with 1 if the page differs.
        tool: command that the error message names.
    """
    page = PAGE.read_text(encoding="utf-8")
    before, rest = page.split(begin)
    after = rest.split(end)[1]
    computed = f"{before}{begin}\n\n{table}\n\n{end}{after}"
    if check and computed != page:
        print(
            f"docs/CAPACITY.md differs from the measured results; run {tool} to update it",
            file=sys.stderr,
        )
        sys.exit(1)
    if not check:
        PAGE.write_text(computed, encoding="utf-8")


def render(bench: dict) -> str:
    """Returns the table as Markdown."""
    lines = ["| role and quantity | from | at that size | budget | reaches |", "|" + " --- |" * 5]
    for role, source, value, budget, reaches in rows(bench):
        lines.append(f"| {role} | {source} | {value} | {budget} | {reaches} |")
    return "\n".join(lines)


def rows(bench: dict):
    """Yields rows of role, source of the figure, value at full size, budget and verdict."""
    yield from coordinator_rows(bench)
    yield from record_rows(bench)
    yield from dissemination_rows(bench)
    yield from platform_rows(bench)


def coordinator_rows(bench: dict):
    """Yields the cost of coordination and forwarding per node."""
    flows = FLOWS / NODES
    memory = flows * bench["bytes_per_flow"] / 1e6
    yield (
        "coordinator: flows a node",
        f"{bench['bytes_per_flow']:.0f} bytes a flow",
        f"{flows:,.0f} flows, {memory:.1f} MB",
        "none set (data)",
        "yes",
    )
    opens = OPENS_PER_SECOND / NODES
    rate = bench["opens_per_second"]
    yield (
        "coordinator: opens a node",
        f"{rate:,.0f} opens/s on a core",
        f"{opens:.0f}/s, {100 * opens / rate:.2f}% of a core",
        "none set (data)",
        "yes",
    )
    yield (
        "forwarder: established datagrams",
        f"{bench['forward_per_second']:,.0f}/s on a core, {bench['forward_ratio']:.2f} of a relay",
        f"{NODES * bench['forward_per_second'] / 1e6:,.0f} million/s over the fleet",
        "none set (data)",
        "yes",
    )


def record_rows(bench: dict):
    """Yields memory for published records, and the duration of a probe round.

    Both are computed as built, and for nodes that keep only the services they coordinate.
    """
    entry, vm = bench["bytes_per_entry"], bench["bytes_per_entry_vm"]
    server = bench["bytes_per_server"]
    slope = f"{entry:.0f} B an entry, {vm:.0f} B an entry VM, {server:.0f} B a server"
    total_mb = (SERVICES * entry + NODES * vm + SERVERS * server) / 1e6
    yield (
        "records, as built: every node keeps all",
        slope,
        f"{total_mb:.0f} MB",
        f"{MEMORY_BUDGET_MB} MB",
        format_verdict(total_mb <= MEMORY_BUDGET_MB),
    )
    services = SERVICES * COORDINATORS_PER_ZONE / (NODES / ZONES)
    servers = services * SERVERS / SERVICES
    zone = NODES / ZONES
    own_services_mb = (services * entry + zone * vm + servers * server) / 1e6
    yield (
        f"records, not built: {COORDINATORS_PER_ZONE} coordinators a service and zone",
        slope,
        f"{services:.0f} services, {servers:.0f} servers, {own_services_mb:.1f} MB",
        f"{MEMORY_BUDGET_MB} MB",
        format_verdict(own_services_mb <= MEMORY_BUDGET_MB),
    )
    yield (
        "probes, as built: every node probes all servers",
        f"{PROBE_BYTES} B a probe, {PROBE_BUDGET_BYTES_PER_SECOND} B/s",
        f"one round in {SERVERS * PROBE_BYTES / PROBE_BUDGET_BYTES_PER_SECOND / 3600:.1f} h",
        "seconds",
        "**no**",
    )
    yield (
        "probes, not built: a node probes its own services' servers",
        "the same",
        f"one round in {servers * PROBE_BYTES / PROBE_BUDGET_BYTES_PER_SECOND:.0f} s",
        "seconds",
        "**no**",
    )


def dissemination_rows(bench: dict):
    """Yields control traffic, processor time and propagation time of gossip."""
    changes = changes_per_second()
    yield (
        "changes to be passed on",
        "letter 1",
        f"{CATALOGUE_CHANGES_PER_SECOND:.2f} catalogue and "
        f"{changes - CATALOGUE_CHANGES_PER_SECOND:.2f} VM records/s, "
        f"{changes * RECORD_JSON_BYTES / 1000:.1f} KB/s",
        f"{CONTROL_BUDGET_BYTES_PER_SECOND} B/s",
        "yes, once; not twice over",
    )
    sent = points_with_unit(bench, "control bytes a second")
    entry_vm_count, value = max(sent.items())
    yield (
        "gossip, as built: bytes a node sends",
        f"measured at {entry_vm_count} entry VMs, 0.5 changes/s",
        f"{value:,.0f} B/s there; more at {changes:.1f} changes/s",
        f"{CONTROL_BUDGET_BYTES_PER_SECOND} B/s, and 64 KB saved up",
        "rounds keep to it, replies are only charged; changes wait",
    )
    processor_times = points_with_unit(bench, "ms of processor time a node and second")
    entry_vm_count, value = max(processor_times.items())
    slope = value / entry_vm_count
    yield (
        "gossip, as built: processor time",
        f"{value:.2f} ms/s at {entry_vm_count} entry VMs",
        f"{slope * NODES / 10:.1f}% of a core at {NODES:,}, "
        f"{slope * NODES / ZONES / 10:.1f}% at one zone's {NODES // ZONES:,}",
        f"{PROCESSOR_BUDGET_PERCENT}%",
        format_verdict(slope * NODES / 10 <= PROCESSOR_BUDGET_PERCENT),
    )
    spread_seconds = points_with_unit(bench, "s until a change is in force everywhere")
    (smaller_size, smaller_seconds), (larger_size, larger_seconds) = (
        sorted(spread_seconds.items())[1],
        sorted(spread_seconds.items())[-1],
    )
    seconds_per_doubling = (larger_seconds - smaller_seconds) / math.log2(
        larger_size / smaller_size
    )
    seconds_at_full_size = larger_seconds + seconds_per_doubling * math.log2(NODES / larger_size)
    yield (
        "spread of one change, unhindered by the budget",
        f"{larger_seconds:.1f} s at {larger_size}, {seconds_per_doubling:.2f} s a doubling",
        f"{seconds_at_full_size:.1f} s",
        f"{SPREAD_BUDGET_SECONDS} s",
        format_verdict(seconds_at_full_size <= SPREAD_BUDGET_SECONDS),
    )


def platform_rows(bench: dict):
    """Yields the request rate at the platform."""
    readers = ZONES * READERS_PER_ZONE
    waiting = readers * WATCHES_PER_READER
    calls = readers * changes_per_second()
    yield (
        "readers: calls on the platform",
        f"{READERS_PER_ZONE} readers a zone, one read a change and reader",
        f"{calls:.0f}/s and {waiting} waiting watches",
        f"{CALLS_BUDGET_PER_SECOND}/s",
        format_verdict(calls + waiting <= CALLS_BUDGET_PER_SECOND),
    )


def changes_per_second() -> float:
    """Returns the number of records that change per second."""
    vms = RESTARTS_PER_SECOND * RECORDS_PER_RESTART + FAILURES_PER_SECOND * RECORDS_PER_FAILURE
    return CATALOGUE_CHANGES_PER_SECOND + vms


def points_with_unit(bench: dict, unit: str) -> dict[int, float]:
    """Returns the measured values of the slope with a unit, by number of entry VMs."""
    slope = next(slope for slope in bench["slopes"] if slope["unit"] == unit)
    return {int(entry_vm_count): value for entry_vm_count, value in slope["points"].items()}


def format_verdict(kept: bool) -> str:
    """Returns the last column of a row: whether the budget is kept."""
    return "yes" if kept else "**no**"


if __name__ == "__main__":
    fire.Fire(main)
