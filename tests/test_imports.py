"""Modules that an entry VM on the platform imports before it serves.

The import time is part of the outage after a crash. Load pattern: all entry VMs lose power under
full load, and callers wait until the first of them serve again.
"""

import json
import subprocess
import sys

import pytest

LIST_MODULES = """
import dataclasses, importlib, json, sys
from marjoramford.platform.entry_points import LATER_MODULES, hide_tls
with hide_tls():
    for name in LATER_MODULES:
        importlib.import_module(name, "marjoramford.opaque_flows")
modules = {name: module for name, module in sys.modules.items() if module is not None}
generated = [
    f"{name}.{cls.__name__}"
    for name, module in modules.items()
    if name.startswith("marjoramford")
    for cls in vars(module).values()
    if isinstance(cls, type) and cls.__module__ == name and dataclasses.is_dataclass(cls)
]
print(json.dumps([sorted(modules), generated]))
"""


@pytest.fixture(scope="module")
def loaded():
    """The modules imported at a start, and the data classes of the package among them."""
    command = [sys.executable, "-c", LIST_MODULES]
    printed = subprocess.run(command, capture_output=True, check=True, text=True).stdout
    return json.loads(printed)


@pytest.mark.parametrize(
    "module",
    [
        "aiohttp",
        "fire",
        "marjoramford.token_flows.coordinators",
        "marjoramford.token_flows.handovers",
        "marjoramford.token_flows.keys",
        "marjoramford.token_flows.requests",
        "marjoramford.token_flows.tokens",
        "matplotlib",
        "prometheus_client",
        "pydantic",
        "sortedcontainers",
        "ssl",
        "statistics",
    ],
)
def test_a_start_does_not_import_modules_of_other_paths(loaded, module):
    assert module not in loaded[0]


def test_a_start_defines_no_data_classes(loaded):
    assert loaded[1] == []
