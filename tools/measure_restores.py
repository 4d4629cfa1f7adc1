"""Measures drills in which the store is restored from a copy; prints Markdown tables."""

import math
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import median

import msgspec

from marjoramford.opaque_flows.flow_settings import PeerSettings
from marjoramford.opaque_flows.peer_groups import count_readers
from marjoramford.opaque_flows.published_states import PublishedState
from marjoramford.opaque_flows.routes import RouteChanges
from marjoramford.shared.logs import configure_logging
from marjoramford.standins.restore_drills import Course, DrillPlan, DrillReport, run_drill

SEEDS = tuple(range(1, 21))
SIZES = ((8, 3), (87, 3), (195, 6))
AWAY_SECONDS = ((0.1, 0.3), (0.5, 2.0))
WORKERS = 2


def measure(case) -> DrillReport:
    """Runs one drill."""
    (entry_vms, zones), away_seconds, course, seed = case
    configure_logging("plain", "critical")
    return run_drill(DrillPlan(entry_vms, zones, away_seconds, course), seed)


def count_reading_vms(entry_vms: int, zones: int) -> int:
    """Returns how many entry VMs read the store while nothing fails."""
    settings = PeerSettings()
    sizes = [len(range(zone, entry_vms, zones)) for zone in range(zones)]
    return sum(
        size if size <= settings.all_read_up_to else count_readers(size, settings) for size in sizes
    )


def find_percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile."""
    ranked = sorted(values)
    return ranked[math.ceil(share * len(ranked)) - 1]


def describe_times(reports: list[DrillReport]) -> str:
    """Returns the columns of the times until a zone is in step."""
    zones = [(report.back_at, zone) for report in reports for zone in report.zones.values()]
    late = sum(zone.in_step_at is None for _, zone in zones)
    in_step = [(back_at, zone) for back_at, zone in zones if zone.in_step_at is not None]
    since_answer = [zone.in_step_at - zone.first_answer_at for _, zone in in_step]
    since_return = [zone.in_step_at - back_at for back_at, zone in in_step]
    columns = [f"{len(zones)}", f"{late}"]
    for times in (since_answer, since_return):
        columns += [f"{median(times):.3f}", f"{find_percentile(times, 0.99):.3f}"]
    return " | ".join(columns)


def describe_calls(reports: dict[Course, list[DrillReport]], readers: int) -> str:
    """Returns the columns of the calls on the store, of whole reads and of bytes."""
    columns = [f"{median(r.calls for r in reports[course]):.0f}" for course in Course]
    for course in (Course.OUTAGE, Course.RESTORE):
        whole = [r.whole_reads.total() / readers for r in reports[course]]
        columns += [f"{median(whole):.2f}", f"{max(whole):.2f}"]
    columns += [f"{median(r.state_bytes for r in reports[c]) / 1000:.0f}" for c in Course]
    return " | ".join(columns)


def describe_bytes() -> str:
    """Returns the bytes that the eras add to a state and to a question."""
    routes = RouteChanges(20, 19, 15.0, ())
    lines = []
    for name, own, with_routes in (("no routes", None, None), ("routes", routes, routes)):
        old = PublishedState((), (), False, 123456, 0.123, own)
        if with_routes is not None:
            with_routes = msgspec.structs.replace(with_routes, era=12, base_era=12)
        new = msgspec.structs.replace(old, era=12, routes=with_routes)
        sizes = [len(msgspec.json.encode(state)) for state in (old, new)]
        lines.append(f"| state with {name} | {sizes[0]} | {sizes[1] - sizes[0]} |")
    question = "/v1/published?after=123456&routes=20&wait=0.7&compress=true"
    lines.append(f"| question | {len(question)} | {len('&era=12&routes_era=12')} |")
    return "\n".join(lines)


def main() -> None:
    """Measures all sizes, outages and courses, and prints the tables."""
    cases = list(product(SIZES, AWAY_SECONDS, Course, SEEDS))
    with ProcessPoolExecutor(WORKERS) as workers:
        found = dict(zip(cases, workers.map(measure, cases), strict=True))
    times, calls = [], []
    for size, away_seconds in product(SIZES, AWAY_SECONDS):
        reports = {c: [found[size, away_seconds, c, s] for s in SEEDS] for c in Course}
        head = f"| {size[0]} | {away_seconds[0]} to {away_seconds[1]}"
        times.append(f"{head} | {describe_times(reports[Course.RESTORE])} |")
        calls.append(f"{head} | {describe_calls(reports, count_reading_vms(*size))} |")
    sys.stdout.write("| VMs | away, s | zones | not in step | answer: median, s | 99%, s ")
    sys.stdout.write("| return: median, s | 99%, s |\n" + "| --- " * 8 + "|\n")
    sys.stdout.write("\n".join(times) + "\n\n| VMs | away, s | calls: quiet | outage | restore ")
    sys.stdout.write("| whole reads, outage: median | most | restore: median | most ")
    sys.stdout.write("| kB to followers: quiet | outage | restore |\n" + "| --- " * 12 + "|\n")
    sys.stdout.write("\n".join(calls) + "\n\n| message | bytes | added by eras |\n")
    sys.stdout.write("| --- " * 3 + "|\n" + describe_bytes() + "\n")


if __name__ == "__main__":
    main()
