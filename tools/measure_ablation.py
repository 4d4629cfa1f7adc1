"""Switches off one mechanism at a time and measures what it is worth; prints a table.

`emulate` runs the emulated platform. `play` runs days of a bench in scratch checkouts of this
repository, each with its own settings template: COMMAND is the bench's program, which prints a line
with the name of the day and the column `worth`. Each group of days is played side by side with the
unchanged settings, so that all have the same load on the machine.
"""

import json
import re
import subprocess
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from functools import partial
from itertools import product
from pathlib import Path
from statistics import mean

import fire
import msgspec

from marjoramford.evaluations.packet_comparisons import PATTERNS, run_overload, run_pattern
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.shared.logs import configure_logging

TEMPLATE = Path("deploy/entry-vm.json")
# Settings without each mechanism.
ABLATIONS = {
    "refusals": {"overload": {"max_level": 0}, "load_reports": {"receivers": 0}},
    "load reports": {"load_reports": {"receivers": 0}},
    "silence detection": {
        "silence": {"dead_retransmissions": 100, "unlisted_retransmissions": 100}
    },
    "doubt": {"silence": {"doubt_seconds": 0.001}},
    "own-link evidence": {"silence": {"own_link_seconds": 0.001}},
    "loss detection": {"silence": {"lossy_losses": 100}},
    "shared evidence": {"shared_evidence": {"enabled": False}},
    "shared evidence everywhere": {"shared_evidence": {"enabled": True}},
    "copies elsewhere": {"placement": {"copy_seconds": 86_400}},
    "zone preference": {"placement": {"other_zone_penalty": 0}},
    "cold penalty": {"placement": {"cold_penalty": 0}},
    "open flow weight": {"placement": {"open_flow_weight": 0}},
    "few readers": {"peers": {"all_read_up_to": 10_000}},
    "pause after changes": {"reads": {"settle_seconds": 0.001}},
}
PRESENT = "all"
EMULATED = ("all faults, load 0.5", "outage, load 0.9", 1.2)
SEEDS = (1, 2)
WORKERS = 4


def emulate() -> None:
    """Prints the mean worth on the emulator for each mechanism that is switched off."""
    cases = list(product([PRESENT, *ABLATIONS], EMULATED, SEEDS))
    with ProcessPoolExecutor(WORKERS) as workers:
        results = dict(zip(cases, workers.map(_emulate_case, cases), strict=True))
    for name in [PRESENT, *ABLATIONS]:
        worths = [mean(results[name, pattern, seed][0] for seed in SEEDS) for pattern in EMULATED]
        broken = sum(results[name, pattern, seed][1] for pattern in EMULATED for seed in SEEDS)
        _print_row(name, worths, broken)


def _emulate_case(case: tuple[str, str | float, int]) -> tuple[float, bool]:
    configure_logging("plain", "critical")
    name, pattern, seed = case
    make_balancer = partial(_make_balancer, ABLATIONS.get(name, {}))
    if isinstance(pattern, str):
        measures = run_pattern("grievance", make_balancer, PATTERNS[pattern], seed)
    else:
        measures = run_overload("heritage", make_balancer, pattern, seed)
    return measures.worth, not measures.promises_kept


def _make_balancer(changes, settings, random, now):
    merged = msgspec.convert(_merge(msgspec.to_builtins(settings), changes), type(settings))
    return FlowBalancer(merged, random, now)


def _merge(settings: dict, changes: dict) -> dict:
    merged = settings | changes
    for section, values in changes.items():
        if isinstance(values, dict):
            merged[section] = settings.get(section, {}) | values
    return merged


def play(command: str, checkouts: str, site: str, *days: str, options: str = "") -> None:
    """Prints the worth of days without each mechanism, beside those with all.

    Args:
        command: the bench's program.
        checkouts: a directory; `checkouts/0`, `checkouts/1` and so on are scratch checkouts.
        site: the site file.
        days: names of days.
        options: further options of the program.
    """
    directories = sorted(Path(checkouts).iterdir())
    names = list(ABLATIONS)
    size = len(directories) - 1
    for first in range(0, len(names), size):
        group = [PRESENT, *names[first : first + size]]
        with ThreadPoolExecutor(len(group)) as players:
            jobs = [
                players.submit(
                    _play_days, command, directory, site, days, ABLATIONS.get(name, {}), options
                )
                for name, directory in zip(group, directories, strict=False)
            ]
        for name, job in zip(group, jobs, strict=True):
            _print_row(name, job.result(), sum(worth == 0 for worth in job.result()))


def _play_days(command, directory, site, days, changes, options) -> list[float]:
    return [_play_day(command, directory, site, day, changes, options) for day in days]


def _play_day(command, directory, site, day, changes, options) -> float:
    """Plays one day with changed settings; returns its worth, 0 if a rule was broken."""
    template = directory / TEMPLATE
    original = TEMPLATE.read_text()
    template.write_text(_change_template(original, changes))
    call = [command, "run", site, day, "--why", f"ablation: {changes}", *options.split()]
    printed = subprocess.run(call, cwd=directory, capture_output=True, text=True).stdout
    template.write_text(original)
    row = re.search(r"^\S+ +\d+/\d+ +([\d.]+) +([\d.]+) ", printed, re.M)
    return float(row[2]) if row and float(row[1]) else 0.0


def _change_template(template: str, changes: dict) -> str:
    """Returns the template with other settings; a section that it fills in is replaced."""
    for section, values in changes.items():
        template = re.sub(rf'"{section}": {{[^}}]*}},?', "", template)
        template = template.replace("{", f'{{\n  "{section}": {json.dumps(values)},', 1)
    return template


def _print_row(name: str, worths: list[float], broken: int) -> None:
    cells = " | ".join(f"{worth:.3f}" for worth in worths)
    print(f"| {name} | {cells} | {broken} |", flush=True)


if __name__ == "__main__":
    fire.Fire({"emulate": emulate, "play": play})
