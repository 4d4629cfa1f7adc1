"""Runs the daemons and stand-ins of a site as separate processes."""

import json
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

from marjoramford.standins.sites import SITE_FILE, Site

WAIT_SECONDS = 60.0


class Fleet:
    """The processes of one site. Stops only the processes that it started."""

    def __init__(self, site: Site, directory: Path):
        self.site = site
        self._directory = directory
        self._processes: dict[str, subprocess.Popen] = {}
        site.write(directory)

    def start_all(self) -> None:
        """Starts all processes and waits until every entry VM has the catalogue and VM list."""
        path = str(self._directory / SITE_FILE)
        self.start("platform", "standin", "platform", path)
        for record in self.site.servers:
            self.start(record.name, "standin", "server", path, record.name)
        for vm in self.site.entry_vms:
            self.start_entry_vm(vm.name)
        self.start("fabric", "standin", "fabric", path)
        self.wait_until(self.ready)

    def start_entry_vm(self, name: str) -> None:
        self.start(name, "entry", str(self._directory / f"{name}.yaml"))

    def start(self, name: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "marjoramford", *arguments]
        log = (self._directory / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def call(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs one command of the program until it exits."""
        command = [sys.executable, "-m", "marjoramford", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=WAIT_SECONDS)

    def caller(self, service: str, kind: str, count: int = 1) -> subprocess.Popen:
        path = str(self._directory / SITE_FILE)
        command = [sys.executable, "-m", "marjoramford", "standin", "caller", path, service, kind]
        command += [f"--count={count}", "--seconds=40"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        return self._processes[name].wait(WAIT_SECONDS)

    def log(self, name: str) -> str:
        return (self._directory / f"{name}.log").read_text()

    def state(self, name: str) -> dict:
        vm = next(vm for vm in self.site.entry_vms if vm.name == name)
        return fetch(f"http://{vm.host}:{vm.http_port}/v1/state")

    def operate(self, method: str, path: str, body: bytes | None = None) -> None:
        url = f"{self.site.platform}/operator/{path}"
        request = urllib.request.Request(url, data=body, method=method)
        urllib.request.urlopen(request, timeout=WAIT_SECONDS).close()

    def ready(self) -> bool:
        services = len(self.site.deployment.services)
        vms = len(self.site.entry_vms) + len(self.site.servers)
        states = [self.state(vm.name) for vm in self.site.entry_vms]
        return all(
            state["catalogue_through"] == services and state["vms_through"] == vms
            for state in states
        )

    def wait_until(self, condition) -> None:
        """Waits until a condition holds; an `OSError`, such as a refused connection, is retried."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError("condition did not hold within the time limit")

    def stop_all(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(WAIT_SECONDS)


def fetch(url: str) -> dict:
    with urllib.request.urlopen(url, timeout=WAIT_SECONDS) as response:
        return json.load(response)
