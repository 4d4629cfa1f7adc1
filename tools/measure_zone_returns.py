"""Measures how callers are served when the servers of a zone come back cold.

Compares entry VMs that ignore drains and limits of cold servers with the present ones. Writes
docs/measurements/zone-returns.md and a plot: ``python tools/measure_zone_returns.py``.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from itertools import product
from pathlib import Path

import matplotlib.pyplot as plt

from marjoramford.evaluations.packet_comparisons import (
    DrainIgnoringBalancer,
    UnlimitedBalancer,
    run_with_faults,
)
from marjoramford.evaluations.packet_experiments import WARMUP_SECONDS, PacketPlan
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.shared.logs import configure_logging
from marjoramford.standins.deployments import HERITAGE, Deployment
from marjoramford.standins.packet_checkers import WARMUP_OVERAGE, WARMUP_SLACK
from marjoramford.standins.packet_faults import DrainZone, PacketFault, StopZoneServers
from marjoramford.standins.packet_servers import COLD_WORK_FACTOR, SLOTS
from marjoramford.standins.packet_traffic import PacketRequest
from marjoramford.standins.packet_vms import BalancerFactory
from marjoramford.standins.packet_worlds import PacketWorldSettings
from marjoramford.standins.schedules import START_EPOCH_SECONDS

PAGE_PATH = Path(__file__).parent.parent / "docs" / "measurements" / "zone-returns.md"
PLOT_PATH = PAGE_PATH.with_suffix(".png")

ENTRY_VMS = (7, 70, 195)
SERVERS = {"booking": 48, "manifest": 27}
SEEDS = (1, 2, 3)
LOAD = 0.5
RUN_SECONDS = 34.0
FAULT_AT_SECONDS = 8.0
STOP_SECONDS = 5.0
DRAIN_SECONDS = 12.0
WARM_UP_SECONDS = 8.0
WORK_SECONDS = 0.06
TARGET_SECONDS = 0.5
# A second counts as bad if the worst-served zone and kind gets fewer answers in time.
BAD_SHARE = 0.9
# Requests per second that a cold server can handle, rounded down.
WARMUP_PER_S = int(SLOTS / (WORK_SECONDS * COLD_WORK_FACTOR))
WORKERS = 2


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault of one zone, and the entry VMs that are compared with the present ones."""

    fault: PacketFault
    before: BalancerFactory


SCENARIOS = {
    "servers stop and come back cold": Scenario(
        StopZoneServers(STOP_SECONDS, HERITAGE.zones[0]), UnlimitedBalancer
    ),
    "zone drained, returned cold": Scenario(
        DrainZone(DRAIN_SECONDS, True, HERITAGE.zones[0]), DrainIgnoringBalancer
    ),
}
BUILDS = ("before", "after")

RETURN_AT_SECONDS = FAULT_AT_SECONDS + DRAIN_SECONDS
PAGE = f"""# A zone's servers come back

`python tools/measure_zone_returns.py` runs the emulated platform: {sum(SERVERS.values())}
backend servers with {SLOTS} slots in {len(HERITAGE.zones)} zones, half of the slots in use,
{WORK_SECONDS * 1000:.0f} ms of work a request, {COLD_WORK_FACTOR:.0f} times as much for
{WARM_UP_SECONDS:.0f} s after a start, seeds {", ".join(map(str, SEEDS))} each. The operator's
limit is {WARMUP_PER_S} requests per second for a cold server, so that at most
{WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK:.0f} flows may open there in any second. The target
latency is {TARGET_SECONDS} s.

- *servers stop and come back cold*: all servers of one zone stop without a word at
  {FAULT_AT_SECONDS:.0f} s and start again {STOP_SECONDS:.0f} s later. Before: entry VMs that ignore
  the limit.
- *zone drained, returned cold*: a zone is drained from {FAULT_AT_SECONDS:.0f} to
  {RETURN_AT_SECONDS:.0f} s, and its servers are restarted just before its end. Before: entry VMs
  that ignore both the drain and the limit.

The share is that of requests answered in time, of those created in one second by callers of one
zone and of one kind, over all seeds; for each second the worst-served zone and kind counts.
Openings are flows whose first opening packet reached a cold server; their rate is per cold server
and second. EVAC and FAILBACK are violations of the platform's rules; LIST, that a list of servers
differs from the store's.

![share of requests answered in time, by second]({PLOT_PATH.name})

"""
COLUMNS = (
    "scenario",
    "entry VMs",
    "build",
    "worst second",
    f"seconds below {BAD_SHARE}",
    "requests",
    "failed",
    "late",
    "most openings in a second",
    "mean openings per second",
    "EVAC",
    "FAILBACK",
    "LIST",
    "other rules",
)


