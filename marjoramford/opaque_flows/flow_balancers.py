"""The decision core for opaque flows: maps packet headers and published state to packet actions.

The core does no I/O: callers pass in the time, and all randomness comes from the given generator,
so that every decision can be replayed. Times are seconds on the monotonic clock.

`FlowBalancer` follows the way of a packet. What it decides by stands in its parts: the routes
(`installed_routes`), the servers (`server_lists`), new flows (`flow_admissions`), silent servers
(`silence_evidence`) and labels of no known server (`unknown_labels`).

`FlowBalancer` is the core of `packet_daemons.PacketVm`, the entry VM on the platform. Entry VMs
that handle single requests instead of opaque flows (`daemons.EntryVmDaemon`) use
`balancers.Balancer`.
"""

import logging
from collections import Counter
from random import Random

import msgspec

from ..shared.backend_servers import BackendServer
from ..shared.logs import LogEvent, log_event
from .flow_admissions import COLD_SERVERS, ZONE_DRAINED, FlowAdmission
from .flow_labels import derive_label
from .flow_logs import log_placement
from .flow_settings import PacketVmSettings
from .installed_routes import InstalledRoutes
from .latencies import LatencyHistogram
from .packet_flows import PacketFlow, PacketFlowTable
from .packets import DropPacket, FlowKey, Forward, PacketAction, PacketHeader, ResetFlow
from .routes import RouteTable
from .server_lists import ServerList
from .silence_evidence import CONDEMNED, DEAD, SilenceEvidence
from .unknown_labels import UnknownLabels
from .zone_contacts import ZoneContact

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_SECONDS = 1.0
# Callers repeat an opening packet for so long at most.
OPENING_ATTEMPT_SECONDS = 1.4


class FlowReset(msgspec.Struct, frozen=True):
    """A reset that is sent without a packet from the caller to answer."""

    flow: FlowKey
    acknowledged: int


