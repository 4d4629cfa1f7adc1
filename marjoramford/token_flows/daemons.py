"""The entry VM daemon: connects the I/O tasks to the decision core and runs them."""

import asyncio
import logging
import signal
import time
from collections.abc import Coroutine
from random import Random

from aiohttp import web

from ..shared.addresses import Address
from ..shared.logs import LogEvent, log_event
from ..shared.tasks import run_guarded
from . import signals
from .balancers import Balancer, Identity
from .controls import ControlServer
from .cores import Core
from .datagrams import open_sockets
from .dispatchers import Dispatcher
from .events import DrainRequested
from .keys import KeyRing
from .peers import PeerClient
from .probers import Prober
from .settings import EntryVmSettings
from .watchers import Watcher

logger = logging.getLogger(__name__)


class EntryVmDaemon:
    """The process of one entry VM.

    Args:
        settings: the validated settings file.
        seed: seed of random choices; None for an unpredictable one.
        strict: whether a violated invariant raises instead of being counted and logged.
    """

    def __init__(self, settings: EntryVmSettings, seed: int | None = None, strict: bool = False):
        self._settings = settings
        self._immediate_stop = asyncio.Event()
        self._keys = KeyRing(
            {key.id: bytes.fromhex(key.secret) for key in settings.keys}, settings.current_key
        )
        started_at = time.time()
        balancer = Balancer(
            _make_identity(settings, started_at),
            settings,
            self._keys,
            Random(seed),
            started_at,
            strict,
            tuple(Address.parse(seed) for seed in settings.seeds),
        )
        self.core = Core(balancer)

    async def run(self) -> None:
        """Serves until a planned stop is complete or an immediate stop is requested.

        A failed task requests an immediate stop, and so does a stop request during a planned stop.
        """
        settings = self._settings
        await open_sockets(
            self.core,
            Address(settings.host, settings.data_port),
            Address(settings.host, settings.inner_port),
        )
        control = ControlServer(self.core, self._keys, settings.times)
        runner = web.AppRunner(control.make_app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, settings.host, settings.http_port).start()
        request_immediate_stop = self._immediate_stop.set
        tasks = [
            asyncio.create_task(run_guarded(job, request_immediate_stop))
            for job in self._make_jobs()
        ]
        log_event(logger, LogEvent.ENTRY_VM_STARTED, entry_vm=settings.name, zone=settings.zone)
        signals.started.send(self)
        try:
            await self._wait_for_stop()
        finally:
            for task in tasks:
                task.cancel()
            self.core.close_transports()
            await runner.cleanup()
            log_event(logger, LogEvent.ENTRY_VM_STOPPED, entry_vm=settings.name)
            signals.stopped.send(self)

    def install_signal_handlers(self) -> None:
        """Makes SIGTERM and SIGINT start a planned stop, or stop at once if one is in progress."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)

    def request_stop(self) -> None:
        """Starts a planned stop; stops immediately if one is already in progress."""
        if not self.core.balancer.is_draining:
            self.core.submit(DrainRequested(self.core.clock() + self._settings.times.drain))
            return
        balancer = self.core.balancer
        requests_cut = balancer.running_count + balancer.waiting_count
        flows = len(balancer.node.flows)
        log_event(logger, LogEvent.STOPPED_AT_ONCE, requests_cut=requests_cut, flows_left=flows)
        self._immediate_stop.set()

    def _make_jobs(self) -> list[Coroutine]:
        settings = self._settings
        times = settings.times
        return [
            self.core.run_timer(),
            Dispatcher(self.core).run(),
            PeerClient(self.core, self._keys, times.gossip_timeout).run(),
            Watcher(self.core, settings.platform, "catalogue", times).run(),
            Watcher(self.core, settings.platform, "vms", times).run(),
            Prober(self.core, settings).run(),
        ]

    async def _wait_for_stop(self) -> None:
        waits = [
            asyncio.create_task(self.core.drained.wait()),
            asyncio.create_task(self._immediate_stop.wait()),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()


def _make_identity(settings: EntryVmSettings, started_at: float) -> Identity:
    return Identity(
        settings.name,
        int(started_at * 1000),
        settings.zone,
        Address(settings.host, settings.inner_port),
        Address(settings.host, settings.http_port),
    )
