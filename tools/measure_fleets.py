"""Measures overload in fleets of several sizes on the emulator; prints a table.

The servers grow with the entry VMs, so that only what each entry VM knows of the others differs.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import mean

from marjoramford.evaluations.packet_comparisons import resize, run_overload
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.shared.logs import configure_logging
from marjoramford.standins.deployments import DEPLOYMENTS

SIZES = (7, 8, 9, 12, 30, 71)
LOADS = (0.8, 0.9, 1.2, 2.0)
SEEDS = (1, 2)
RUN_SECONDS = 6.0
WORKERS = 3


def measure(case: tuple[int, float]) -> float:
    """Returns the share of the demand that is answered in aim, over deployments and seeds."""
    entry_vms, load = case
    configure_logging("plain", "critical")
    return mean(
        run_overload(
            resize(deployment, entry_vms), FlowBalancer, load, seed, RUN_SECONDS
        ).in_aim_share
        for deployment, seed in product(DEPLOYMENTS.values(), SEEDS)
    )


def main() -> None:
    """Measures each size and load and prints the table."""
    cases = list(product(SIZES, LOADS))
    with ProcessPoolExecutor(WORKERS) as workers:
        shares = dict(zip(cases, workers.map(measure, cases), strict=True))
    sys.stdout.write("| entry VMs | " + " | ".join(f"{load}" for load in LOADS) + " |\n")
    sys.stdout.write("| --- |" + " --- |" * len(LOADS) + "\n")
    for size in SIZES:
        cells = " | ".join(f"{shares[size, load]:.3f}" for load in LOADS)
        sys.stdout.write(f"| {size} | {cells} |\n")


if __name__ == "__main__":
    main()
