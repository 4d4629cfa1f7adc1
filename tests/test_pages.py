"""The documentation pages list exactly the events, settings and commands that the code has."""

import re
import subprocess
import sys
from pathlib import Path

import pytest
from pydantic import BaseModel

from marjoramford.commands import Commands
from marjoramford.shared.logs import LogEvent
from marjoramford.token_flows.settings import EntryVmSettings

DOCS = Path(__file__).parent.parent / "docs"


def test_the_events_page_lists_exactly_the_log_events():
    rows = re.findall(r"^\| (\d+) \| `([a-z ]+)` \|", (DOCS / "events.md").read_text(), re.M)
    listed = {int(number): name for number, name in rows}
    assert listed == {int(event): event.name.lower().replace("_", " ") for event in LogEvent}


# Those that log; the stand-ins do not count.
PACKAGES = ("opaque_flows", "platform", "shared", "token_flows")


def test_every_log_event_is_used():
    packages = [DOCS.parent / "marjoramford" / name for name in PACKAGES]
    text = "".join(path.read_text() for package in packages for path in package.glob("*.py"))
    assert [event.name for event in LogEvent if f"LogEvent.{event.name}" not in text] == []


def keys_and_defaults(model: type[BaseModel], prefix: str = ""):
    for name, field in model.model_fields.items():
        kind = field.annotation
        if isinstance(kind, type) and issubclass(kind, BaseModel):
            yield from keys_and_defaults(kind, f"{prefix}{name}.")
        else:
            default = "required" if field.is_required() else str(field.default)
            yield f"{prefix}{name}", default


def test_the_settings_page_lists_every_setting_with_its_default():
    page = (DOCS / "settings.md").read_text()
    listed = dict(re.findall(r"^\| `([a-z_.]+)` \| `?([^|`]+)`? \|", page, re.M))
    assert listed == dict(keys_and_defaults(EntryVmSettings))


def test_the_command_line_page_lists_every_command():
    page = (DOCS / "command-line.md").read_text()
    commands = [name for name in dir(Commands) if not name.startswith("_")]
    standins = [name for name in dir(Commands().standin) if not name.startswith("_")]
    for name in commands:
        assert f"marjoramford {name}" in page, name
    for name in standins:
        assert f"marjoramford standin {name}" in page, name


@pytest.mark.parametrize("tool", ["capacity.py", "measure_flows.py"])
def test_the_capacity_tables_match_the_measurements(tool):
    command = [sys.executable, str(DOCS.parent / "tools" / tool), "--check"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr


def test_deployed_requirements_are_the_tested_versions():
    root = DOCS.parent
    tested = (root / "requirements.txt").read_text().splitlines()
    deployed = (root / "deploy" / "requirements.txt").read_text().splitlines()
    assert [line for line in deployed if line not in tested] == []
