"""Demo: all daemons and stand-ins in one process, with planned changes and a crash."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec
from aiohttp import web

from ..shared.addresses import Address
from ..shared.records import VmRecord
from ..token_flows.daemons import EntryVmDaemon
from ..token_flows.events import DrainRequested
from ..token_flows.settings import EntryVmSettings
from .caller_sessions import CallerSession
from .callers import CallerStandin
from .deployments import Deployment, Traffic
from .fabrics import FabricStandin, NetworkConditions
from .platform_models import PlatformModel
from .platforms import PlatformStandin
from .ports import HOST
from .server_models import Ledger, ServerModel
from .servers import ServerStandin
from .sites import plan_site
from .tallies import KindTally, PromiseTally, tally_requests

UPLOAD_PIECES = 300
REQUEST_DEADLINE_SECONDS = 4.0
START_TIMEOUT_SECONDS = 30.0


def make_server(record: VmRecord, deployment: Deployment, random: Random, ledger: Ledger):
    """Returns the stand-in of a backend server of a deployment."""
    work = {t.kind: t.work_seconds for t in deployment.traffic if t.shape == "request"}
    model = ServerModel(
        record.name, record.incarnation, record.service, record.slots, random, ledger, work
    )
    return ServerStandin(model, record.host, record.data_port, record.http_port)


@dataclass(slots=True)
class DemoReport:
    """Results of a demo run.

    Attributes:
        broken_flows: number of streams that stalled or restarted.
        misdirected: requests and datagrams that servers refused as meant for another.
        violations: violated invariants of the entry VMs that were not killed.
        imbalance: busiest server over the mean, by service.
        spread_seconds: time until a catalogue change was in force on every entry VM; the wait for
            it ends after 5 s.
        reopened: number of reopened flows by cause.
        events: changes that were made.
    """

    kinds: dict[str, KindTally] = field(default_factory=dict)
    promises: PromiseTally = field(default_factory=PromiseTally)
    broken_flows: int = 0
    misdirected: int = 0
    violations: int = 0
    imbalance: dict[str, float] = field(default_factory=dict)
    spread_seconds: float = float("nan")
    reopened: Counter[str] = field(default_factory=Counter)
    events: list[str] = field(default_factory=list)

    @property
    def promises_kept(self) -> bool:
        """Whether no guarantee was violated."""
        faults = (
            self.broken_flows,
            self.promises.foreign,
            self.promises.ran_twice,
            self.promises.false_not_run,
            self.misdirected,
            self.violations,
        )
        return not any(faults)


class Demo:
    """One run of a deployment, with all daemons and stand-ins as tasks of this process."""

    def __init__(self, deployment: Deployment, seed: int, seconds: float):
        self.deployment = deployment
        self.report = DemoReport()
        self._seconds = seconds
        self._random = Random(seed)
        self._site = plan_site(deployment)
        self._ledger = Ledger()
        self._platform = PlatformStandin(PlatformModel())
        self._daemons: dict[str, EntryVmDaemon] = {}
        self._daemon_tasks: dict[str, asyncio.Task] = {}
        self._servers: dict[str, ServerStandin] = {}
        self._callers: list[tuple[Traffic, CallerStandin]] = []
        self._tasks: list[asyncio.Task] = []
        self._runner: web.AppRunner | None = None

    async def run(self) -> DemoReport:
        """Starts all daemons and stand-ins, offers traffic, makes changes, and reports."""
        fabric = FabricStandin(
            self._spray_targets, Random(self._random.random()), self._network_conditions()
        )
        try:
            await self._start_platform()
            await self._start_servers()
            self._start_entry_vms()
            await fabric.open(self._site.fabric)
            await self._wait_until_ready()
            await self._start_callers()
            await asyncio.gather(self._offer_requests(), self._make_changes())
            await self._settle()
            self._fill_report()
        finally:
            fabric.close()
            await self._stop()
        return self.report

    def _network_conditions(self) -> NetworkConditions:
        latency = self.deployment.caller_latency_seconds
        return NetworkConditions(
            duplication=0.02, min_delay_seconds=0.8 * latency, max_delay_seconds=1.2 * latency
        )

    def _spray_targets(self) -> list[Address]:
        live = []
        for vm in self._site.entry_vms:
            listed = self._platform.model.vms.get(vm.name)
            if listed is not None and listed.state == "live":
                live.append(Address(vm.host, vm.data_port))
        return live

    async def _start_platform(self) -> None:
        self._site.publish(self._platform.model)
        self._runner = web.AppRunner(
            self._platform.make_app(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, self._site.platform_port).start()

    async def _start_servers(self) -> None:
        for record in self._site.servers:
            random = Random(self._random.random())
            server = make_server(record, self.deployment, random, self._ledger)
            await server.start()
            self._servers[record.name] = server

    def _start_entry_vms(self) -> None:
        for vm in self._site.entry_vms:
            settings = EntryVmSettings.model_validate(self._site.entry_vm_content(vm))
            daemon = EntryVmDaemon(settings, seed=self._random.getrandbits(32), strict=True)
            self._daemons[vm.name] = daemon
            self._daemon_tasks[vm.name] = asyncio.create_task(daemon.run())

    async def _wait_until_ready(self) -> None:
        model = self._platform.model
        for daemon in self._daemons.values():
            node = daemon.core.balancer.node
            ready = await _wait_until(
                lambda node=node: node.catalogue.through == model.catalogue.through
                and node.vm_list.through == model.vms.through,
                START_TIMEOUT_SECONDS,
            )
            if not ready:
                raise TimeoutError(
                    f"entry VM {node.own.name} did not read the catalogue and VM list of the"
                    " platform before the start timeout"
                )

    async def _start_callers(self) -> None:
        for traffic in self.deployment.traffic:
            count = 12 if traffic.shape == "request" else max(4, int(20 * traffic.share))
            for number in range(count):
                await self._start_caller(traffic, number)

    async def _start_caller(self, traffic: Traffic, number: int) -> None:
        name = f"{traffic.kind}-{number}"
        session = CallerSession(traffic.service, Random(self._random.random()), name)
        caller = CallerStandin(session, self._site.fabric)
        await caller.start()
        now = time.time()
        if traffic.shape == "board":
            session.follow_board(now)
        elif traffic.shape == "upload":
            session.start_upload(UPLOAD_PIECES, now)
        self._callers.append((traffic, caller))
        self._tasks.append(asyncio.create_task(caller.run()))

    async def _offer_requests(self) -> None:
        """Offers requests of all kinds at a load of 60% of the slots."""
        end_at = time.time() + self._seconds
        kinds = [t for t in self.deployment.traffic if t.shape == "request"]
        await asyncio.gather(*(self._offer_kind(traffic, end_at) for traffic in kinds))

    async def _offer_kind(self, traffic: Traffic, end_at: float) -> None:
        service = self.deployment.service(traffic.service)
        request_traffic = [t for t in self.deployment.traffic if t.shape == "request"]
        service_share = sum(t.share for t in request_traffic if t.service == traffic.service)
        capacity = service.servers * service.slots / traffic.work_seconds
        rate = 0.6 * capacity * traffic.share / service_share
        sessions = [caller.session for t, caller in self._callers if t is traffic]
        while time.time() < end_at:
            await asyncio.sleep(self._random.expovariate(rate))
            now = time.time()
            self._random.choice(sessions).request(traffic.kind, now + REQUEST_DEADLINE_SECONDS, now)

    async def _make_changes(self) -> None:
        """Changes the class of an entry, drains an entry VM and a server, kills an entry VM."""
        step_seconds = self._seconds / 5
        await asyncio.sleep(step_seconds)
        await self._change_service_class()
        await asyncio.sleep(step_seconds / 2)
        await self._stop_entry_vm(self._site.entry_vms[0].name)
        await asyncio.sleep(step_seconds / 2)
        await self._stop_server(self._site.servers[0].name)
        await asyncio.sleep(step_seconds)
        await self._kill_entry_vm(self._site.entry_vms[1].name)

    async def _change_service_class(self) -> None:
        entry = self._platform.model.catalogue.get(self.deployment.services[0].name)
        assert entry is not None
        started_at = time.time()
        changed = msgspec.structs.replace(entry, service_class="standard")
        await self._platform.put_entry(changed)
        through = self._platform.model.catalogue.through
        nodes = [daemon.core.balancer.node for daemon in self._daemons.values()]
        await _wait_until(lambda: all(node.catalogue.through >= through for node in nodes), 5.0)
        self.report.spread_seconds = time.time() - started_at
        self.report.events.append(f"reclassed {entry.name}")

    async def _stop_entry_vm(self, name: str) -> None:
        await self._platform.set_vm_state(name, "leaving")
        core = self._daemons[name].core
        core.submit(DrainRequested(core.clock() + 8.0))
        self.report.events.append(f"planned stop of {name}")

    async def _stop_server(self, name: str) -> None:
        await self._platform.set_vm_state(name, "leaving")
        server = self._servers[name]
        server.model.drain(time.time())
        self._tasks.append(asyncio.create_task(self._stop_when_drained(name)))
        self.report.events.append(f"planned stop of {name}")

    async def _stop_when_drained(self, name: str) -> None:
        server = self._servers[name]
        if await server.wait_until_drained(time.time() + 30.0):
            await self._platform.set_vm_state(name, "gone")
            await server.stop()

    async def _kill_entry_vm(self, name: str) -> None:
        self._daemon_tasks[name].cancel()
        await asyncio.wait([self._daemon_tasks[name]])
        self._daemons.pop(name)
        self.report.events.append(f"killed {name}")
        await asyncio.sleep(1.0)
        await self._platform.set_vm_state(name, "gone")

    async def _settle(self) -> None:
        """Waits until all requests have an outcome, and then until all uploads are whole.

        Each of the two waits ends after 10 s at the latest.
        """
        sessions = [caller.session for _, caller in self._callers]
        await _wait_until(lambda: all(session.pending_count == 0 for session in sessions), 10.0)
        uploads = [session.upload for session in sessions if session.upload is not None]
        await _wait_until(lambda: all(upload.whole for upload in uploads), 10.0)

    def _fill_report(self) -> None:
        now = time.time()
        for traffic, caller in self._callers:
            tally = self.report.kinds.setdefault(traffic.kind, KindTally())
            self._tally_session(traffic, caller.session, tally, now)
        self.report.misdirected = self._ledger.misdirected
        self.report.violations = sum(
            sum(daemon.core.balancer.node.invariants.violations.values())
            for daemon in self._daemons.values()
        )
        self.report.imbalance = imbalance_by_service(
            [server.model for server in self._servers.values()], now
        )

    def _tally_session(
        self, traffic: Traffic, session: CallerSession, tally: KindTally, now: float
    ) -> None:
        report = self.report
        idempotent = self.deployment.is_idempotent(traffic)
        tally_requests(session, self._ledger, idempotent, tally, report.promises)
        report.reopened.update(session.reopened)
        if traffic.shape != "request":
            broken = session.was_broken(now)
            tally.offered += 1
            tally.whole += not broken and (session.upload is None or session.upload.whole)
            report.broken_flows += broken

    async def _stop(self) -> None:
        for _, caller in self._callers:
            caller.close()
        for task in (*self._tasks, *self._daemon_tasks.values()):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._daemon_tasks.values(), return_exceptions=True)
        for server in self._servers.values():
            await server.stop()
        if self._runner is not None:
            self._platform.down = True
            await self._runner.cleanup()


def imbalance_by_service(models: list[ServerModel], now: float) -> dict[str, float]:
    """Returns the busy time of the busiest server over the mean, by service.

    Draining servers are not counted.
    """
    by_service: dict[str, list[float]] = {}
    for model in models:
        if model.draining_since is None:
            by_service.setdefault(model.service, []).append(model.busy_seconds(now))
    return {
        service: max(busy) * len(busy) / sum(busy) if sum(busy) else 1.0
        for service, busy in by_service.items()
    }


async def _wait_until(condition, seconds: float) -> bool:
    deadline = time.time() + seconds
    while time.time() < deadline:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False
