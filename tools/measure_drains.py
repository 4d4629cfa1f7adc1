"""Measures how soon a drain of a zone and its end are in force; prints a Markdown table."""

import asyncio
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import median

from measure_restores import SEEDS, WORKERS, find_percentile

from marjoramford.shared.logs import configure_logging
from marjoramford.standins.drain_drills import DrainDrill, run_drain_drill
from marjoramford.standins.restore_drills import POLL_SECONDS, DrillPlan

SIZES = ((7, 3), (70, 3), (195, 6), (300, 6))
MAX_SECONDS = 10.0
PAUSE_SECONDS = 1.0


def measure(case) -> tuple[list[float], list[float]]:
    """Returns the seconds until a drain is in force on each entry VM, and until it has ended."""
    (entry_vms, zones), seed = case
    configure_logging("plain", "critical")
    times: tuple[list[float], list[float]] = ([], [])

    async def course(drill: DrainDrill) -> None:
        for change, seconds in zip((drill.drain, drill.end_drain), times, strict=True):
            waiting = set(drill.vms)
            began_at = time.monotonic()
            change()
            while waiting:
                drained = drill.drained()
                reached = waiting & drained if change == drill.drain else waiting - drained
                elapsed = time.monotonic() - began_at
                seconds += [elapsed] * len(reached)
                waiting -= reached
                if elapsed > MAX_SECONDS:
                    seconds += [float("inf")] * len(waiting)
                    break
                await asyncio.sleep(POLL_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)

    run_drain_drill(DrillPlan(entry_vms, zones, (0.0, 0.0)), seed, course)
    return times


def main() -> None:
    """Prints one line for each size, over all seeds."""
    print("| entry VMs | zones | change | median s | 99% s | longest s |")
    print("| --- | --- | --- | --- | --- | --- |")
    cases = list(product(SIZES, SEEDS))
    with ProcessPoolExecutor(WORKERS) as pool:
        results = dict(zip(cases, pool.map(measure, cases), strict=True))
    for size in SIZES:
        for index, change in enumerate(("drain", "end")):
            values = [s for seed in SEEDS for s in results[size, seed][index]]
            figures = (median(values), find_percentile(values, 0.99), max(values))
            columns = " | ".join(f"{figure:.3f}" for figure in figures)
            print(f"| {size[0]} | {size[1]} | {change} | {columns} |")


if __name__ == "__main__":
    main()
