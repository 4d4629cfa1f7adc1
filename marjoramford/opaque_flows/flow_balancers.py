"""The decision core for opaque flows: maps packet headers and published state to packet actions.

The core does no I/O: callers pass in the time, and all randomness comes from the given generator,
so that every decision can be replayed. Times are seconds on the monotonic clock.

`FlowBalancer` is the core of `packet_daemons.PacketVm`, the entry VM on the platform. Entry VMs
that handle single requests instead of opaque flows (`daemons.EntryVmDaemon`) use
`balancers.Balancer`.
"""

import logging
from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec

from ..shared.backend_servers import BackendServer
from ..shared.logs import LogEvent, log_event
from .cold_starts import ColdStartControl
from .failure_detectors import (
    LINK_PROOF_SECONDS,
    QUICK_ANSWER_SECONDS,
    ListStatus,
    LossDetector,
    OwnLinkMonitor,
    is_dead,
    is_idle_flow_dead,
)
from .flow_labels import derive_label
from .flow_logs import log_dead_server, log_overload, log_placement, log_silence
from .flow_settings import PacketVmSettings
from .latencies import LatencyHistogram
from .overload_controls import OverloadControl, are_slots_taken
from .packet_flows import PacketFlow, PacketFlowTable
from .packets import DropPacket, FlowKey, Forward, PacketAction, PacketHeader, ResetFlow
from .peer_loads import LoadReport, PeerLoads
from .placements import choose_server, own_requests
from .routes import Route, RouteChanges, RouteHistory, RouteTable
from .server_lists import ServerList
from .shared_evidence import LocalSilence, PublishedEvidence, ServerKey, Verdicts

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_SECONDS = 1.0
# Labels of unknown servers that are remembered; far more than the servers that can start between
# two reads of the platform. Forged labels must not take unbounded memory.
MAX_UNKNOWN_LABELS = 1024
# Route tables kept to compute deltas for followers that are behind; a burst of changes is shorter.
MAX_ROUTE_TABLES = 32
# Reason for which opening packets are refused or dropped.
ZONE_DRAINED = "zone drained"
# Reason for which flows are reset.
CONDEMNED = "condemned"
COLD_SERVERS = "cold servers"
# Callers repeat an opening packet for so long at most.
OPENING_ATTEMPT_SECONDS = 1.4
# A condemned server is suspected for this long, again at each tick; several ticks.
AVOID_SECONDS = 0.3
# How long a half-closed flow stays in the table after its caller's last packet; several of the
# longest retransmission intervals.
CLOSED_FLOW_TTL_SECONDS = 5.0


class FlowReset(msgspec.Struct, frozen=True):
    """A reset that is sent without a packet from the caller to answer."""

    flow: FlowKey
    acknowledged: int