class FlowBalancer:
    """Decides what one entry VM does with each packet of opaque flows.

    Attributes:
        installed_routes: the routes in force.
        server_list: the servers of all services.
        admission: decides on new flows.
        evidence: what is known of servers that do not answer.
        counters: actions and reasons by name.
        opening_latencies: from a flow's first packet to the caller's answer to the server's.
        answer_latencies: from a caller's data to its acknowledgement of an answer.
    """

    # The types of its parts; comparisons replace them by baselines.
    routes_type: type[InstalledRoutes] = InstalledRoutes
    list_type: type[ServerList] = ServerList
    admission_type: type[FlowAdmission] = FlowAdmission

    def __init__(self, settings: PacketVmSettings, random: Random, now: float):
        self._settings = settings
        self._random = random
        self._flows = PacketFlowTable(settings.max_flows)
        self._unknown_labels = UnknownLabels()
        self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
        self.counters: Counter[str] = Counter()
        self.installed_routes = self.routes_type()
        self.server_list = self.list_type(settings.servers)
        zone_contact = ZoneContact(settings.zone, self.server_list)
        self.admission = self.admission_type(
            settings,
            self.server_list,
            self.installed_routes,
            zone_contact,
            random,
            self.counters,
            now,
        )
        self.evidence = SilenceEvidence(settings, self.server_list, self._flows, zone_contact, now)
        self.opening_latencies = LatencyHistogram()
        self.answer_latencies = LatencyHistogram()

    @property
    def routes(self) -> RouteTable | None:
        """The routes in force; None before the first table was read."""
        return self.installed_routes.table

    @property
    def flows(self) -> PacketFlowTable:
        """The flows seen recently; read-only."""
        return self._flows

    @property
    def ready(self) -> bool:
        """Whether routes, servers and drains of zones are known, so that flows can be placed."""
        server_list = self.server_list
        return self.routes is not None and server_list.loaded and server_list.drains.known

    def handle_packet(self, header: PacketHeader, now: float) -> PacketAction:
        """Returns the action for a caller's packet and updates the state of its flow."""
        if self.routes is None:
            action = self._forward_before_routes(header)
        elif header.opens:
            action = self._open_flow(header, now)
        else:
            action = self._continue_flow(header, now)
        self.counters[type(action).__name__] += 1
        return action

    def tick(self, now: float) -> list[FlowReset]:
        """Applies timeouts and returns the resets to send; must be called several times a second.

        A pause of more than `silence.stall_seconds` between two calls counts as a stall of this
        process. All evidence of silent servers is then discarded.
        """
        was_stalled = self.evidence.record_tick(now)
        if was_stalled:
            self.admission.discard_answers()
        self.server_list.expire(now)
        self.admission.update(now)
        self.evidence.avoid_condemned_servers(now)
        self._flows.stop_counting_stale_flows(now)
        resets = self._reset_flows_of_dead_servers(now)
        resets += self._reset_flows_of_unknown_servers(now)
        if self.evidence.is_shared and not was_stalled:
            resets += self._reset_idle_flows(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            self._evict_expired(now)
        return resets

    def _forward_before_routes(self, header: PacketHeader) -> PacketAction:
        """Forwards a packet of an open flow by its label alone.

        Load pattern: all entry VMs lose power at once. A large table of routes then takes longer to
        read than callers wait between two retransmissions.
        """
        server = None if header.opens else self.server_list.find_label(header.label)
        if server is None:
            return self._drop("no routes yet")
        return Forward(server, header.label)

    # Opening packets

    def _open_flow(self, header: PacketHeader, now: float) -> PacketAction:
        flow = self._flows.get(header.flow)
        if flow is not None and flow.first_sequence == header.sequence:
            if flow.opening:
                return self._handle_repeated_opening(flow, now)
            return self._repeat_opening(flow, now)
        route = self.routes.find(header.flow.route_ip, header.flow.route_port)
        if route is None:
            return self._refuse(header.flow, "no route")
        if flow is not None:
            self._flows.end(flow)
        service = route.choose_service(self._random)
        if self.admission.refuses(service, route, now):
            return self._refuse(header.flow, "overload")
        server = self.admission.place(service, (), now)
        if server is None:
            reason = self.admission.explain_no_server(service, now)
            if reason in (ZONE_DRAINED, COLD_SERVERS) and _opened_elsewhere(flow, now):
                return self._drop(reason)
            return self._refuse(header.flow, reason)
        label = derive_label(server.name, server.incarnation)
        flow = PacketFlow(header.flow, server, label, True, now, now, waiting_since=now)
        flow.first_sequence = header.sequence
        self._flows.add(flow)
        log_placement(LogEvent.FLOW_PLACED, flow, self.routes, self.server_list, now)
        return Forward(server, label)

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
        route = self.routes.find(flow.key.route_ip, flow.key.route_port)
        if route is None:
            return self._drop("no route")
        is_allowed = route.leads_to(server.service)
        answered = server.responsiveness.answered_at >= flow.waiting_since
        within_copy_interval = now - flow.waiting_since < self._settings.placement.copy_seconds
        if within_copy_interval:
            if not is_allowed:
                return self._drop("route has changed")
            return self._repeat_opening(flow, now)
        may_stay = answered and is_allowed and self.admission.accepts(server, now)
        if may_stay and self.admission.take_token(server, now):
            return self._repeat_opening(flow, now)
        if not answered:
            self.evidence.record_silent_opening(server, flow.waiting_since, now)
        service = server.service if is_allowed else route.choose_service(self._random)
        alternative = self.admission.place(service, (*flow.tried, server), now)
        if alternative is None and not is_allowed:
            return self._drop("route has changed")
        if alternative is None and not server.zone_drained:
            # If the server has started again, its new start receives the copy.
            receiver = self.server_list.servers.get(server.name) or server
            if not self.admission.take_token(receiver, now):
                self.counters["cold_refused"] += 1
                return self._drop("cold server")
        if alternative is None or alternative is server:
            return self._repeat_opening(flow, now)
        return self._move_opening(flow, alternative, now)

    def _move_opening(
        self, flow: PacketFlow, alternative: BackendServer, now: float
    ) -> PacketAction:
        """Forwards a copy of an opening packet to another server than the last one."""
        self._flows.end(flow)
        flow.tried = (*flow.tried, flow.server)
        flow.server = alternative
        flow.label = derive_label(alternative.name, alternative.incarnation)
        flow.waiting_since = now
        self._flows.add(flow)
        log_placement(LogEvent.FLOW_MOVED, flow, self.routes, self.server_list, now)
        return Forward(alternative, flow.label)

    def _repeat_opening(self, flow: PacketFlow, now: float) -> PacketAction:
        """Forwards a copy of an opening packet to the flow's server, unless its zone is drained."""
        # The server may have been replaced by another at its address; `zone_drained` of one that is
        # no longer in the list does not change.
        is_drained = self.server_list.drains.is_drained(flow.server.zone)
        if is_drained and not self.admission.accepts(flow.server, now):
            return self._drop(ZONE_DRAINED)
        return Forward(flow.server, flow.label)

    # Packets of open flows

    def _continue_flow(self, header: PacketHeader, now: float) -> PacketAction:
        flow = self._flows.get(header.flow)
        if flow is not None and flow.opening:
            self._resolve_opening(flow, header, now)
        if flow is None or not flow.matches_label(header.label):
            if flow is not None:
                self._flows.end(flow)
            flow = self._adopt_flow(header, now)
            if flow is None:
                return self._handle_unknown_label(header, now)
        self._record_packet(flow, header, now)
        if self.evidence.is_dead(flow, now):
            return self._reset_for_silence(flow, DEAD, now)
        ends = header.aborts or header.closes
        if not ends and self.evidence.is_condemned(flow.server, now):
            return self._reset_for_silence(flow, CONDEMNED, now)
        if header.aborts:
            self._flows.end(flow)
        elif header.closes:
            self._flows.begin_close(flow)
        return Forward(flow.server, flow.label)

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
        self._flows.end(flow)
        flow.tried = (*flow.tried, flow.server)
        flow.server = server
        flow.label = header.label
        self._flows.add(flow)

    def _adopt_flow(self, header: PacketHeader, now: float) -> PacketFlow | None:
        """Adds a flow under the label of its packet; returns None if the label is unknown.

        Another entry VM placed the flow, or it was placed here and has since been evicted or has
        expired (the table is a cache).
        """
        server = self.server_list.labels.find(header.label)
        if server is None:
            return None
        self._unknown_labels.release(header.flow)
        flow = PacketFlow(header.flow, server, header.label, False, now, now)
        flow.initialize_sequences(header)
        self._flows.add(flow)
        log_event(logger, LogEvent.FLOW_ADOPTED, flow=str(header.flow), server=server.name)
        return flow

    def _handle_unknown_label(self, header: PacketHeader, now: float) -> PacketAction:
        """Returns the action for a packet whose label belongs to no known server.

        Resets the flow if it has no route. Otherwise drops the packet until a list read late enough
        shows that no listed server has this label (the server may have started after the last
        read); then resets the flow.
        """
        if self.routes.find(header.flow.route_ip, header.flow.route_port) is None:
            return self._refuse(header.flow, "no route")
        first_seen = self._unknown_labels.record(header, now)
        if not self._is_label_gone(header.label, first_seen):
            return self._drop("label not listed yet")
        self._unknown_labels.release(header.flow)
        return self._refuse(header.flow, "label of no server")

    def _is_label_gone(self, label: int, first_seen: float) -> bool:
        """Whether a label that was unknown at a time belongs to no server that still runs."""
        server_list = self.server_list
        is_known = server_list.labels.find(label) is not None
        return not is_known and server_list.loaded and server_list.is_missing(first_seen)

    def _record_packet(self, flow: PacketFlow, header: PacketHeader, now: float) -> None:
        """Updates a flow by its caller's packet, and records what that shows of its server."""
        rounds = flow.rounds.count
        # How long a stale flow waited was not seen here.
        waiting_since = None if flow.is_stale(now) else flow.waiting_since
        was_opening = flow.opening
        if flow.record_packet(header, now):
            if waiting_since is not None:
                self.answer_latencies.observe(now - waiting_since)
            self.evidence.record_answer(flow.server, waiting_since, now)
            if not was_opening and not rounds and waiting_since is not None:
                self._record_answer_time(flow, now - waiting_since, now)
        elif flow.rounds.count > rounds:
            self.evidence.record_retransmission(flow, now)
        self._flows.update_in_progress(flow)

    def _record_answer_time(self, flow: PacketFlow, seconds: float, now: float) -> None:
        """Records how long a request took that was not retransmitted."""
        route = self.routes.find(flow.key.route_ip, flow.key.route_port)
        if route is not None and route.target_seconds:
            self.admission.record_answer_time(flow.server, route, seconds, now)

    # Resets and expiry

    def _reset_for_silence(self, flow: PacketFlow, reason: str, now: float) -> ResetFlow:
        self._flows.end(flow)
        self.evidence.log_reset(flow, reason, now)
        return ResetFlow(reason)

    def _reset_flows_of_dead_servers(self, now: float) -> list[FlowReset]:
        resets = []
        for flow in self.evidence.find_dead_waiting_flows(now):
            self._reset_for_silence(flow, DEAD, now)
            resets.append(FlowReset(flow.key, flow.acknowledged))
        return resets

    def _reset_idle_flows(self, now: float) -> list[FlowReset]:
        """Resets idle flows of dead servers, so that the callers' next requests open new flows."""
        resets = []
        for flow, reason in self.evidence.find_dead_idle_flows(now):
            self._reset_for_silence(flow, reason, now)
            self.counters["reset_idle"] += 1
            resets.append(FlowReset(flow.key, flow.acknowledged))
        return resets

    def _reset_flows_of_unknown_servers(self, now: float) -> list[FlowReset]:
        if self.routes is None:
            return []
        resets = []
        for flow in self._unknown_labels.take_lost_flows(self._is_label_gone, now):
            self._refuse(flow.key, "label of no server")
            self.counters["reset_unknown"] += 1
            resets.append(FlowReset(flow.key, flow.acknowledged))
        return resets

    def _evict_expired(self, now: float) -> None:
        max_age_seconds = self._settings.flow_max_seconds
        idle_timeout = self.routes.idle_timeout if self.routes else max_age_seconds
        self._flows.evict_expired(min(max_age_seconds, idle_timeout), max_age_seconds, now)
        self._unknown_labels.evict(now - max_age_seconds)

    def _refuse(self, flow: FlowKey, reason: str) -> ResetFlow:
        log_event(
            logger,
            LogEvent.FLOW_RESET,
            flow=str(flow),
            reason=reason,
            routes=self.routes.version,
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
