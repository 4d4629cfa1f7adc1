"""The decision core for opaque flows: packet heads and published state in, actions out.

It reads no clock, opens no socket and draws chance only from its generator. Times are seconds on
the steady clock.
"""

import logging
from collections import Counter
from random import Random

import msgspec

from .backend_servers import BackendServer
from .flow_labels import derive_label
from .flow_logs import log_dead_server, log_placement, log_silence
from .flow_settings import PacketVmSettings
from .latencies import LatencyHistogram
from .logs import LogEvent, log_event
from .packet_flows import PacketFlow, PacketFlowTable
from .packets import DropPacket, FlowKey, Forward, PacketAction, PacketHead, ResetFlow
from .placements import choose_for_opening
from .routes import RouteChanges, RouteHistory, RouteTable
from .server_lists import ServerList
from .silences import LossGauge, Standing, is_dead

logger = logging.getLogger(__name__)

SWEEP_SECONDS = 1.0
# Labels of no known server remembered; far more than servers that start in the time of one read.
MAX_UNKNOWN_LABELS = 1024
# Route tables remembered for followers that are behind; a storm of changes is shorter.
MAX_ROUTE_TABLES = 32
# How long a flow is remembered after its caller's last packet, in seconds; several of the
# longest pauses between retransmissions.
CLOSED_FLOW_SECONDS = 5.0


class FlowReset(msgspec.Struct, frozen=True):
    """A reset that no packet called for."""

    flow: FlowKey
    acknowledged: int