class FlowBalancer:
    """Decides what one entry VM does with each packet of opaque flows.

    Attributes:
        entry_vm_count: entry VMs that share the load, with this one.
        verdicts: which servers a reader of the zone considers dead.
    """

    def __init__(self, settings: PacketVmSettings, random: Random, now: float):
        self._settings = settings
        self._random = random
        self._routes: RouteTable | None = None
        self._are_limits_known = True
        self._flows = PacketFlowTable(settings.max_flows)
        self._unknown_labels: dict[int, float] = {}
        self._loss_detector = LossDetector(settings.silence)
        self._own_link = OwnLinkMonitor()
        self._overload_controls: dict[str, OverloadControl] = {}
        self._quick_call_at = float("-inf")
        self._last_tick_at = now
        self._resumed_at = float("-inf")
        self._other_entry_vms: frozenset[tuple[str, int]] = frozenset()
        self._paths_changed_at = float("-inf")
        self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
        self.cold_starts = ColdStartControl(settings.name, settings.zone, settings.cold_starts, now)
        self.server_list = ServerList(settings.servers)
        self.route_history = RouteHistory(MAX_ROUTE_TABLES)
        self.entry_vm_count = 1
        self.peer_loads = PeerLoads(settings.load_reports)
        self.verdicts = Verdicts(settings.name, settings.shared_evidence)
        self.counters: Counter[str] = Counter()
        self.opening_latencies = LatencyHistogram()
        self.answer_latencies = LatencyHistogram()

    @property
    def routes(self) -> RouteTable | None:
        """The routes in force; None before the first table was read."""
        return self._routes

    @property
    def are_limits_known(self) -> bool:
        """Whether the routes in force came with their limits for cold servers, if they have any."""
        return self._are_limits_known

    @property
    def flows(self) -> PacketFlowTable:
        """The flows seen recently; read-only."""
        return self._flows

    @property
    def ready(self) -> bool:
        """Whether routes, servers and drains of zones are known, so that flows can be placed."""
        server_list = self.server_list
        return self._routes is not None and server_list.loaded and server_list.drains.known

    @property
    def shares_evidence(self) -> bool:
        """Whether evidence of dead servers beyond that of waiting flows here is used."""
        return self._settings.shared_evidence.enabled

    @property
    def refusal_levels(self) -> dict[str, float]:
        """The refusal level of each service that answered requests lately."""
        return {name: control.level for name, control in self._overload_controls.items()}

    def apply_routes(self, table: RouteTable, has_limits: bool = True) -> None:
        """Puts a route table in force unless one of the same or a newer version already is.

        A table of the same version from a newer era replaces the one in force: the operator may
        have written other content under that version after the platform was restored. A lower
        version of a newer era does not: routes in force stay until the platform holds a version at
        least as new. While the limits of cold servers are not known, a table that has them also
        replaces one of the same version and era.

        Args:
            table: the routes.
            has_limits: whether the table holds the limits; entry VMs of older builds drop them.
        """
        current = self._routes
        if current is not None and table.order <= current.order:
            adds_limits = has_limits and not self._are_limits_known
            if not adds_limits or table.order < current.order:
                return
        self._routes = table
        self._are_limits_known = has_limits
        self.route_history.add(table)
        rewritten = current is not None and current.version == table.version
        if rewritten and current.has_content_of(table):
            return
        log_event(
            logger,
            LogEvent.ROUTES_APPLIED,
            version=table.version,
            era=table.era,
            routes=len(table),
        )

    def apply_route_changes(self, changes: RouteChanges, has_limits: bool = True) -> None:
        """Applies a delta or a whole table of routes.

        A delta whose base is not the version in force is ignored.

        Args:
            changes: the delta or table.
            has_limits: whether the sender knows limits of cold servers.
        """
        current = self._routes
        if changes.base == 0:
            limits = changes.warmup_limits or ()
            table = RouteTable(
                changes.version, changes.routes, changes.idle_timeout, changes.era, limits
            )
            self.apply_routes(table, has_limits)
        elif current is not None and current.order == (changes.base, changes.base_era):
            # Without limits of its own, a delta keeps those of its base.
            is_complete = self._are_limits_known or changes.warmup_limits is not None
            self.apply_routes(current.with_changes(changes), has_limits and is_complete)

    def handle_packet(self, header: PacketHeader, now: float) -> PacketAction:
        """Returns the action for a caller's packet and updates the state of its flow."""
        if self._routes is None:
            action = self._forward_before_routes(header)
        elif header.opens:
            action = self._open_flow(header, now)
        else:
            action = self._continue_flow(header, now)
        self.counters[type(action).__name__] += 1
        return action

    def _forward_before_routes(self, header: PacketHeader) -> PacketAction:
        """Forwards a packet of an open flow by its label alone.

        Load pattern: all entry VMs lose power at once. A large table of routes then takes longer to
        read than callers wait between two retransmissions.
        """
        server = None if header.opens else self.server_list.find_label(header.label)
        if server is None:
            return self._drop("no routes yet")
        return Forward(server, header.label)

    def tick(self, now: float) -> list[FlowReset]:
        """Applies timeouts and returns the resets to send; must be called several times a second.

        A pause of more than `silence.stall_seconds` between two calls counts as a stall of this
        process. All evidence of silent servers is then discarded.
        """
        was_stalled = self._is_stalled(now)
        if was_stalled:
            self._resumed_at = now
            self._discard_evidence(now)
        self._last_tick_at = now
        self.server_list.expire(now)
        self._update_overload_controls(now)
        self._avoid_condemned_servers(now)
        resets = self._reset_flows_of_dead_servers(now)
        if self.shares_evidence and not was_stalled:
            resets += self._reset_idle_flows(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            self._evict_expired_flows(now)
        return resets

    def update_entry_vms(self, others: frozenset[tuple[str, int]], now: float) -> None:
        """Records which other entry VMs may get packets, by name and incarnation.

        When they change, packets of some flows take another way. Whether flows that were idle then
        get answers there is not known here.
        """
        if others != self._other_entry_vms:
            self._other_entry_vms = others
            self._paths_changed_at = now

    def apply_evidence(
        self, evidence: PublishedEvidence | None, now: float, asked_at: float | None = None
    ) -> None:
        """Puts the decisions of a reader on dead servers in force, in place of earlier ones.

        Args:
            evidence: the decisions; None if there are none.
            now: time on the monotonic clock, in seconds.
            asked_at: when another entry VM was asked for them. If this process has stalled since
                then, the reply may have waited in the socket, and the decisions are discarded.
        """
        if asked_at is not None and (asked_at < self._resumed_at or self._is_stalled(now)):
            evidence = None
        self.verdicts.apply(evidence, now)
        self._avoid_condemned_servers(now)

    def record_call(self, called_at: float, now: float) -> None:
        """Records a call to another entry VM that was answered.

        If the answer was quick, the own link is not full, so what is reported as silence is that of
        the servers. While all servers of a zone are dark, there are no quick answers of servers.
        """
        if now - called_at <= QUICK_ANSWER_SECONDS:
            self._quick_call_at = now

    def find_silences(self, now: float) -> dict[ServerKey, LocalSilence]:
        """Returns this entry VM's evidence of servers that are silent, from its open flows."""
        if self._is_stalled(now):
            return {}
        silences = self.verdicts.find_silent_openings(now)
        servers = self.server_list.servers.values()
        if not any(server.responsiveness.unanswered for server in servers):
            return silences
        latest = now - self._settings.shared_evidence.unanswered_seconds
        for flow in self._flows:
            server, waiting_since = flow.server, flow.waiting_since
            if flow.opening or waiting_since is None or not flow.rounds.count:
                continue
            repeated_at = flow.rounds.latest_before(latest)
            answered_at = server.responsiveness.answered_at
            if repeated_at is None or waiting_since < answered_at or flow.is_stale(now):
                continue
            silence = silences.get(_key_of(server))
            if silence is None:
                silence = LocalSilence(0, waiting_since, repeated_at, repeated_at, answered_at)
                silence.lossy = self._loss_detector.is_lossy(now)
                proven = now - self._quick_call_at <= LINK_PROOF_SECONDS
                silence.link_suspected = not proven and self._is_link_suspected(server, now)
                silence.decided = self._is_dead(flow, now)
                silences[_key_of(server)] = silence
            silence.flows += 1
            silence.silent_since = min(silence.silent_since, waiting_since)
            silence.repeated_at = min(silence.repeated_at, repeated_at)
            silence.latest_at = max(silence.latest_at, repeated_at)
        return silences

    def find_objections(self, now: float) -> dict[ServerKey, float]:
        """Returns the servers in question that have answered here, with the time of the answer."""
        answers = (
            (_key_of(server), server.responsiveness.answered_at)
            for server in self.server_list.servers.values()
        )
        return self.verdicts.find_objections(answers, now)

    def find_answer(self, key: ServerKey) -> float:
        """Returns when a server last answered here; minus infinity if it has not."""
        server = self.server_list.servers.get(key[0])
        if server is None or server.incarnation != key[1]:
            return float("-inf")
        return server.responsiveness.answered_at

    def is_running(self, key: ServerKey) -> bool:
        """Whether this incarnation of a server is known and not gone."""
        server = self.server_list.servers.get(key[0])
        return server is not None and server.incarnation == key[1] and not server.gone

    def is_condemned(self, server: BackendServer, now: float) -> bool:
        """Whether the zone considers a server dead and nothing here contradicts it."""
        if not self.shares_evidence or self._is_stalled(now):
            return False
        answered_at = server.responsiveness.answered_at
        return self.verdicts.is_condemned(_key_of(server), answered_at, now)

    def count_condemned(self, now: float) -> int:
        """Returns how many servers are considered dead here on the zone's evidence."""
        return sum(self.is_condemned(server, now) for server in self.server_list.servers.values())

    def _open_flow(self, header: PacketHeader, now: float) -> PacketAction:
        flow = self._flows.get(header.flow)
        if flow is not None and flow.first_sequence == header.sequence:
            if flow.opening:
                return self._handle_repeated_opening(flow, now)
            return self._repeat_opening(flow)
        route = self._routes.find(header.flow.route_ip, header.flow.route_port)
        if route is None:
            return self._refuse(header.flow, "no route")
        if flow is not None:
            self._end_flow(flow)
        service = route.choose_service(self._random)
        if self._refuses_for_overload(service, route, now):
            return self._refuse(header.flow, "overload")
        server = self._place(service, (), now)
        if server is None:
            reason = self._explain_no_server(service)
            if reason in (ZONE_DRAINED, COLD_SERVERS) and _opened_elsewhere(flow, now):
                return self._drop(reason)
            return self._refuse(header.flow, reason)
        label = derive_label(server.name, server.incarnation)
        flow = PacketFlow(header.flow, server, label, True, now, now, waiting_since=now)
        flow.first_sequence = header.sequence
        self._add_flow(flow)
        log_placement(LogEvent.FLOW_PLACED, flow, self._routes, self.server_list, now)
        return Forward(server, label)

    def _refuses_for_overload(self, service: str, route: Route, now: float) -> bool:
        control = self._overload_controls.get(service)
        if control is None:
            return False
        if self._can_know_all_loads:
            knows_all = self._knows_all_loads(now)
            return knows_all and control.refuses_by_loads(route, self._loads(service, now), now)
        if not control.refuses(route, now, self._random):
            return False
        # Judged again for each flow: slots may have become free since the last tick.
        return self._are_slots_taken(service, now)

    @property
    def _can_know_all_loads(self) -> bool:
        """Whether there are few enough entry VMs that all report to each other."""
        return self.entry_vm_count <= self._settings.load_reports.receivers + 1

    def _knows_all_loads(self, now: float) -> bool:
        """Whether the requests in progress through all entry VMs are known."""
        return self.peer_loads.count_reporting(now) + 1 >= self.entry_vm_count

    def _loads(self, service: str, now: float) -> list[float]:
        """Returns the known requests in progress per slot of the servers that take flows."""
        return [
            self._count_known(server, now) / max(1, server.slots)
            for server in self.server_list.servers.of_service(service)
            if server.accepts_work and server.unlisted_since is None
        ]

    def _are_slots_taken(self, service: str, now: float) -> bool:
        return self._are_slots_used(service, 1 + self._settings.overload.queued_share, now)

    def _are_slots_used(self, service: str, share: float, now: float) -> bool:
        """Whether the requests in progress exceed a share of the slots of a service."""
        scale = self._extrapolation(now)
        servers = self.server_list.servers.of_service(service)
        return are_slots_taken(
            servers,
            lambda server: self._count_known(server, now) * scale,
            share - 1,
            self.warmup_limit(service),
            now,
        )

    def _extrapolation(self, now: float) -> float:
        """Returns the factor from the known requests in progress to those of all entry VMs."""
        known = 1 + self.peer_loads.count_reporting(now)
        return max(1.0, self.entry_vm_count / known)

    def _make_counter(self, now: float) -> Callable[[BackendServer], int]:
        """Returns how the placement counts the requests in progress at a server."""
        if self.peer_loads.count_reporting(now) and self._knows_all_loads(now):
            return lambda server: self._count_known(server, now)
        return own_requests

    def _count_known(self, server: BackendServer, now: float) -> int:
        """Returns the requests in progress through this entry VM and those that report to it."""
        label = derive_label(server.name, server.incarnation)
        return server.in_progress + self.peer_loads.count_requests(label, now)

    def make_load_report(self, incarnation: int, now: float) -> LoadReport | None:
        """Returns the report to other entry VMs that is due, or None."""
        counts = {
            derive_label(server.name, server.incarnation): server.in_progress
            for server in self.server_list.servers.values()
            if server.in_progress
        }
        loaded_share = self._settings.load_reports.loaded_share
        loaded = any(
            self._are_slots_used(service, loaded_share, now) for service in self._overload_controls
        )
        return self.peer_loads.make_report(incarnation, counts, loaded, now)

    def _update_overload_controls(self, now: float) -> None:
        for service, control in self._overload_controls.items():
            was_refusing = control.level > 0
            if not self._can_know_all_loads:
                control.update(self._are_slots_taken(service, now), now)
            elif self._knows_all_loads(now):
                control.update_by_loads(self._loads(service, now))
            else:
                control.update_by_loads([])
            if was_refusing != (control.level > 0):
                log_overload(service, control)

    def _handle_repeated_opening(self, flow: PacketFlow, now: float) -> PacketAction:
        """Forwards a retransmitted opening packet, to another server if there is reason to.

        The flow moves if its server has not answered on any flow since it was first sent this
        packet, or if it accepts no more work. The flow stays if no other server can take it, and in
        any case for the first `copy_seconds` at each server. Later a copy to a cold server needs a
        token or goes elsewhere. A copy that no server can take, or that would go to a drained zone,
        is dropped: a reset could hit a flow that has just opened. So is one without a route; if the
        route now leads to other services, the flow moves there.
        """
        flow.active_at = now
        server = flow.server
        route = self._routes.find(flow.key.route_ip, flow.key.route_port)
        if route is None:
            return self._drop("no route")
        is_allowed = route.leads_to(server.service)
        answered = server.responsiveness.answered_at >= flow.waiting_since
        within_copy_interval = now - flow.waiting_since < self._settings.placement.copy_seconds
        if within_copy_interval:
            return self._repeat_opening(flow) if is_allowed else self._drop("route has changed")
        if answered and is_allowed and server.accepts_work and self._take_token(server, now):
            return self._repeat_opening(flow)
        if not answered:
            # No more than suspected: a full server does not answer opening packets.
            self._suspect(server, flow.waiting_since, now)
            self.verdicts.record_silent_opening(_key_of(server), flow.waiting_since, now)
        service = server.service if is_allowed else route.choose_service(self._random)
        alternative = self._place(service, (*flow.tried, server), now)
        if alternative is None and not is_allowed:
            return self._drop("route has changed")
        is_drained = server.zone_drained
        # If the server has started again, its new start receives the copy.
        receiver = self.server_list.servers.get(server.name) or server
        if alternative is None and not is_drained and not self._take_token(receiver, now):
            self.counters["cold_refused"] += 1
            return self._drop("cold server")
        if alternative is None or alternative is server:
            return self._repeat_opening(flow)
        self._end_flow(flow)
        flow.tried = (*flow.tried, server)
        flow.server = alternative
        flow.label = derive_label(alternative.name, alternative.incarnation)
        flow.waiting_since = now
        self._add_flow(flow)
        log_placement(LogEvent.FLOW_MOVED, flow, self._routes, self.server_list, now)
        return Forward(alternative, flow.label)

    def _repeat_opening(self, flow: PacketFlow) -> PacketAction:
        """Forwards a copy of an opening packet to the flow's server, unless its zone is drained."""
        # The server may have been replaced by another at its address; `zone_drained` of one that is
        # no longer in the list does not change.
        if self.server_list.drains.is_drained(flow.server.zone):
            return self._drop(ZONE_DRAINED)
        return Forward(flow.server, flow.label)

    def _place(
        self, service: str, avoided: tuple[BackendServer, ...], now: float
    ) -> BackendServer | None:
        servers = self.server_list.servers.of_service(service)
        limit = self.warmup_limit(service)
        if limit:
            may_open = self.cold_starts.may_open
            servers = [s for s in servers if s.accepts_work and may_open(s, limit, now)]
        server = choose_server(
            servers,
            avoided,
            self._settings.zone,
            now,
            self._settings.placement,
            self._random,
            self._make_counter(now),
        )
        if server is not None:
            self._record_cold_opening(server, now)
        return server

    def warmup_limit(self, service: str) -> float:
        """Returns the flows per second that may open at a cold server; 0 if there is no limit."""
        return self._routes.warmup_limit(service) if self._routes else 0.0

    def _take_token(self, server: BackendServer, now: float) -> bool:
        """Takes a token for an opening packet if the server's limit applies and there is one."""
        if not self.cold_starts.may_open(server, self.warmup_limit(server.service), now):
            return False
        self._record_cold_opening(server, now)
        return True

    def _record_cold_opening(self, server: BackendServer, now: float) -> None:
        limit = self.warmup_limit(server.service)
        if self.cold_starts.record_opening(server, limit, now):
            self.counters["cold_openings"] += 1

    def _explain_no_server(self, service: str) -> str:
        """Returns why no server can take a flow, and counts the refusal by its reason."""
        servers = self.server_list.servers.of_service(service)
        if any(server.accepts_work for server in servers):
            self.counters["cold_refused"] += 1
            return COLD_SERVERS
        if any(s.zone_drained and not (s.leaving or s.gone) for s in servers):
            self.counters["refused_zone_drained"] += 1
            return ZONE_DRAINED
        return "no server"

    def _continue_flow(self, header: PacketHeader, now: float) -> PacketAction:
        flow = self._flows.get(header.flow)
        if flow is not None and flow.opening:
            self._resolve_opening(flow, header, now)
        if flow is None or not flow.matches_label(header.label):
            if flow is not None:
                self._end_flow(flow)
            flow = self._adopt_flow(header, now)
            if flow is None:
                return self._handle_unknown_label(header, now)
        server = flow.server
        rounds = flow.rounds.count
        # How long a stale flow waited was not seen here.
        waiting_since = None if flow.is_stale(now) else flow.waiting_since
        was_opening = flow.opening
        if flow.record_packet(header, now):
            self._record_answer(flow, waiting_since, now)
            if not was_opening and not rounds and waiting_since is not None:
                self._record_answer_time(flow, now - waiting_since, now)
        elif flow.rounds.count > rounds:
            self._record_retransmission(flow, now)
        self._update_in_progress(flow)
        if self._is_dead(flow, now):
            self._end_flow(flow)
            self._log_dead_server(flow, now)
            return ResetFlow("server is dead")
        if self.is_condemned(server, now) and not (header.aborts or header.closes):
            self._end_flow(flow)
            self._log_dead_server(flow, now, "condemned")
            return ResetFlow("condemned")
        if header.aborts:
            self._end_flow(flow)
        elif header.closes and not flow.closing:
            flow.closing = True
            server.open_flows -= 1
        return Forward(server, flow.label)

    def _is_dead(self, flow: PacketFlow, now: float) -> bool:
        server = flow.server
        rounds = 0 if flow.is_stale(now) or self._is_stalled(now) else flow.rounds.count
        return is_dead(
            server.responsiveness,
            ListStatus(server.unlisted_since, server.gone),
            rounds,
            self._loss_detector.is_lossy(now),
            now,
            self._settings.silence,
            self._is_link_suspected(server, now),
        )

    def _avoid_condemned_servers(self, now: float) -> None:
        if not self.shares_evidence or self.verdicts.are_empty(now):
            return
        for server in self.server_list.servers.values():
            evidence = server.responsiveness
            if self.verdicts.is_avoided(_key_of(server), evidence.answered_at, now):
                evidence.suspect(now + AVOID_SECONDS)

    def _log_dead_server(
        self, flow: PacketFlow, now: float, reason: str = "server is dead"
    ) -> None:
        lossy = self._loss_detector.is_lossy(now)
        link_suspected = self._is_link_suspected(flow.server, now)
        log_dead_server(flow, self.server_list, lossy, link_suspected, now, reason)

    def _is_stalled(self, now: float) -> bool:
        return now - self._last_tick_at > self._settings.silence.stall_seconds

    def _is_link_suspected(self, server: BackendServer, now: float) -> bool:
        return self._own_link.is_suspected(server.name, now)

    def _adopt_flow(self, header: PacketHeader, now: float) -> PacketFlow | None:
        """Adds a flow under the label of its packet; returns None if the label is unknown.

        Another entry VM placed the flow, or it was placed here and has since been evicted or has
        expired (the table is a cache).
        """
        server = self.server_list.labels.find(header.label)
        if server is None:
            return None
        flow = PacketFlow(header.flow, server, header.label, False, now, now)
        flow.initialize_sequences(header)
        self._add_flow(flow)
        log_event(logger, LogEvent.FLOW_ADOPTED, flow=str(header.flow), server=server.name)
        return flow

    def _resolve_opening(self, flow: PacketFlow, header: PacketHeader, now: float) -> None:
        """Assigns the flow to the server whose answer the caller accepted.

        Copies of an opening packet may have gone to several servers. The packet's label names the
        server whose answer reached the caller last.
        """
        self.opening_latencies.observe(now - flow.opened_at)
        if header.label == flow.label:
            return
        server = self.server_list.labels.find(header.label)
        if server is None or server not in flow.tried:
            return
        self._end_flow(flow)
        flow.tried = (*flow.tried, flow.server)
        flow.server = server
        flow.label = header.label
        self._add_flow(flow)

    def _handle_unknown_label(self, header: PacketHeader, now: float) -> PacketAction:
        """Returns the action for a packet whose label belongs to no known server.

        Resets the flow if it has no route. Otherwise drops the packet until a list read late enough
        shows that no listed server has this label (the server may have started after the last
        read); then resets the flow.
        """
        if self._routes.find(header.flow.route_ip, header.flow.route_port) is None:
            return self._refuse(header.flow, "no route")
        first_seen = self._unknown_labels.setdefault(header.label, now)
        if len(self._unknown_labels) > MAX_UNKNOWN_LABELS:
            del self._unknown_labels[next(iter(self._unknown_labels))]
        if not self.server_list.loaded or not self.server_list.absence_confirmed(first_seen):
            return self._drop("label not listed yet")
        return self._refuse(header.flow, "label of no server")

    def _record_answer(self, flow: PacketFlow, waiting_since: float | None, now: float) -> None:
        server = flow.server
        if waiting_since is not None:
            self.answer_latencies.observe(now - waiting_since)
            self._own_link.record_answer(server.name, waiting_since, now)
        if server.responsiveness.unanswered:
            self._loss_detector.record_loss(now)
            log_event(logger, LogEvent.SERVER_ANSWERS, server=server.name)
        server.responsiveness.record_answer(now)

    def _record_answer_time(self, flow: PacketFlow, seconds: float, now: float) -> None:
        """Records how long a request took that was not retransmitted."""
        route = self._routes.find(flow.key.route_ip, flow.key.route_port)
        if route is None or not route.target_seconds:
            return
        service = flow.server.service
        control = self._overload_controls.get(service)
        if control is None:
            control = self._overload_controls[service] = OverloadControl(self._settings.overload)
        control.record_answer(flow.server.name, route, seconds, now)

    def _record_retransmission(self, flow: PacketFlow, now: float) -> None:
        server = flow.server
        self._own_link.record_retransmission(server.name, now)
        if flow.waiting_since >= server.responsiveness.answered_at:
            self._suspect(server, flow.waiting_since, now)
        server.responsiveness.record_retransmission(
            flow.waiting_since, now, self._settings.silence.doubt_seconds, flow.rounds.count
        )

    def _suspect(self, server: BackendServer, waiting_since: float, now: float) -> None:
        """Keeps new flows from a server that has not answered, and logs when this begins."""
        evidence = server.responsiveness
        if evidence.suspected_until <= now:
            log_silence(server, waiting_since, self._is_link_suspected(server, now), now)
        evidence.suspect(now + self._settings.silence.doubt_seconds)

    def _update_in_progress(self, flow: PacketFlow) -> None:
        """Counts the flow as a request in progress at its server while an answer is pending."""
        busy = flow.opening or flow.waiting_since is not None
        if busy and not flow.counted_in_progress:
            flow.counted_in_progress = True
            flow.server.in_progress += 1
        elif not busy and flow.counted_in_progress:
            self._stop_counting(flow)

    def _stop_counting(self, flow: PacketFlow) -> None:
        flow.counted_in_progress = False
        flow.server.in_progress -= 1

    def _add_flow(self, flow: PacketFlow) -> None:
        evicted = self._flows.add(flow)
        if evicted is not None:
            self._release_counts(evicted)
        flow.server.open_flows += 1
        self._update_in_progress(flow)

    def _end_flow(self, flow: PacketFlow) -> None:
        if self._flows.remove(flow.key) is not None:
            self._release_counts(flow)

    def _release_counts(self, flow: PacketFlow) -> None:
        if not flow.closing:
            flow.server.open_flows -= 1
        if flow.counted_in_progress:
            self._stop_counting(flow)

    def _reset_flows_of_dead_servers(self, now: float) -> list[FlowReset]:
        resets = []
        for flow in list(self._flows):
            if flow.counted_in_progress and flow.is_stale(now):
                # The answer comes through another entry VM, which counts the request now.
                self._stop_counting(flow)
            if flow.opening or flow.waiting_since is None:
                continue
            if self._is_dead(flow, now):
                self._end_flow(flow)
                self._log_dead_server(flow, now)
                resets.append(FlowReset(flow.key, flow.acknowledged))
        return resets

    def _reset_idle_flows(self, now: float) -> list[FlowReset]:
        """Resets idle flows of dead servers, so that the callers' next requests open new flows.

        Flows that may have moved to another entry VM are reset only if the zone considers the
        server dead: an entry VM to which it answers would have objected. A caller that has used the
        port again since ignores the reset, whose number is far from its last acknowledgement.
        """
        dead_servers: dict[ServerKey, str] = {}
        for server in self.server_list.labels.servers():
            if self._are_idle_flows_dead(server, now):
                dead_servers[_key_of(server)] = "server is dead"
            elif self.is_condemned(server, now):
                dead_servers[_key_of(server)] = CONDEMNED
        if not dead_servers:
            return []
        resets = []
        for flow in list(self._flows):
            busy = flow.opening or flow.closing or flow.waiting_since is not None
            may_have_moved = flow.active_at <= self._paths_changed_at
            reason = dead_servers.get(_key_of(flow.server))
            if busy or reason is None:
                continue
            if reason == CONDEMNED or not may_have_moved:
                self._end_flow(flow)
                self._log_dead_server(flow, now, reason)
                self.counters["reset_idle"] += 1
                resets.append(FlowReset(flow.key, flow.acknowledged))
        return resets

    def _are_idle_flows_dead(self, server: BackendServer, now: float) -> bool:
        return is_idle_flow_dead(
            server.responsiveness,
            ListStatus(server.unlisted_since, server.gone),
            self._loss_detector.is_lossy(now),
            now,
            self._settings.silence,
            self._is_link_suspected(server, now),
        )

    def _evict_expired_flows(self, now: float) -> None:
        max_age_seconds = self._settings.flow_max_seconds
        idle_seconds = min(
            max_age_seconds, self._routes.idle_timeout if self._routes else max_age_seconds
        )
        for flow in list(self._flows):
            ttl_seconds = CLOSED_FLOW_TTL_SECONDS if flow.closing else idle_seconds
            if now - flow.active_at > ttl_seconds or now - flow.opened_at > max_age_seconds:
                self._end_flow(flow)
        for label, first_seen in list(self._unknown_labels.items()):
            if now - first_seen > max_age_seconds:
                del self._unknown_labels[label]

    def _discard_evidence(self, now: float) -> None:
        """Discards evidence of silent servers after a stall of this process.

        During the stall it forwarded no packets, so missing answers prove nothing.
        """
        self.verdicts.discard()
        for server in self.server_list.servers.values():
            server.responsiveness.discard_evidence()
        for control in self._overload_controls.values():
            control.discard_answers()
        for flow in self._flows:
            flow.rounds.clear()
            if flow.waiting_since is not None:
                flow.waiting_since = now
        stall_seconds = round(now - self._last_tick_at, 3)
        log_event(logger, LogEvent.EVIDENCE_VOID, stood_still_seconds=stall_seconds)

    def _refuse(self, flow: FlowKey, reason: str) -> ResetFlow:
        log_event(
            logger,
            LogEvent.FLOW_RESET,
            flow=str(flow),
            reason=reason,
            routes=self._routes.version,
            era=self.server_list.version.era,
            revision=self.server_list.version.revision,
        )
        return ResetFlow(reason)

    def _drop(self, reason: str) -> DropPacket:
        log_event(logger, LogEvent.FLOW_DROPPED, reason=reason)
        return DropPacket(reason)


def _opened_elsewhere(flow: PacketFlow | None, now: float) -> bool:
    """Whether an opening packet may be a late copy for a flow that another entry VM opened.

    A reset in answer to it would hit the open flow.
    """
    if flow is None or flow.first_sequence is not None:
        return False
    return now - flow.opened_at <= OPENING_ATTEMPT_SECONDS


def _key_of(server: BackendServer) -> ServerKey:
    return server.name, server.incarnation
