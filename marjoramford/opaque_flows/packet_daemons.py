"""Wires up an entry VM for opaque flows: tasks, sockets, HTTP endpoints and graceful shutdown.

`PacketVm` is the daemon on the platform. `daemons.EntryVmDaemon` is the one that handles single
requests instead of opaque flows.
"""

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from random import Random
from typing import Annotated
from urllib.parse import parse_qsl, urlsplit

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.entry_vms import EntryVm
from ..shared.errors import StepError
from ..shared.logs import LogEvent, log_event
from ..shared.tasks import run_guarded
from .early_starts import EarlyStart
from .evidence_collectors import EvidenceCollector
from .evidence_exchanges import EvidenceExchange
from .flow_balancers import FlowBalancer
from .flow_settings import PacketVmSettings
from .http_messages import HttpRequest
from .http_services import HttpResponse, serve_http
from .load_exchanges import LoadExchange
from .packet_sockets import PacketSocket
from .packets import PacketCodec
from .peer_groups import PeerGroup
from .published_states import apply_state, decode_state
from .state_handovers import StateHandover
from .state_publishers import StatePublisher
from .state_readers import MemberExchange, PlatformReader, StateReader, merge_members

logger = logging.getLogger(__name__)

TICK_INTERVAL_SECONDS = 0.1
# Shortest pause between two checks whether a planned stop is complete.
MIN_DRAIN_PAUSE_SECONDS = 0.05
# Longest wait of a follower's request; below the HTTP server's idle timeout.
MAX_FOLLOWER_WAIT_SECONDS = 20.0


class _FollowerRequest(msgspec.Struct, frozen=True):
    """Query parameters of a follower's request for changes.

    Attributes:
        after: revision of the server list that the follower has.
        routes: version of the routes that the follower has.
        wait: how long to wait for a change, in seconds.
        compress: whether the follower decodes compressed states; those of older builds do not.
        era: era of `after`; None from followers of builds that know no eras.
        routes_era: era of `routes`; None as for `era`.
        evidence: version of the decisions on dead servers that the follower has; None if it uses
            none.
    """

    after: int
    routes: int
    wait: Annotated[float, Meta(ge=0)]
    compress: bool = False
    era: Annotated[int, Meta(ge=0)] | None = None
    routes_era: Annotated[int, Meta(ge=0)] | None = None
    evidence: Annotated[int, Meta(ge=0)] | None = None


