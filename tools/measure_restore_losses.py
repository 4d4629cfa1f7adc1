"""Compares requests lost while the store is restored from a copy with those of a plain outage.

Prints a page: ``python tools/measure_restore_losses.py > docs/measurements/restore-losses.md``.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from marjoramford.evaluations.packet_comparisons import run_with_faults
from marjoramford.evaluations.packet_experiments import PacketPlan
from marjoramford.shared.logs import configure_logging
from marjoramford.standins.deployments import DEPLOYMENTS
from marjoramford.standins.packet_faults import CrashServer, KillAllVms, RestoreStore, StopStore

SEEDS = range(1, 21)
RUN_SECONDS = 20.0
PLANNED_INTERVAL_SECONDS = 1.0
OUTAGE_AT_SECONDS = 10.0
OUTAGE_SECONDS = 2.0
COPY_AGE_SECONDS = 4.0
WORKERS = 3

STORES = {
    "available": (),
    "outage": (StopStore(OUTAGE_SECONDS),),
    "outage, restored": (RestoreStore(OUTAGE_SECONDS, COPY_AGE_SECONDS),),
}
# Further faults of each day, with their times. The entries of the crashed servers expire and their
# addresses are assigned to other services after the copy is taken.
DAYS = {
    "planned changes": (),
    "and two crashes": ((6.5, CrashServer()), (7.5, CrashServer())),
    "and a restart of all entry VMs": (
        (6.5, CrashServer()),
        (7.5, CrashServer()),
        (OUTAGE_AT_SECONDS + 0.5, KillAllVms()),
    ),
}

PAGE = f"""# Requests lost when the store is restored from a copy

`python tools/measure_restore_losses.py` runs the emulated platform: heritage and grievance, seeds
{SEEDS[0]} to {SEEDS[-1]} each, {RUN_SECONDS:.0f} s of traffic at half the slots, a planned change
every {PLANNED_INTERVAL_SECONDS:.0f} s, the same ones for a seed. The store is unavailable for
{OUTAGE_SECONDS:.0f} s. In a plain outage a third of the entries expire; in a restore the store
comes back from a copy taken {COPY_AGE_SECONDS:.0f} s before it went away. Failed requests got no
answer, late ones got it after the target latency; violations are those of the platform's rules.
The last column counts the runs with more, as many and fewer failed and late requests than the run
of the same seed with a plain outage.

| day | store | requests | failed | late | violations | more, equal, fewer |
| --- | --- | --- | --- | --- | --- | --- |
"""


def measure(case: tuple[str, str, str, int]) -> tuple[int, int, int, int]:
    """Returns the offered, failed and late requests and the violations of one run."""
    day, store, deployment, seed = case
    configure_logging("plain", "critical")
    plan = PacketPlan(
        DEPLOYMENTS[deployment],
        seed,
        RUN_SECONDS,
        "planned",
        fault_interval=PLANNED_INTERVAL_SECONDS,
    )
    outage = tuple((OUTAGE_AT_SECONDS, fault) for fault in STORES[store])
    measures = run_with_faults(plan, (*DAYS[day], *outage))
    tallies = measures.kinds.values()
    return (
        sum(tally.offered for tally in tallies),
        sum(tally.failed for tally in tallies),
        sum(tally.late for tally in tallies),
        sum(measures.findings.broken.values()),
    )


def main() -> None:
    """Measures every day with every state of the store and prints the page."""
    cases = list(product(DAYS, STORES, DEPLOYMENTS, SEEDS))
    with ProcessPoolExecutor(WORKERS) as workers:
        results = dict(zip(cases, workers.map(measure, cases), strict=True))
    sys.stdout.write(PAGE)
    for day, store in product(DAYS, STORES):
        runs = list(product(DEPLOYMENTS, SEEDS))
        totals = [
            sum(column) for column in zip(*(results[day, store, *r] for r in runs), strict=True)
        ]
        differences = [
            _count_lost(results[day, store, *run]) - _count_lost(results[day, "outage", *run])
            for run in runs
        ]
        more = sum(difference > 0 for difference in differences)
        fewer = sum(difference < 0 for difference in differences)
        row = (day, store, *totals, f"{more}, {len(runs) - more - fewer}, {fewer}")
        sys.stdout.write(f"| {' | '.join(map(str, row))} |\n")


def _count_lost(result: tuple[int, int, int, int]) -> int:
    _, failed, late, _ = result
    return failed + late


if __name__ == "__main__":
    main()
