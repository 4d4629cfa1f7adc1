"""What an entry VM on the platform loads before it serves: its start is the outage after a crash.

Load pattern: all entry VMs lose power under full load; callers wait until the first are back.
"""

import json
import subprocess
import sys

import pytest

LIST_MODULES = """
import dataclasses, json, sys
from marjoramford.platform.__main__ import disable_tls
disable_tls()
from marjoramford.platform import entry_points
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
    """The modules of a start, and our classes whose methods were generated in it."""
    command = [sys.executable, "-c", LIST_MODULES]
    printed = subprocess.run(command, capture_output=True, check=True, text=True).stdout
    return json.loads(printed)


@pytest.mark.parametrize(
    "module",
    [
        "aiohttp",
        "fire",
        "marjoramford.coordinators",
        "marjoramford.handovers",
        "marjoramford.keys",
        "marjoramford.requests",
        "marjoramford.tokens",
        "matplotlib",
        "prometheus_client",
        "pydantic",
        "sortedcontainers",
        "ssl",
    ],
)
def test_a_start_does_not_import_modules_of_other_paths(loaded, module):
    assert module not in loaded[0]


def test_a_start_defines_no_data_classes(loaded):
    assert loaded[1] == []
