"""Measures how evenly each policy spreads work, beside an oracle, on the same seeds.

Prints one JSON line for each case, and with --plot writes a picture of the ratios.
"""

import json
import logging
from dataclasses import replace
from pathlib import Path

import fire
import matplotlib.pyplot as plt

from marjoramford.choosers import POLICIES, OracleChoice
from marjoramford.experiments import Experiment, Plan
from marjoramford.settings import CoreSettings
from marjoramford.standins.deployments import DEPLOYMENTS
from marjoramford.standins.worlds import WorldSettings

LOAD = 0.7
WINDOWS = 4
WINDOW_SECONDS = 30.0
SEEDS = (1, 2, 3)
REPORTS = {"fresh": (0.0, 0), "1 s late": (1.0, 0), "5 s late": (5.0, 0), "one liar": (0.0, 1)}
WORKS = (0.3, 1.0, 5.0, 60.0)


def main(
    deployment: str = "grievance",
    policies: str = "random,two_choices,reported,estimated",
    works: str = "0.3,1,5,60",
    reports: str = ",".join(REPORTS),
    plot: str = "",
) -> None:
    """Measures policies.

    Args:
        deployment: heritage or grievance.
        policies: names, separated by commas.
        works: mean times of work in seconds, separated by commas.
        reports: how load reports are, separated by commas.
        plot: where a picture of the ratios goes; none if empty.
    """
    logging.disable(logging.CRITICAL)
    rows = []
    for work in (float(text) for text in _split(works)):
        oracle = measure(deployment, "oracle", work, "fresh")
        for report in _split(reports):
            for name in _split(policies):
                found = measure(deployment, name, work, report)
                rows.append(_row(name, work, report, found, oracle))
                print(json.dumps(rows[-1]), flush=True)
    if plot:
        draw(rows, Path(plot))


def measure(deployment: str, policy: str, work: float, report: str) -> tuple[float, float, float]:
    """Returns the imbalance's median and ninth decile, and the share of requests whole."""
    windows = []
    offered = whole = 0
    for seed in SEEDS:
        measures = run_one(deployment, policy, work, report, seed)
        windows += [ratio for ratios in measures.imbalance.values() for ratio in ratios]
        offered += sum(kind.offered for kind in measures.kinds.values())
        whole += sum(kind.whole for kind in measures.kinds.values())
    windows.sort()
    median = windows[len(windows) // 2]
    ninth = windows[min(len(windows) - 1, int(0.9 * len(windows)))]
    return median, ninth, whole / max(1, offered)


def run_one(deployment: str, policy: str, work: float, report: str, seed: int):
    """Runs one experiment with steady traffic and no faults."""
    lag, liars = REPORTS[report]
    settings = WorldSettings(report_lag=lag, liars=liars, work_seconds=work)
    seconds = WINDOW_SECONDS * WINDOWS + min(120.0, 4 * work)
    settings.core = CoreSettings.model_validate(
        {"load": {"policy": policy if policy in POLICIES else "estimated"}}
    )
    shape = replace(DEPLOYMENTS[deployment], traffic=_requests_only(deployment))
    plan = Plan(shape, seed, seconds, "none", LOAD, request_seconds=max(5.0, 6 * work))
    experiment = Experiment(plan, settings)
    if policy == "oracle":
        servers = experiment.world.server_nodes
        oracle = OracleChoice(lambda name: servers[name].model.busy)
        for node in experiment.world.entry_nodes.values():
            node.balancer.node.policy = oracle
    return experiment.run()


def _requests_only(deployment: str):
    return tuple(t for t in DEPLOYMENTS[deployment].traffic if t.shape == "request")


def _row(name: str, work: float, report: str, found, oracle) -> dict[str, object]:
    return {
        "policy": name,
        "work_seconds": work,
        "report": report,
        "median": round(found[0], 3),
        "ninth_decile": round(found[1], 3),
        "whole": round(found[2], 4),
        "oracle_median": round(oracle[0], 3),
        "oracle_ninth_decile": round(oracle[1], 3),
        "oracle_whole": round(oracle[2], 4),
        "median_ratio": round(found[0] / oracle[0], 3),
        "ninth_decile_ratio": round(found[1] / oracle[1], 3),
    }


def draw(rows: list[dict], path: Path) -> None:
    """Draws the ninth decile's ratio to the oracle, a panel for each time of work."""
    works = sorted({row["work_seconds"] for row in rows})
    figure, panels = plt.subplots(1, len(works), sharey=True, figsize=(3.2 * len(works), 3.4))
    for panel, work in zip([panels] if len(works) == 1 else panels, works, strict=True):
        for name in dict.fromkeys(row["policy"] for row in rows):
            points = [r for r in rows if r["policy"] == name and r["work_seconds"] == work]
            labels = [row["report"] for row in points]
            panel.plot(labels, [r["ninth_decile_ratio"] for r in points], "o-", label=name)
        panel.axhline(1.1, color="grey", linestyle="--", linewidth=0.8)
        panel.set_title(f"work of {work:g} s")
        panel.tick_params(axis="x", rotation=45)
    figure.axes[0].set_ylabel("ninth decile / oracle's")
    figure.axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def _split(text) -> list[str]:
    return [str(part) for part in text] if isinstance(text, tuple) else str(text).split(",")


if __name__ == "__main__":
    fire.Fire(main)
