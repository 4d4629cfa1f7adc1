"""Soak-tests real entry VM processes: ``tools/soak.py --seed=1 --runs=50 --seconds=15``."""

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

from marjoramford.standins.packet_soaks import run_soak


def soak(seed: int = 1, runs: int = 1, seconds: float = 15.0, keep: str = "") -> None:
    """Runs soak tests with successive seeds; exits with 1 if any finds a violation.

    Args:
        seed: seed of the first run.
        runs: number of runs.
        seconds: how long faults are injected in each run.
        keep: directory for the logs of all runs; a new temporary one by default.
    """
    base = Path(keep or tempfile.mkdtemp(prefix="soak-"))
    failed = []
    for number in range(seed, seed + runs):
        directory = base / str(number)
        directory.mkdir(parents=True, exist_ok=True)
        findings = asyncio.run(run_soak(number, seconds, directory))
        (directory / "events.txt").write_text("\n".join(findings.events))
        share = findings.answered / max(1, findings.requests)
        print(
            f"seed {number}: {findings.requests} requests, {share:.3f} answered,"
            f" {findings.openings_during_drains} openings judged during zone drains",
            flush=True,
        )
        for violation in findings.violations:
            print(f"  VIOLATION {violation}", flush=True)
        if findings.violations:
            failed.append(number)
    print(f"{runs} runs, {len(failed)} with a broken promise: {failed}; logs in {base}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
