"""Settings of entry VMs for opaque flows, their page, and the command that validates them."""

import json
import re
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from marjoramford.opaque_flows.flow_settings import PacketVmSettings, read_packet_settings

ROOT = Path(__file__).parent.parent
GOOD = {
    "name": "front-1",
    "zone": "a",
    "packet_address": "10.0.0.1:1",
    "ready_address": "10.0.0.1:2",
    "control_address": "10.0.0.1:3",
    "platform": "10.0.0.2:4",
    "seeds": ["10.0.0.1:3"],
}


def write(tmp_path, content):
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(content))
    return str(path)


def test_a_valid_file_is_read_and_unknown_keys_are_ignored(tmp_path):
    settings = read_packet_settings(write(tmp_path, GOOD | {"new": 1})).unwrap()
    assert settings.seeds == ("10.0.0.1:3",)


@pytest.mark.parametrize(
    "change",
    [
        {"name": ""},
        {"packet_address": "10.0.0.1"},
        {"platform": "10.0.0.1:99999"},
        {"seeds": ["nowhere:1"]},
        {"silence": {"dead_seconds": 0}},
        {"log_level": "loud"},
        {"max_flows": 0},
    ],
)
def test_invalid_settings_are_rejected(tmp_path, change):
    assert read_packet_settings(write(tmp_path, GOOD | change)).is_err()


def test_a_missing_file_is_an_error_with_its_path(tmp_path):
    error = read_packet_settings(str(tmp_path / "none.json")).unwrap_err()
    assert "none.json" in error.peer


def test_the_check_command_reports_invalid_settings(tmp_path):
    def run(path):
        command = [sys.executable, "-m", "marjoramford", "check_packets", path]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    assert run(write(tmp_path, GOOD)).returncode == 0
    bad = run(write(tmp_path, GOOD | {"max_flows": 0}))
    assert bad.returncode == 2
    assert "max_flows" in bad.stderr


def render(template, values):
    """Renders the part of the platform's template language that the deploy file uses."""

    def render_section(found):
        value = values.get(found[1])
        return found[2].replace("{{.}}", json.dumps(value)) if value else ""

    template = re.sub(r"\{\{#([a-z_.0]+)\}\}(.*?)\{\{/\1\}\}", render_section, template, flags=re.S)
    return re.sub(
        r"\{\{([a-z_.]+)(?:\|json)?\}\}", lambda found: json.dumps(values[found[1]]), template
    )


@pytest.mark.parametrize("link_mbps", [5.0, None])
@pytest.mark.parametrize("overage", [2.0, None])
@pytest.mark.parametrize("slack", [3, None])
def test_the_rendered_template_is_a_valid_file(tmp_path, link_mbps, overage, slack):
    values = {
        "node": "front-a-1",
        "zone": "a",
        "listen.datagram_addr": "10.0.0.1:1",
        "listen.ready": "10.0.0.1:2",
        "listen.control": "10.0.0.1:3",
        "platform.address": "10.0.0.2:4",
        "internal_ports.0": 7720,
        "seeds": ["10.0.0.1:3"],
        "bounds.flow_max_s": 60,
        "bounds.grace_s": 6,
        "limits.link_mbps": link_mbps,
        "bounds.warmup_overage": overage,
        "bounds.warmup_slack": slack,
    }
    filled = render((ROOT / "deploy" / "entry-vm.json").read_text(), values)
    settings = read_packet_settings(write(tmp_path, json.loads(filled))).unwrap()
    assert settings.link_mbps == (link_mbps or 0.0)
    assert settings.cold_starts.overage == (overage or 1.5)
    assert settings.cold_starts.slack == (slack or 5.0)
    assert settings.load_port == 7720
    assert settings.name == "front-a-1"
    assert settings.shared_evidence.enabled
    assert settings.stop.grace_seconds == 6.0


def sections():
    for field in msgspec.structs.fields(PacketVmSettings):
        if isinstance(field.default, msgspec.Struct):
            for inner in msgspec.structs.fields(type(field.default)):
                yield f"{field.name}.{inner.name}", str(inner.default)
        else:
            default = "required" if field.required else str(field.default)
            yield field.name, default


def test_every_setting_is_documented_with_its_default():
    page = (ROOT / "docs" / "packet-settings.md").read_text()
    listed = dict(re.findall(r"^\| `([a-z_.]+)` \| `([^`]+)` \|", page, re.M))
    assert listed == dict(sections())
