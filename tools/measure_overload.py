"""Compares the refusal of new flows under overload with none and with bounds; prints a table.

The bounds know the requests in progress through all entry VMs, up to an age in seconds.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from statistics import mean

from marjoramford.evaluations.packet_comparisons import (
    SharedCountsBalancer,
    UncontrolledBalancer,
    run_overload,
)
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.shared.logs import configure_logging

SEEDS = (1, 2, 3)
DEPLOYMENTS = ("heritage", "grievance")
LOADS = (0.8, 0.9, 1.0, 1.2, 1.5, 2.0)
BALANCERS = {"no": UncontrolledBalancer, "yes": FlowBalancer}
BOUND_LOADS = (0.9, 1.2, 2.0)
BOUNDS = {
    f"by counts of all, up to {seconds} s old": partial(
        SharedCountsBalancer, exchange_seconds=seconds
    )
    for seconds in (0.0, 0.2, 0.5, 2.0)
}
WORKERS = 2


def measure(case):
    """Returns the share answered in aim and the mean worth, one line of the table."""
    load, refuses = case
    configure_logging("plain", "critical")
    runs = [
        run_overload(deployment, (BALANCERS | BOUNDS)[refuses], load, seed)
        for deployment, seed in product(DEPLOYMENTS, SEEDS)
    ]
    return mean(run.in_aim_share for run in runs), mean(run.worth for run in runs)


def main() -> None:
    """Measures every load with and without refusals and prints the table."""
    cases = [*product(LOADS, BALANCERS), *product(BOUND_LOADS, BOUNDS)]
    with ProcessPoolExecutor(WORKERS) as workers:
        scores = list(workers.map(measure, cases))
    sys.stdout.write("| load | refusals | in aim | worth |\n| --- | --- | --- | --- |\n")
    for (load, refuses), (in_aim, worth) in zip(cases, scores, strict=True):
        sys.stdout.write(f"| {load} | {refuses} | {in_aim:.3f} | {worth:.3f} |\n")


if __name__ == "__main__":
    main()
