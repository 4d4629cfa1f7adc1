"""Measures mechanisms switched on and off on the same seeds; prints JSON lines."""

import json
import logging

import fire

from marjoramford.evaluations.experiments import Experiment, ExperimentPlan
from marjoramford.standins.deployments import DEPLOYMENTS
from marjoramford.standins.worlds import WorldSettings
from marjoramford.token_flows.settings import CoreSettings

NO_RETRIES = {"load": {"retry_share": 0.0, "retry_burst": 1.0}}
UNLIMITED_RETRIES = {"load": {"retry_share": 1.0, "retry_burst": 10_000.0}}
NO_LEASES = {"times": {"load_lease": 0.001, "connection_lease": 0.001}}
MANY_FLOWS = 40
FEW_FLOWS = 2
CASES = {
    "retry budget 0.2, load 2.0": ({}, 2.0, MANY_FLOWS),
    "no retries, load 2.0": (NO_RETRIES, 2.0, MANY_FLOWS),
    "endless retries, load 2.0": (UNLIMITED_RETRIES, 2.0, MANY_FLOWS),
    "leased shares, load 0.6": ({}, 0.6, MANY_FLOWS),
    "equal shares, load 0.6": (NO_LEASES, 0.6, MANY_FLOWS),
    "leased shares, load 0.9": ({}, 0.9, MANY_FLOWS),
    "equal shares, load 0.9": (NO_LEASES, 0.9, MANY_FLOWS),
    "leased shares, load 0.6, two flows a kind": ({}, 0.6, FEW_FLOWS),
    "equal shares, load 0.6, two flows a kind": (NO_LEASES, 0.6, FEW_FLOWS),
}


def main(
    deployment: str = "heritage", seconds: float = 60.0, seeds: int = 3, only: str = ""
) -> None:
    """Measures the cases and prints one JSON line per case.

    Args:
        deployment: `heritage` or `grievance`.
        seconds: virtual seconds of traffic in each run.
        seeds: number of seeds, counted from 1.
        only: measure only the cases whose name contains this text.
    """
    logging.disable(logging.CRITICAL)
    for name, (changes, load, flows) in CASES.items():
        if only not in name:
            continue
        settings = CoreSettings.model_validate(changes)
        totals = {"offered": 0, "whole": 0, "not_run": 0, "unknown": 0, "dispatches": 0}
        shares = []
        for seed in range(1, seeds + 1):
            plan = ExperimentPlan(
                DEPLOYMENTS[deployment], seed, seconds, load=load, sessions_per_kind=flows
            )
            experiment = Experiment(plan, WorldSettings(core=settings))
            measures = experiment.run()
            shares.append(round(measures.delivered_share_of_slots, 3))
            for kind in measures.kinds.values():
                totals["offered"] += kind.offered
                totals["whole"] += kind.whole
                totals["not_run"] += kind.not_run
                totals["unknown"] += kind.unknown
            for node in experiment.world.entry_nodes.values():
                totals["dispatches"] += node.balancer.node.counters["dispatches"]
        row = {"case": name, "delivered_share_of_slots": shares} | totals
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
