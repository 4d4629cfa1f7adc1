"""The command line: one method per command.

Exit status: 0 success; 1 an operation failed or a guarantee was violated; 2 invalid usage or
settings.
"""

import asyncio
import json
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import msgspec
from result import Err, Ok

from .deferrals import deferred
from .evaluations.benches import Bench, compare
from .evaluations.experiments import Experiment, ExperimentPlan
from .evaluations.packet_experiments import PacketExperiment, PacketPlan
from .evaluations.tables import render_demo, render_packet_demo, render_zones
from .opaque_flows.flow_settings import read_packet_settings
from .shared.addresses import Address
from .shared.logs import configure_logging
from .standins.commands import StandinCommands
from .standins.demos import Demo
from .standins.deployments import DEPLOYMENTS, Deployment
from .standins.faults import FAULT_SETS
from .standins.packet_faults import PACKET_FAULT_SETS
from .standins.packet_worlds import PacketWorldSettings
from .token_flows.daemons import EntryVmDaemon
from .token_flows.settings import EntryVmSettings, read_settings

EXIT_FAILED = 1
EXIT_USAGE = 2
HTTP_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.1
DEMO_PACKET_SECONDS = 60.0


class Commands:
    """Marjoramford: a layer-4 load balancer that keeps established flows intact."""

    def __init__(self) -> None:
        self.standin = StandinCommands()

    @deferred
    def entry(self, settings: str) -> None:
        """Runs an entry VM until its planned stop (SIGTERM) is complete.

        Args:
            settings: path of the YAML settings file.
        """
        checked = _read_settings(settings)
        configure_logging(checked.log.style, checked.log.level)
        asyncio.run(_run_entry_vm(checked))

    @deferred
    def check(self, settings: str) -> None:
        """Validates a settings file and reports every error in it.

        Args:
            settings: path of the YAML settings file.
        """
        checked = _read_settings(settings)
        print(f"{settings}: entry VM {checked.name} in {checked.zone}: settings are valid")

    @deferred
    def check_packets(self, settings: str) -> None:
        """Validates a settings file of an entry VM for opaque flows.

        Args:
            settings: path of the JSON settings file.
        """
        match read_packet_settings(settings):
            case Ok(checked):
                print(f"{settings}: entry VM {checked.name} in {checked.zone}: settings are valid")
            case Err(error):
                print(error, file=sys.stderr)
                sys.exit(EXIT_USAGE)

    @deferred
    def dump(self, at: str) -> None:
        """Prints the state of an entry VM as JSON.

        Args:
            at: HOST:PORT of its control server.
        """
        print(json.dumps(_get_json(at, "/v1/state"), indent=2))

    @deferred
    def zones(self, at: str) -> None:
        """Prints the zones known to an entry VM for opaque flows and which of them are drained.

        Args:
            at: HOST:PORT of its control server.
        """
        state = _get_json(at, "/v1/state")
        if "drained_zones" not in state:
            _exit_failed(f"the entry VM at {at} knows no drains of zones")
        print(render_zones(state))

    @deferred
    def drain(self, at: str) -> None:
        """Starts the planned stop of an entry VM.

        Args:
            at: HOST:PORT of its control server.
        """
        print(_send_request(at, "/v1/drain", "POST").decode().strip())

    @deferred
    def catalogue(self, at: str) -> None:
        """Prints the catalogue that is in force on an entry VM.

        Args:
            at: HOST:PORT of its control server.
        """
        view = _get_json(at, "/v1/catalogue")
        print(f"revision {view['through']}")
        for entry in sorted(view["entries"], key=lambda entry: entry["name"]):
            state = "retired" if entry["retired"] else entry["service_class"]
            limits = f"connections {entry['max_connections']}, load {entry['max_load']}"
            print(f"{entry['name']:24} {state:10} {limits}, {entry['owner']}")

    @deferred
    def converged(self, revision: int, at: str, seconds: float = 18.0) -> None:
        """Waits until a catalogue revision is in force on every given entry VM.

        Args:
            revision: the catalogue revision to wait for.
            at: HOST:PORT of the control servers, separated by commas.
            seconds: how long to wait before failing, in seconds.
        """
        deadline = time.monotonic() + seconds
        addresses = list(at) if isinstance(at, (tuple, list)) else at.split(",")
        while True:
            behind = {
                address: current
                for address in addresses
                if (current := _catalogue_revision(address)) < revision
            }
            if not behind:
                print(f"revision {revision} is in force on {len(addresses)} entry VMs")
                return
            if time.monotonic() >= deadline:
                _exit_failed(f"not in force on all entry VMs; revisions behind: {behind}")
            time.sleep(POLL_INTERVAL_SECONDS)

    @deferred
    def demo(self, deployment: str = "heritage", seconds: float = 10.0, seed: int = 1) -> None:
        """Runs all daemons and stand-ins in this process, with planned changes and a failure.

        While callers send requests, one entry VM and one backend server are drained, the class of
        a catalogue entry changes, and one entry VM is killed. Then opaque flows go through a
        virtual minute of changes and failures on the emulated platform. Exits 1 if a guarantee was
        violated.

        Args:
            deployment: heritage or grievance.
            seconds: how long traffic is offered, in seconds.
            seed: seed of the traffic and of random choices.
        """
        configure_logging("plain", "error")
        report = asyncio.run(Demo(_find_deployment(deployment), seed, float(seconds)).run())
        print(render_demo(deployment, report))
        plan = PacketPlan(_find_deployment(deployment), seed, DEMO_PACKET_SECONDS, "all")
        measures = PacketExperiment(plan).run()
        print(render_packet_demo(measures))
        if not (report.promises_kept and measures.promises_kept):
            sys.exit(EXIT_FAILED)

    @deferred
    def experiment(
        self,
        deployment: str = "heritage",
        seed: int = 1,
        seconds: float = 60.0,
        faults: str = "all",
        load: float = 0.6,
        runs: int = 1,
        opaque: bool = False,
        warmup_seconds: float = 0.0,
        warmup_per_s: float = 0.0,
    ) -> None:
        """Runs balancers with simulated peers under a virtual clock and prints measures as JSON.

        Prints one line per run. Exits 1, with the seeds on standard error, if a guarantee was
        violated.

        Args:
            deployment: heritage or grievance.
            seed: seed of the first run; each further run uses the next seed.
            seconds: duration of traffic in virtual seconds.
            faults: none, planned, unplanned or all; with `opaque` also zones or all-and-zones.
            load: offered load as a share of the capacity of the slots.
            runs: number of runs.
            opaque: simulate opaque flows on the emulated platform instead of decoded requests.
            warmup_seconds: with `opaque`, how long servers are cold after a start.
            warmup_per_s: with `opaque`, the operator's limit for cold servers; 0 for none.
        """
        fault_sets = PACKET_FAULT_SETS if opaque else FAULT_SETS
        if faults not in fault_sets:
            print(f"faults: expected one of {', '.join(fault_sets)}, got {faults}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        settings = PacketWorldSettings(
            warmup_seconds=float(warmup_seconds), warmup_per_s=float(warmup_per_s)
        )
        configure_logging("plain", "error")
        failed_seeds = []
        for run_seed in range(seed, seed + runs):
            options = (_find_deployment(deployment), run_seed, float(seconds), faults, float(load))
            if opaque:
                measures = PacketExperiment(PacketPlan(*options), settings).run()
            else:
                measures = Experiment(ExperimentPlan(*options)).run()
            print(msgspec.json.encode(measures).decode())
            if not measures.promises_kept:
                failed_seeds.append(run_seed)
        if failed_seeds:
            _exit_failed(f"a guarantee was violated with seeds {failed_seeds}")

    @deferred
    def bench(self, quick: bool = False, against: str = "", output: str = "") -> None:
        """Measures speed, memory and control cost, and prints the results as JSON.

        Args:
            quick: fewer rounds and smaller sizes, to finish in under a minute.
            against: file with the results of an earlier run to compare with.
            output: file to write the results to.
        """
        configure_logging("plain", "error")
        report = Bench(quick).run()
        text = msgspec.json.format(msgspec.json.encode(report)).decode()
        print(text)
        if output:
            Path(output).write_text(text + "\n", encoding="utf-8")
        if against:
            print(json.dumps({"ratio to earlier": compare(report, Path(against))}, indent=2))


