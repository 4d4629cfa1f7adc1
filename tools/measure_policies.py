"""Measures how evenly each policy distributes load, beside an oracle, and plots the results."""

import json
import logging
from pathlib import Path

import fire
import matplotlib.pyplot as plt

from marjoramford.evaluations.comparisons import ORACLE, REPORTS, Imbalance, measure_imbalance


def measure(
    deployment: str = "grievance",
    policies: str = "random,two_choices,reported,estimated",
    works: str = "0.3,1,5,60",
    reports: str = ",".join(REPORTS),
) -> None:
    """Measures policies and prints one JSON line per case.

    Args:
        deployment: `heritage` or `grievance`.
        policies: names of policies, separated by commas.
        works: mean processing times of a request in seconds, separated by commas.
        reports: names of load report cases, separated by commas.
    """
    logging.disable(logging.CRITICAL)
    for work in (float(text) for text in _split(works)):
        oracle = measure_imbalance(deployment, ORACLE, work, REPORTS["fresh"])
        for report in _split(reports):
            for name in _split(policies):
                measured = measure_imbalance(deployment, name, work, REPORTS[report])
                print(json.dumps(_row(name, work, report, measured, oracle)), flush=True)


def _row(
    name: str, work: float, report: str, measured: Imbalance, oracle: Imbalance
) -> dict[str, object]:
    return {
        "policy": name,
        "work_seconds": work,
        "report": report,
        "median": round(measured.median, 3),
        "ninth_decile": round(measured.ninth_decile, 3),
        "whole": round(measured.whole, 4),
        "oracle_median": round(oracle.median, 3),
        "oracle_ninth_decile": round(oracle.ninth_decile, 3),
        "oracle_whole": round(oracle.whole, 4),
        "median_ratio": round(measured.median / oracle.median, 3),
        "ninth_decile_ratio": round(measured.ninth_decile / oracle.ninth_decile, 3),
    }


def draw(rows_file: str, picture: str) -> None:
    """Plots the ratio of the ninth decile to the oracle's, with a panel per processing time.

    Args:
        rows_file: file with the JSON lines that `measure` printed.
        picture: path of the image file to write.
    """
    lines = Path(rows_file).read_text(encoding="utf-8").splitlines()
    rows = [json.loads(line) for line in lines]
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
    figure.savefig(picture, dpi=110)


def _split(text) -> list[str]:
    return [str(part) for part in text] if isinstance(text, tuple) else str(text).split(",")


if __name__ == "__main__":
    fire.Fire({"measure": measure, "draw": draw})
