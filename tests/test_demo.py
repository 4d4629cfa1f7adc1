"""The demo command makes all its changes and keeps every guarantee in both deployments."""

import subprocess
import sys

import pytest

from marjoramford.standins.deployments import DEPLOYMENTS


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_demo_keeps_every_promise(deployment):
    command = [sys.executable, "-m", "marjoramford", "demo", f"--deployment={deployment}"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.count("every promise was kept") == 2
    for change in ("reclassed", "planned stop of entry-1", "planned stop of", "killed entry-2"):
        assert change in result.stdout
