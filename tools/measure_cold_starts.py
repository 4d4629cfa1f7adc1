"""Compares ways to keep the flows at a cold server within a limit; prints Markdown tables."""

import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from random import Random

from marjoramford.evaluations.cold_start_comparisons import (
    Grants,
    Holders,
    Policy,
    Shares,
    count_openings,
    start_fleet,
)
from marjoramford.opaque_flows.flow_settings import ColdStartSettings
from marjoramford.shared.logs import configure_logging

ENTRY_VMS = (7, 70, 195, 300)
LIMITS = (1, 5, 20)
FLOWS_PER_SECOND = (600, 1200)
SECONDS = 60.0
SEED = 1
START_SEEDS = range(1, 5)
WORKERS = 2
# A zone split into halves, long enough for each half to forget the other.
SPLIT_AT_SECONDS = 20.0
SPLIT_ENTRY_VMS = (7, 70, 300)


def make_policy(name: str, entry_vms: int, limit: float) -> Policy:
    """Returns one of the ways that are compared."""
    match name:
        case "a share for every entry VM":
            return Shares(entry_vms, limit, Random(SEED))
        case "tokens granted by one entry VM":
            return Grants(limit)
        case _:
            return Holders(entry_vms, limit)


POLICIES = ("a share for every entry VM", "tokens granted by one entry VM", "few holders")


def measure_policy(case: tuple[str, int, int, int]) -> str:
    """Returns the line of one way, number of entry VMs, limit and demand."""
    name, entry_vms, limit, demand = case
    configure_logging("plain", "critical")
    policy = make_policy(name, entry_vms, limit)
    count = count_openings(policy, entry_vms, demand, limit, SECONDS, SEED)
    settings = ColdStartSettings()
    bound = limit * settings.overage + settings.slack
    return (
        f"| {name} | {entry_vms} | {limit} | {demand} | {count.used_share:.2f} | "
        f"{count.most_in_second} of {bound:g} | {count.messages_per_second:.1f} |\n"
    )


def see_own_half(own: str, names: Sequence[str], now: float) -> tuple[list[str], list[str]]:
    """Returns the view of a member of a zone that is split into halves."""
    if now < SPLIT_AT_SECONDS:
        return list(names), []
    middle = len(names) // 2
    halves = list(names[:middle]), list(names[middle:])
    return halves if own in halves[0] else halves[::-1]


def measure_split(case: tuple[int, int]) -> str:
    """Returns the line of a zone that is split into halves."""
    entry_vms, limit = case
    configure_logging("plain", "critical")
    policy = Holders(entry_vms, limit, see_own_half)
    count = count_openings(policy, entry_vms, FLOWS_PER_SECOND[-1], limit, SECONDS, SEED)
    return f"| {entry_vms} | {limit} | {count.used_share:.2f} | {count.most_in_second} |\n"


def measure_start(case: tuple[float, int, int]) -> str:
    """Returns the line of a fleet whose entry VMs start together."""
    settle_seconds, entry_vms, limit = case
    configure_logging("plain", "critical")
    settings = ColdStartSettings(settle_seconds=settle_seconds)
    starts = [start_fleet(entry_vms, limit, seed, settings) for seed in START_SEEDS]
    bound = limit * settings.overage + settings.slack
    first, half, last = (
        sum(start.settled[part] for start in starts) / len(starts) for part in range(3)
    )
    return (
        f"| {settle_seconds:g} | {entry_vms} | {limit} | {first:.1f}, {half:.1f}, {last:.1f} | "
        f"{max(start.most_unknown for start in starts)} | "
        f"{max(start.most_in_second for start in starts)} of {bound:g} |\n"
    )


def main() -> None:
    """Measures all cases and prints the tables."""
    tables = [
        (
            "way | entry VMs | limit | new flows/s | used share | most in 1 s | messages/s",
            measure_policy,
            list(product(POLICIES, ENTRY_VMS, LIMITS, FLOWS_PER_SECOND)),
        ),
        (
            "entry VMs, zone split into halves | limit | used share | most in 1 s",
            measure_split,
            list(product(SPLIT_ENTRY_VMS, LIMITS)),
        ),
        (
            "wait s | entry VMs started together | limit | settled after s: first, half, last | "
            "unknown members | most in 1 s",
            measure_start,
            list(product((0.1, 6.0), (7, 20, 40, 70, 195), (1, 20))),
        ),
    ]
    with ProcessPoolExecutor(WORKERS) as workers:
        for head, measure, cases in tables:
            columns = head.count("|") + 1
            sys.stdout.write(f"| {head} |\n|{' --- |' * columns}\n")
            for line in workers.map(measure, cases):
                sys.stdout.write(line)
            sys.stdout.write("\n")


if __name__ == "__main__":
    main()