class PacketVm:
    """One entry VM for opaque flows.

    Args:
        settings: settings of this entry VM.
        codec: translates datagrams.
        make_reader: returns the reader that loads the platform's state into a balancer.
        reload_settings: reads the settings file again; called on SIGHUP. Only `seeds` and `stop`
            are applied; other settings need a restart.
        early: what already runs; None if nothing does.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        codec: PacketCodec,
        make_reader: Callable[[PacketVmSettings, FlowBalancer], PlatformReader],
        reload_settings: Callable[[], Result[PacketVmSettings, StepError]],
        early: EarlyStart | None = None,
    ):
        self._settings = settings
        self._codec = codec
        self._reload_settings = reload_settings
        self._early = early
        if early is not None:
            self.balancer = early.balancer
        else:
            self.balancer = FlowBalancer(settings, Random(), time.monotonic())
        collector = _make_collector(settings)
        self._publisher = StatePublisher(self.balancer, collector)
        self._group = PeerGroup(
            _make_own_entry_vm(settings),
            [Address.parse(seed) for seed in settings.seeds],
            settings.peers,
            Random(),
        )
        self._exchange = MemberExchange(settings, self._group)
        self._evidence_exchange = None
        if collector is not None:
            self._evidence_exchange = EvidenceExchange(
                settings, self.balancer, self._group, collector, self._publisher
            )
        self._reader = StateReader(
            settings,
            self.balancer,
            self._group,
            make_reader(settings, self.balancer),
            self._publisher,
        )
        self._handover = StateHandover(settings, self.balancer, self._group, self._publisher)
        self._stopping = asyncio.Event()
        self._failed = asyncio.Event()

    async def run(self) -> bool:
        """Serves until the graceful shutdown is complete; returns whether no task failed."""
        settings = self._settings
        self._install_signal_handlers()
        packets = self._take_over_packets()
        asyncio.get_running_loop().add_reader(packets.fileno(), packets.receive)
        servers = [
            await serve_http(Address.parse(settings.ready_address), self._handle_request),
            await serve_http(Address.parse(settings.control_address), self._handle_request),
        ]
        jobs = [self._reader.run(), self._exchange.run(), self._run_timer(packets)]
        if settings.load_port:
            jobs.append(LoadExchange(settings, self.balancer, self._group).run())
        if self._evidence_exchange is not None:
            jobs.append(self._evidence_exchange.run())
        tasks = [asyncio.create_task(run_guarded(job, self._stop_after_failure)) for job in jobs]
        log_event(
            logger,
            LogEvent.ENTRY_VM_STARTED,
            entry_vm=settings.name,
            zone=settings.zone,
        )
        try:
            await self._stopping.wait()
            await self._drain(packets)
        finally:
            for task in tasks:
                task.cancel()
            for server in servers:
                server.close()
            asyncio.get_running_loop().remove_reader(packets.fileno())
            packets.close()
            log_event(logger, LogEvent.ENTRY_VM_STOPPED, entry_vm=settings.name)
        return not self._failed.is_set()

    def _take_over_packets(self) -> PacketSocket:
        """Returns the open socket of the early start and handles what that left, or opens one."""
        early = self._early
        if early is None:
            address = Address.parse(self._settings.packet_address)
            return PacketSocket(self.balancer, self._codec, address)
        if early.reload_request.is_pending:
            self._reload()
        if early.error is not None:
            self._reader.record_platform_failure(early.error)
        return early.packets

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        match self._reload_settings():
            case Ok(settings):
                self._settings = msgspec.structs.replace(
                    self._settings, seeds=settings.seeds, stop=settings.stop
                )
                self._group.replace_seeds([Address.parse(seed) for seed in settings.seeds])
                self._log_reload(settings)
            case Err(error):
                log_event(logger, LogEvent.SETTINGS_RELOADED, applied=False, error=error)

    def _log_reload(self, settings: PacketVmSettings) -> None:
        unapplied = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        if not unapplied:
            log_event(logger, LogEvent.SETTINGS_RELOADED, applied=True)
            return
        log_event(
            logger,
            LogEvent.SETTINGS_RELOADED,
            applied=False,
            needs_restart=" ".join(unapplied),
        )

    async def _drain(self, packets: PacketSocket) -> None:
        """Drains connections: reports not ready and keeps forwarding until no packets arrive.

        While the platform does not answer, hands the state over to another entry VM before the end.
        Ends at a deadline within the grace period even if packets still arrive.
        """
        stop = self._settings.stop
        started_at = time.monotonic()
        # The rest of the grace period is for closing down before the platform kills the process.
        deadline = started_at + 0.9 * stop.grace_seconds
        log_event(logger, LogEvent.DRAIN_STARTED, flows=len(self.balancer.flows))
        self._group.entry_vms.own.state = "leaving"
        handing_over = asyncio.create_task(self._handover.run())
        await self._exchange.exchange_once()
        await asyncio.sleep(stop.unready_seconds)
        while time.monotonic() < deadline and not self._failed.is_set():
            quiet = time.monotonic() - packets.last_packet_at
            if quiet >= stop.quiet_seconds and not self._handover.is_pending:
                break
            await asyncio.sleep(max(MIN_DRAIN_PAUSE_SECONDS, stop.quiet_seconds - quiet))
        handing_over.cancel()
        seconds = round(time.monotonic() - started_at, 2)
        log_event(logger, LogEvent.DRAIN_FINISHED, seconds=seconds)

    async def _run_timer(self, packets: PacketSocket) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self.balancer.admission.entry_vm_count = len(self._group.entry_vms.active()) + 1
            now = time.monotonic()
            self.update_members(now)
            if self.balancer.evidence.is_shared:
                others = self._group.entry_vms.reachable()
                vms = frozenset((vm.name, vm.incarnation) for vm in others)
                self.balancer.evidence.update_entry_vms(vms, now)
            packets.run_tick(now)

    def update_members(self, now: float) -> None:
        """Passes the members of the zone to the balancer, once any other entry VM is known."""
        members = self._group.zone_members()
        if members is not None:
            self.balancer.admission.cold_starts.update_members(members.present, members.lost, now)

    def _stop_after_failure(self) -> None:
        self._failed.set()
        self._stopping.set()

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        try:
            parts = urlsplit(request.target)
        except ValueError:
            return HttpResponse(400)
        match parts.path:
            case "/v1/ready":
                ready = self.balancer.ready and not self._stopping.is_set()
                return HttpResponse(200 if ready else 503, b"{}")
            case "/v1/published" if request.method == "POST":
                return HttpResponse(self._accept_state(request.body))
            case "/v1/published":
                return await self._handle_follower_request(dict(parse_qsl(parts.query)))
            case "/v1/members" if request.method == "POST":
                if not merge_members(self._group, request.body):
                    return HttpResponse(400)
                return HttpResponse(200, msgspec.json.encode(self._group.select_updates()))
            case "/v1/evidence" if request.method == "POST" and self._evidence_exchange:
                accepted = self._evidence_exchange.handle(request.body)
                return HttpResponse(200 if accepted else 400)
            case "/metrics":
                # Imported on first use: most processes are never scraped.
                from .flow_metrics import render_flow_metrics

                text = render_flow_metrics(self.balancer)
                return HttpResponse(200, text, "text/plain; version=0.0.4")
            case "/v1/state":
                from .flow_dumps import dump_state

                return HttpResponse(200, dump_state(self.balancer, self._group))
        return HttpResponse(404)

    def _accept_state(self, body: bytes) -> int:
        """Applies the state that a stopping entry VM offers, if this one has none.

        Returns:
            An HTTP status: 200 if this entry VM has a state now, 409 if the offered one cannot be
            used, 400 if it is malformed.
        """
        if self.balancer.ready:
            return 200
        match decode_state(body):
            case Ok(state):
                apply_state(state, self.balancer, time.monotonic())
                if not self.balancer.ready:
                    return 409
                self._publisher.notify()
                log_event(logger, LogEvent.STATE_ACCEPTED, revision=state.revision, age=state.age)
                return 200
            case Err(reason):
                log_event(logger, LogEvent.CONTROL_BODY_REJECTED, reason=reason)
        return 400

    async def _handle_follower_request(self, query: dict[str, str]) -> HttpResponse:
        try:
            follower_request = msgspec.convert(query, type=_FollowerRequest, strict=False)
        except msgspec.ValidationError:
            return HttpResponse(400)
        wait = min(follower_request.wait, MAX_FOLLOWER_WAIT_SECONDS)
        body = await self._publisher.answer(
            follower_request.after,
            follower_request.routes,
            wait,
            follower_request.compress,
            follower_request.era,
            follower_request.routes_era,
            follower_request.evidence,
        )
        return HttpResponse(200, body)


def _make_own_entry_vm(settings: PacketVmSettings) -> EntryVm:
    """Returns the member record of this entry VM; its incarnation is the start time in ms."""
    address = Address.parse(settings.control_address)
    return EntryVm(
        settings.name,
        int(time.time() * 1000),
        settings.zone,
        address,
        address,
        link_mbps=settings.link_mbps,
    )


def _make_collector(settings: PacketVmSettings) -> EvidenceCollector | None:
    """Returns the collector of evidence; None if none is shared.

    Its versions begin with the time of the start in nanoseconds, so that they differ from those of
    other readers, also of those that start at nearly the same time.
    """
    if not settings.shared_evidence.enabled:
        return None
    stall_seconds = settings.silence.stall_seconds
    first_version = time.time_ns()
    now = time.monotonic()
    return EvidenceCollector(settings.shared_evidence, stall_seconds, first_version, now)
