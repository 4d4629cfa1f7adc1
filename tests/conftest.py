"""Fixtures and Hypothesis profile shared by all tests."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from .schedulers import GroupScheduling

settings.register_profile(
    "marjoramford",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("marjoramford")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Skips exactly the tests listed in KNOWN-RED.txt; `-ra` prints them in the summary."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    listed = {line.split(" | ")[0] for line in lines if line.startswith("tests/")}
    for item in items:
        if item.nodeid in listed and not item.config.getoption("--known-red"):
            item.add_marker(pytest.mark.skip(reason=f"KNOWN-RED: {item.nodeid}"))


def pytest_xdist_make_scheduler(config, log):
    return GroupScheduling(config, log)


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="also run what KNOWN-RED.txt lists")