@dataclass(slots=True)
class Outcome:
    """Results of one or more runs.

    Attributes:
        offered: number of requests by callers' zone, kind and second.
        in_aim: those of them that were answered in time.
        most_openings: highest number of flows that opened at one cold server within a second.
    """

    offered: Counter[tuple[str, str, int]] = field(default_factory=Counter)
    in_aim: Counter[tuple[str, str, int]] = field(default_factory=Counter)
    failed: int = 0
    late: int = 0
    openings: int = 0
    most_openings: int = 0
    broken: Counter[str] = field(default_factory=Counter)

    def add(self, other: "Outcome") -> None:
        """Adds the results of other runs."""
        self.offered += other.offered
        self.in_aim += other.in_aim
        self.failed += other.failed
        self.late += other.late
        self.openings += other.openings
        self.most_openings = max(self.most_openings, other.most_openings)
        self.broken += other.broken

    def worst_shares(self) -> list[float]:
        """Returns the share of the worst-served zone and kind for each second."""
        shares = defaultdict(list)
        for (zone, kind, second), count in self.offered.items():
            shares[second].append(self.in_aim[zone, kind, second] / count)
        return [min(shares[second]) for second in range(int(RUN_SECONDS))]


def make_deployment(entry_vms: int) -> Deployment:
    """Returns the deployment with a number of entry VMs."""
    services = tuple(replace(each, servers=SERVERS[each.name]) for each in HERITAGE.services)
    return replace(HERITAGE, entry_vms=entry_vms, services=services)


def measure(case: tuple[str, int, str, int]) -> Outcome:
    """Returns the results of one run."""
    scenario_name, entry_vms, build, seed = case
    configure_logging("plain", "critical")
    scenario = SCENARIOS[scenario_name]
    plan = PacketPlan(
        make_deployment(entry_vms), seed, RUN_SECONDS, load=LOAD, target_seconds=TARGET_SECONDS
    )
    settings = PacketWorldSettings(
        work_seconds=WORK_SECONDS,
        warmup_seconds=WARM_UP_SECONDS,
        warmup_per_s=WARMUP_PER_S,
        make_balancer=scenario.before if build == "before" else FlowBalancer,
    )
    outcome = Outcome()

    def tally(request: PacketRequest, in_aim: bool) -> None:
        # Callers of zone number n have the addresses 100.64.n.x.
        zone = HERITAGE.zones[request.caller.ip >> 8 & 0xFF]
        second = int(request.created_at - START_EPOCH_SECONDS - WARMUP_SECONDS)
        outcome.offered[zone, request.kind, second] += 1
        outcome.in_aim[zone, request.kind, second] += in_aim

    measures = run_with_faults(plan, [(FAULT_AT_SECONDS, scenario.fault)], settings, tally)
    outcome.failed = sum(kind.failed for kind in measures.kinds.values())
    outcome.late = sum(kind.late for kind in measures.kinds.values())
    outcome.openings = measures.findings.cold_openings
    outcome.most_openings = measures.findings.most_cold_openings
    outcome.broken = measures.findings.broken
    return outcome


def render_row(scenario: str, entry_vms: int, build: str, outcome: Outcome) -> str:
    """Returns one row of the table."""
    shares = outcome.worst_shares()
    cold_servers = sum(SERVERS.values()) / len(HERITAGE.zones)
    cold_seconds = cold_servers * WARM_UP_SECONDS * len(SEEDS)
    shown = [outcome.broken[rule] for rule in ("EVAC", "FAILBACK", "LIST")]
    row = (
        scenario,
        entry_vms,
        build,
        f"{min(shares):.3f}",
        sum(share < BAD_SHARE for share in shares),
        sum(outcome.offered.values()),
        outcome.failed,
        outcome.late,
        outcome.most_openings,
        f"{outcome.openings / cold_seconds:.1f}",
        *shown,
        sum(outcome.broken.values()) - sum(shown),
    )
    return render_cells(row)


def render_cells(cells: Iterable[object]) -> str:
    """Returns a line of a Markdown table."""
    return f"| {' | '.join(map(str, cells))} |\n"


def plot(outcomes: dict[tuple[str, int, str], Outcome]) -> None:
    """Plots the share of the worst-served zone and kind by second."""
    figure, axes = plt.subplots(
        len(SCENARIOS), len(ENTRY_VMS), figsize=(12, 6), sharex=True, sharey=True
    )
    for row, scenario in zip(axes, SCENARIOS, strict=True):
        for axis, entry_vms in zip(row, ENTRY_VMS, strict=True):
            for build in BUILDS:
                axis.plot(outcomes[scenario, entry_vms, build].worst_shares(), label=build)
            axis.set_title(f"{scenario}, {entry_vms} entry VMs", fontsize=8)
            axis.set_ylim(0, 1.05)
    axes[0][0].legend()
    figure.supxlabel("second in which requests were created")
    figure.supylabel("share answered in time, worst zone and kind")
    figure.tight_layout()
    figure.savefig(PLOT_PATH, dpi=90)


def main() -> None:
    """Measures all cases and writes the page and the plot."""
    cases = list(product(SCENARIOS, ENTRY_VMS, BUILDS, SEEDS))
    with ProcessPoolExecutor(WORKERS) as workers:
        results = zip(cases, workers.map(measure, cases), strict=True)
        outcomes = defaultdict(Outcome)
        for (*group, _seed), outcome in results:
            outcomes[tuple(group)].add(outcome)
    rows = [render_row(*group, outcome) for group, outcome in outcomes.items()]
    head = render_cells(COLUMNS) + render_cells("---" for _ in COLUMNS)
    PAGE_PATH.write_text(PAGE + head + "".join(rows), encoding="utf-8")
    plot(outcomes)


if __name__ == "__main__":
    main()