class FlowBalancer:
    """Decides for one entry VM about each packet of opaque flows."""

    def __init__(self, settings: PacketVmSettings, random: Random, now: float):
        self._settings = settings
        self._random = random
        self._routes: RouteTable | None = None
        self._flows = PacketFlowTable(settings.max_flows)
        self._unknown_labels: dict[int, float] = {}
        self._losses = LossGauge(settings.silence)
        self._ticked_at = now
        self._sweep_at = now + SWEEP_SECONDS
        self.list = ServerList(settings.servers)
        self.route_history = RouteHistory(MAX_ROUTE_TABLES)
        self.counters: Counter[str] = Counter()
        self.opening_latencies = LatencyHistogram()
        self.answer_latencies = LatencyHistogram()

    @property
    def routes(self) -> RouteTable | None:
        """The routes in force; None before the first were read."""
        return self._routes

    @property
    def flows(self) -> PacketFlowTable:
        """The flows seen lately, for reading."""
        return self._flows

    @property
    def ready(self) -> bool:
        """Whether routes and servers are known, so that flows can be placed."""
        return self._routes is not None and self.list.loaded

    def take_routes(self, table: RouteTable) -> None:
        """Puts routes in force, unless they are older than those that are."""
        held = self._routes
        if held is not None and table.version <= held.version:
            return
        self._routes = table
        self.route_history.add(table)
        log_event(logger, LogEvent.ROUTES_APPLIED, version=table.version, routes=len(table))

    def take_route_changes(self, changes: RouteChanges) -> None:
        """Puts changed routes in force, unless they do not apply to those that are."""
        held = self._routes
        if changes.base == 0:
            self.take_routes(RouteTable(changes.version, changes.routes, changes.idle_timeout))
        elif held is not None and held.version == changes.base:
            self.take_routes(held.changed_by(changes))

    def take_packet(self, head: PacketHead, now: float) -> PacketAction:
        """Decides about one packet."""
        if self._routes is None:
            action = self._drop("no routes yet")
        elif head.opens:
            action = self._open_flow(head, now)
        else:
            action = self._continue_flow(head, now)
        self.counters[type(action).__name__] += 1
        return action

    def tick(self, now: float) -> list[FlowReset]:
        """Handles what time brings; to be called a few times a second."""
        if now - self._ticked_at > self._settings.silence.stall_seconds:
            self._void_evidence(now)
        self._ticked_at = now
        self.list.expire(now)
        resets = self._reset_flows_of_dead_servers(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_SECONDS
            self._forget_old_flows(now)
        return resets

    def _open_flow(self, head: PacketHead, now: float) -> PacketAction:
        flow = self._flows.get(head.flow)
        if flow is not None and flow.first_sequence == head.sequence:
            if flow.opening:
                return self._repeat_opening(flow, now)
            return Forward(flow.server, flow.label)
        route = self._routes.find(head.flow.route_ip, head.flow.route_port)
        if route is None:
            return self._refuse(head.flow, "no route")
        if flow is not None:
            self._end_flow(flow)
        server = self._place(route.choose_service(self._random), (), now)
        if server is None:
            return self._refuse(head.flow, "no server")
        label = derive_label(server.name, server.incarnation)
        flow = PacketFlow(head.flow, server, label, True, now, now, waiting_since=now)
        flow.first_sequence = head.sequence
        self._add_flow(flow)
        log_placement(LogEvent.FLOW_PLACED, flow, self._routes, self.list, now)
        return Forward(server, label)

    def _repeat_opening(self, flow: PacketFlow, now: float) -> PacketAction:
        """Sends a copy of an opening packet on, to another server if the first is silent."""
        flow.active_at = now
        server = flow.server
        answered = server.responsiveness.answered_at >= flow.waiting_since
        soon = now - flow.waiting_since < self._settings.placement.copy_seconds
        if soon or (answered and server.accepts_work):
            return Forward(server, flow.label)
        self._note_unanswered(server, flow.waiting_since, now)
        other = self._place(server.service, (*flow.tried, server), now)
        if other is None or other is server:
            return Forward(server, flow.label)
        self._end_flow(flow)
        flow.tried = (*flow.tried, server)
        flow.server = other
        flow.label = derive_label(other.name, other.incarnation)
        flow.waiting_since = now
        self._add_flow(flow)
        log_placement(LogEvent.FLOW_MOVED, flow, self._routes, self.list, now)
        return Forward(other, flow.label)

    def _place(
        self, service: str, avoided: tuple[BackendServer, ...], now: float
    ) -> BackendServer | None:
        return choose_for_opening(
            self.list.servers.of_service(service),
            avoided,
            self._settings.zone,
            now,
            self._settings.placement,
            self._random,
        )

    def _continue_flow(self, head: PacketHead, now: float) -> PacketAction:
        flow = self._flows.get(head.flow)
        if flow is not None and flow.opening:
            self._settle_opening(flow, head, now)
        if flow is None or not flow.knows_label(head.label):
            if flow is not None:
                self._end_flow(flow)
            flow = self._adopt_flow(head, now)
            if flow is None:
                return self._judge_unknown(head, now)
        server = flow.server
        rounds = flow.rounds.count
        waiting_since = flow.waiting_since
        if flow.note_packet(head, now):
            self._note_answer(flow, waiting_since, now)
        elif flow.rounds.count > rounds:
            self._note_unanswered(server, flow.waiting_since, now)
        self._update_request(flow)
        if self._is_dead(flow, now):
            self._end_flow(flow)
            log_dead_server(flow, self.list, self._losses.is_lossy(now), now)
            return ResetFlow("server is dead")
        if head.aborts:
            self._end_flow(flow)
        elif head.closes and not flow.closing:
            flow.closing = True
            server.open_flows -= 1
        return Forward(server, flow.label)

    def _is_dead(self, flow: PacketFlow, now: float) -> bool:
        server = flow.server
        return is_dead(
            server.responsiveness,
            Standing(server.unlisted_since, server.gone),
            flow.rounds.count,
            self._losses.is_lossy(now),
            now,
            self._settings.silence,
        )

    def _adopt_flow(self, head: PacketHead, now: float) -> PacketFlow | None:
        """Takes a flow that another entry VM placed, by its label."""
        server = self.list.labels.find(head.label)
        if server is None:
            return None
        flow = PacketFlow(head.flow, server, head.label, False, now, now)
        flow.start_at(head)
        self._add_flow(flow)
        log_event(logger, LogEvent.FLOW_ADOPTED, flow=str(head.flow), server=server.name)
        return flow

    def _settle_opening(self, flow: PacketFlow, head: PacketHead, now: float) -> None:
        """Fixes the server of a flow: the one whose answer the caller took.

        An opening packet may have gone to several servers. The label names the one that answered
        last before the caller sent this packet.
        """
        self.opening_latencies.observe(now - flow.opened_at)
        if head.label == flow.label:
            return
        server = self.list.labels.find(head.label)
        if server is None or server not in flow.tried:
            return
        self._end_flow(flow)
        flow.tried = (*flow.tried, flow.server)
        flow.server = server
        flow.label = head.label
        self._add_flow(flow)

    def _judge_unknown(self, head: PacketHead, now: float) -> PacketAction:
        """Decides about a packet whose label names no server that was ever listed here."""
        if self._routes.find(head.flow.route_ip, head.flow.route_port) is None:
            return self._refuse(head.flow, "no route")
        first_seen = self._unknown_labels.setdefault(head.label, now)
        if len(self._unknown_labels) > MAX_UNKNOWN_LABELS:
            del self._unknown_labels[next(iter(self._unknown_labels))]
        if not self.ready or not self.list.settled(first_seen):
            return self._drop("label not listed yet")
        return self._refuse(head.flow, "label of no server")

    def _note_answer(self, flow: PacketFlow, waiting_since: float | None, now: float) -> None:
        server = flow.server
        if waiting_since is not None:
            self.answer_latencies.observe(now - waiting_since)
        if server.responsiveness.unanswered:
            self._losses.note_loss(now)
            log_event(logger, LogEvent.SERVER_ANSWERS, server=server.name)
        server.responsiveness.note_answer(now)

    def _note_unanswered(self, server: BackendServer, waiting_since: float, now: float) -> None:
        evidence = server.responsiveness
        doubted = evidence.doubted_until > now
        evidence.note_unanswered(waiting_since, now, self._settings.silence.doubt_seconds)
        if not doubted and evidence.doubted_until > now:
            log_silence(server, waiting_since, now)

    def _update_request(self, flow: PacketFlow) -> None:
        """Counts a flow as a request in progress while an answer is awaited."""
        busy = flow.opening or flow.waiting_since is not None
        if busy and not flow.counted:
            flow.counted = True
            flow.server.in_progress += 1
        elif not busy and flow.counted:
            flow.counted = False
            flow.server.in_progress -= 1

    def _add_flow(self, flow: PacketFlow) -> None:
        evicted = self._flows.add(flow)
        if evicted is not None:
            self._discount(evicted)
        flow.server.open_flows += 1
        self._update_request(flow)

    def _end_flow(self, flow: PacketFlow) -> None:
        if self._flows.remove(flow.key) is not None:
            self._discount(flow)

    def _discount(self, flow: PacketFlow) -> None:
        if not flow.closing:
            flow.server.open_flows -= 1
        if flow.counted:
            flow.counted = False
            flow.server.in_progress -= 1

    def _reset_flows_of_dead_servers(self, now: float) -> list[FlowReset]:
        resets = []
        for flow in list(self._flows):
            if flow.opening or flow.waiting_since is None:
                continue
            if self._is_dead(flow, now):
                self._end_flow(flow)
                log_dead_server(flow, self.list, self._losses.is_lossy(now), now)
                resets.append(FlowReset(flow.key, flow.acknowledged))
        return resets

    def _forget_old_flows(self, now: float) -> None:
        longest = self._settings.flow_max_seconds
        idle = min(longest, self._routes.idle_timeout if self._routes else longest)
        for flow in list(self._flows):
            limit = CLOSED_FLOW_SECONDS if flow.closing else idle
            if now - flow.active_at > limit or now - flow.opened_at > longest:
                self._end_flow(flow)
        for label, first_seen in list(self._unknown_labels.items()):
            if now - first_seen > longest:
                del self._unknown_labels[label]

    def _void_evidence(self, now: float) -> None:
        """Drops evidence of silence after this process stood still: it had sent nothing itself."""
        for server in self.list.servers.values():
            server.responsiveness.forgive()
        for flow in self._flows:
            flow.rounds.clear()
            if flow.waiting_since is not None:
                flow.waiting_since = now
        stood_still = round(now - self._ticked_at, 3)
        log_event(logger, LogEvent.EVIDENCE_VOID, stood_still_seconds=stood_still)

    def _refuse(self, flow: FlowKey, reason: str) -> ResetFlow:
        log_event(
            logger,
            LogEvent.FLOW_RESET,
            flow=str(flow),
            reason=reason,
            routes=self._routes.version,
            revision=self.list.revision,
        )
        return ResetFlow(reason)

    def _drop(self, reason: str) -> DropPacket:
        log_event(logger, LogEvent.FLOW_DROPPED, reason=reason)
        return DropPacket(reason)