async def _run_entry_vm(settings: EntryVmSettings) -> None:
    daemon = EntryVmDaemon(settings)
    daemon.install_signal_handlers()
    await daemon.run()


def _read_settings(path: str) -> EntryVmSettings:
    match read_settings(str(path)):
        case Ok(settings):
            return settings
        case Err(errors):
            for error in errors:
                print(error, file=sys.stderr)
            sys.exit(EXIT_USAGE)


def _find_deployment(name: str) -> Deployment:
    if name not in DEPLOYMENTS:
        print(f"deployment: expected one of {', '.join(DEPLOYMENTS)}, got {name}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return DEPLOYMENTS[name]


def _get_json(at: str, path: str):
    return json.loads(_send_request(at, path, "GET"))


def _send_request(at: str, path: str, method: str) -> bytes:
    try:
        address = Address.parse(str(at))
    except ValueError as error:
        print(f"at: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    request = urllib.request.Request(f"http://{address}{path}", method=method)
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_SECONDS) as response:
            return response.read()
    except (urllib.error.URLError, OSError) as error:
        _exit_failed(f"{method} {path} at {address}: {error}")


def _catalogue_revision(at: str) -> int:
    try:
        return _get_json(at, "/v1/state")["catalogue_through"]
    except SystemExit as stop:
        if stop.code == EXIT_USAGE:
            raise
        return -1


def _exit_failed(message: str):
    print(message, file=sys.stderr)
    sys.exit(EXIT_FAILED)
