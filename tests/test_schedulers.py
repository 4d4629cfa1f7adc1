"""Parallel runs: tests that depend on real time run alone, and KNOWN-RED.txt applies."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

from .schedulers import REAL_TIME_TESTS, SHARED_MEASUREMENTS

ROOT = Path(__file__).parent.parent
LISTED = "tests/test_soak.py::test_soak_with_overlapping_faults_finds_no_violation[203-8.0]"


def run_pytest(*options):
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("options", [(), ("--numprocesses=1",)])
def test_a_test_in_known_red_is_passed_over_and_printed(options):
    result = run_pytest(*options, LISTED)
    assert f"KNOWN-RED: {LISTED}" in result.stdout
    assert result.stdout.splitlines()[-1].startswith("1 skipped")


def test_tests_of_a_group_run_in_one_process():
    """Guards against a version of pytest-xdist that silently ignores the groups."""
    skipped = LISTED, LISTED.replace("203-8.0", "605-8.0"), LISTED.replace("203-8.0", "2436-8.0")
    result = run_pytest("--numprocesses=3", "-vv", *skipped)
    assert len(set(re.findall(r"\[gw\d\](?= \[.*SKIPPED)", result.stdout))) == 1, result.stdout


def test_every_group_names_existing_tests():
    result = run_pytest("--collect-only", *REAL_TIME_TESTS, SHARED_MEASUREMENTS)
    assert result.returncode == 0, result.stdout
