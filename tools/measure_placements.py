"""Compares the placement of opaque flows with baselines; prints a Markdown table."""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from marjoramford.evaluations.packet_comparisons import PATTERNS, POLICIES, measure_policy
from marjoramford.shared.logs import configure_logging

SEEDS = tuple(range(1, 13))
DEPLOYMENT = "grievance"
WORKERS = 2


def measure(case):
    """Returns the scores of a pair of pattern and policy, one line of the table."""
    pattern, policy = case
    configure_logging("plain", "critical")
    return measure_policy(DEPLOYMENT, policy, PATTERNS[pattern], SEEDS)


def main() -> None:
    """Measures every pattern with every policy and prints the table."""
    cases = list(product(PATTERNS, POLICIES))
    with ProcessPoolExecutor(WORKERS) as workers:
        scores = list(workers.map(measure, cases))
    sys.stdout.write(
        "| load pattern | policy | worth | worst windows |\n| --- | --- | --- | --- |\n"
    )
    for (pattern, policy), score in zip(cases, scores, strict=True):
        figures = f"{score.worth:.4f} | {score.worst_windows:.3f}"
        sys.stdout.write(f"| {pattern} | {policy} | {figures} |\n")


if __name__ == "__main__":
    main()
