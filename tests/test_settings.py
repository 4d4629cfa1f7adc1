"""Validation of settings files: every error is reported in one run, and no secret is shown."""

import subprocess
import sys

import yaml

from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.sites import plan_site
from marjoramford.token_flows.settings import read_settings

SITE = plan_site(HERITAGE)


def write(tmp_path, **changes):
    content = SITE.entry_vm_content(SITE.entry_vms[0]) | changes
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(content))
    return str(path)


def test_a_valid_file_is_read(tmp_path):
    assert read_settings(write(tmp_path)).unwrap().name == "entry-1"


def test_every_error_is_reported_with_its_setting_and_value(tmp_path):
    path = write(
        tmp_path,
        zone="not a zone!",
        data_port=70000,
        times={"drain": -1, "gossip_intervall": 2},
        seeds=["nowhere"],
    )
    text = "\n".join(str(error) for error in read_settings(path).unwrap_err())
    for place in ("zone", "data_port", "times.drain", "times.gossip_intervall", "seeds"):
        assert place in text
    for value in ("70000", "-1", "not a zone!"):
        assert value in text


def test_secrets_are_not_shown(tmp_path):
    path = write(tmp_path, keys=[{"id": 1, "secret": "c0ffee"}])
    text = "\n".join(str(error) for error in read_settings(path).unwrap_err())
    assert "keys.0.secret" in text
    assert "c0ffee" not in text


def test_files_that_hold_no_settings_are_rejected(tmp_path):
    for number, content in enumerate((b"\xff\xfe", b"a: [", b"- 1", b"")):
        path = tmp_path / f"{number}.yaml"
        path.write_bytes(content)
        assert read_settings(str(path)).is_err()
    assert read_settings(str(tmp_path / "missing.yaml")).is_err()


def run(*arguments):
    command = [sys.executable, "-m", "marjoramford", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_check_exits_2_on_errors_without_a_traceback(tmp_path):
    assert run("check", write(tmp_path)).returncode == 0
    bad = run("check", write(tmp_path, data_port=0))
    assert bad.returncode == 2
    assert "data_port" in bad.stderr
    assert "Traceback" not in bad.stderr


def test_a_mistyped_flag_starts_no_command(tmp_path):
    result = run("demo", "--depolyment=heritage")
    assert result.returncode == 2
    assert "broken flows" not in result.stdout
