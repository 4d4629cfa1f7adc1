"""The entry point on the platform, run as a real process that gets signals at any time."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from marjoramford.standins.ports import free_ports

WAIT_SECONDS = 60.0


@pytest.fixture
def entry_vm(tmp_path):
    """Starts an entry VM without a store; the process is killed after the test."""
    names = ("ready_address", "control_address", "packet_address", "platform")
    ports = zip(names, free_ports(len(names)), strict=True)
    settings = {name: f"127.0.0.1:{port}" for name, port in ports} | {
        "name": "front-1",
        "zone": "a",
        "stop": {"unready_seconds": 0.1, "quiet_seconds": 0.1},
    }
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(settings))
    environment = os.environ | {"MARJORAMFORD_BOOT": str(path)}
    command = [sys.executable, "-m", "marjoramford.platform"]
    process = subprocess.Popen(
        command, env=environment, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
    )
    process.url = f"http://{settings['ready_address']}/v1/ready"
    yield process
    if process.poll() is None:
        process.kill()
    process.wait(WAIT_SECONDS)
    process.stderr.close()


def serves(process):
    try:
        urllib.request.urlopen(process.url, timeout=WAIT_SECONDS).close()
    except urllib.error.HTTPError as answer:
        return answer.code == 503
    except OSError:
        return False
    return True


def handlers_installed(process):
    """Whether the program has installed its signal handlers.

    SIGHUP may already be ignored in the environment of the tests, so SIGTERM is checked too. It is
    ignored during the imports and caught afterwards; on a busy machine the first look may come
    late.
    """
    with open(f"/proc/{process.pid}/status") as status:
        masks = dict(line.split(":") for line in status if line.startswith("Sig"))
    caught, ignored = (int(masks[name], 16) for name in ("SigCgt", "SigIgn"))
    hangup_handled = (caught | ignored) & 1 << (signal.SIGHUP - 1)
    return bool(caught & 1 << (signal.SIGTERM - 1) and hangup_handled)


def loads_tls(process):
    with open(f"/proc/{process.pid}/maps") as maps:
        return "libssl" in maps.read()


def wait_until(condition):
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.002)


def test_sighup_during_the_start_does_not_end_the_process(entry_vm):
    """Regression from soak seed 203: SIGHUP during the imports ended the process."""
    wait_until(lambda: handlers_installed(entry_vm) or entry_vm.poll() is not None)
    while not serves(entry_vm):
        assert entry_vm.poll() is None
        entry_vm.send_signal(signal.SIGHUP)
        time.sleep(0.002)
    entry_vm.send_signal(signal.SIGTERM)
    assert entry_vm.wait(WAIT_SECONDS) == 0


@pytest.mark.parametrize("seconds", [number * 0.01 for number in range(0, 30, 2)])
def test_sigterm_during_the_start_ends_the_process_with_status_0(entry_vm, seconds):
    wait_until(lambda: handlers_installed(entry_vm) or entry_vm.poll() is not None)
    time.sleep(seconds)
    entry_vm.send_signal(signal.SIGTERM)
    assert entry_vm.wait(WAIT_SECONDS) == 0


def test_invalid_settings_are_reported_and_end_with_an_error(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text("{}")
    result = subprocess.run(
        [sys.executable, "-m", "marjoramford.platform"],
        env=os.environ | {"MARJORAMFORD_BOOT": str(path)},
        capture_output=True,
        text=True,
        timeout=WAIT_SECONDS,
    )
    assert result.returncode == 1
    assert "read settings" in result.stderr


def test_metrics_are_served(entry_vm):
    """Guards against a start that leaves out what the first scrape needs.

    TLS is hidden from the imports of a start, and `prometheus_client` imports `ssl`.
    """
    wait_until(lambda: serves(entry_vm))
    assert not loads_tls(entry_vm)
    url = entry_vm.url.replace("/v1/ready", "/metrics")
    with urllib.request.urlopen(url, timeout=WAIT_SECONDS) as response:
        assert "marjoramford_ready" in response.read().decode()
