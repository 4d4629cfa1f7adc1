"""The life of a request at the coordinator of its flow: queueing, dispatch, retries and outcome.

Only the coordinator of a flow decides on its requests, so that no request is dispatched by two
entry VMs.
"""

import heapq
import logging
import math
from collections import Counter
from dataclasses import dataclass

from ..shared.addresses import Address
from ..shared.backend_servers import BackendServer
from ..shared.logs import LogEvent, log_event
from ..shared.records import KindRules
from .actions import Action, CancelDispatch, Dispatch, SendToCaller
from .budgets import RetryBudget
from .choosers import ChoiceContext, choose
from .events import AnswerReceived, BrokenOff, DispatchEnded, DispatchOutcome, ProvedNotRun
from .invariants import Invariant
from .limits import LimitRequest, Resource
from .messages import (
    ANSWER_PIECE_BYTES,
    MAX_ANSWER_PIECES,
    MAX_REQUEST_BODY_BYTES,
    CoordinatorLost,
    OutcomeUnknown,
    Request,
    encode,
)
from .nodes import Node
from .outcomes import final_datagrams
from .queues import CLASS_RANKS, WaitingQueue
from .requests import (
    Answered,
    Dispatched,
    FinalState,
    Flow,
    NewRequest,
    Refused,
    RequestRecord,
    Retransmission,
    StaleNumber,
    Unknown,
    Waiting,
)
from .tokens import Token

logger = logging.getLogger(__name__)

MIN_SHED_BACKOFF_SECONDS = 0.005
MAX_SHED_BACKOFF_SECONDS = 1.0
# First backoff after a shed request, as a share of the mean time until the server frees a slot.
# The backoff doubles with each further shed request before the next answer, up to
# `MAX_SHED_DOUBLINGS` times. It is varied by up to half (jitter) and kept within the bounds above.
SHED_BACKOFF_FACTOR = 0.25
UNREACHABLE_BACKOFF_SECONDS = 0.5
MIN_RETRY_DELAY_SECONDS = 0.5
LEFT_REASON = "entry VM has left"


@dataclass(frozen=True, slots=True)
class _RunningDispatch:
    record: RequestRecord
    server: BackendServer


class RequestCoordinator:
    """Queues, dispatches, retries and completes the requests of the flows coordinated here."""

    def __init__(self, node: Node):
        self._node = node
        self._queues: dict[str, WaitingQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._running: dict[int, _RunningDispatch] = {}
        self._running_by_service: Counter[str] = Counter()
        self._timers: list[tuple[float, int, int]] = []
        self._last_dispatch = 0
        self._closed = False

    @property
    def running_count(self) -> int:
        """Number of requests dispatched to backend servers that have not ended."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Number of requests queued for a backend server."""
        return sum(len(queue) for queue in self._queues.values())

    def running_count_by_service(self, service: str) -> int:
        """Returns how many requests of a service are dispatched and have not ended."""
        return self._running_by_service[service]

    def next_due_at(self, now: float) -> float:
        """Returns the time of the next timer, in epoch seconds; infinity if there is none.

        Timers are the deadlines of requests, the times at which their records are removed and,
        while requests are queued, the times at which servers in backoff accept requests again.
        """
        due_times = [self._timers[0][0]] if self._timers else []
        for service, queue in self._queues.items():
            if len(queue):
                servers = self._node.servers.candidates(service, now)
                due_times += [s.closed_until for s in servers if s.closed_until > now]
        return min(due_times, default=float("inf"))

    def handle_request(
        self, token: Token, request: Request, caller: Address, now: float
    ) -> list[Action]:
        """Handles a request of a flow that is coordinated here.

        A new request is dispatched, queued or refused. A retransmission gets the final state
        again if there is one, and otherwise no reply. A stale number gets `OutcomeUnknown`; while
        the flow is frozen for a hand-over no reply, and `CoordinatorLost` if it was abandoned.
        """
        flow = self._node.flows.get(token.flow)
        if flow is None:
            return [SendToCaller(caller, encode(CoordinatorLost(token.flow)))]
        node = self._node
        is_coordinator = node.coordinates_for(token.coordinator)
        node.invariants.check(is_coordinator, Invariant.COORDINATOR_DECIDES, token.coordinator)
        match flow.admit(request.number):
            case Retransmission(record):
                return self._final_state_actions(record) if record.is_final else []
            case StaleNumber() if flow.is_abandoned:
                return [SendToCaller(caller, encode(CoordinatorLost(token.flow)))]
            case StaleNumber() if flow.is_frozen:
                return []
            case StaleNumber():
                reply = OutcomeUnknown(token.flow, request.number, "number was used before")
                return [SendToCaller(caller, encode(reply))]
            case NewRequest():
                return self._accept(flow, token, request, caller, now)

    def end_dispatch(self, event: DispatchEnded, now: float) -> list[Action]:
        """Applies the outcome of a dispatch to its server and its request.

        Afterwards dispatches queued requests of the service, since a slot of the server is free.
        The outcome of a cancelled dispatch is counted as late and otherwise ignored.
        """
        running = self._running.pop(event.dispatch, None)
        if running is None:
            self._node.counters["late_outcomes"] += 1
            return []
        record = running.record
        running.server.end_request(now)
        self._running_by_service[record.service] -= 1
        self._update_server(running, event.outcome, now)
        actions = self._update_request(record, event.outcome, now)
        return actions + self.dispatch_waiting(record.service, now)

    def close(self, now: float) -> list[Action]:
        """Dispatches nothing from now on, since the process exits soon; gives up queued requests.

        Running requests go on, and their answers are delivered until `cancel_running`.
        """
        self._closed = True
        actions: list[Action] = []
        for queue in self._queues.values():
            actions += self._give_up_queue(queue, now)
        return actions

    def cancel_running(self, now: float) -> list[Action]:
        """Gives up the requests that still run, since the process exits; they end as unknown."""
        actions: list[Action] = []
        for running in list(self._running.values()):
            actions += self._cancel(running.record, now)
            actions += self._finish(running.record, Unknown(LEFT_REASON))
        return actions

    def schedule_record_expiry(self, flow_number: int, now: float) -> None:
        """Schedules the removal of the records that came with an adopted flow."""
        flow = self._node.flows.get(flow_number)
        for record in flow.records() if flow else ():
            heapq.heappush(self._timers, (max(record.deadline, now), flow_number, record.number))

    def tick(self, now: float) -> list[Action]:
        """Ends overdue requests, removes expired records and dispatches queued requests."""
        actions: list[Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, flow_number, request_number = heapq.heappop(self._timers)
            actions += self._expire(flow_number, request_number, now)
        for service, queue in self._queues.items():
            if len(queue):
                actions += self.dispatch_waiting(service, now)
        return actions

    def dispatch_waiting(self, service: str, now: float) -> list[Action]:
        """Dispatches queued requests of a service until no server accepts another one.

        Requests that wait for their sticky server are passed over and keep their places.
        """
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return []
        if self._is_closed(service, now):
            return self._give_up_queue(queue, now)
        actions = self._give_up_late(queue, service, now)
        passed_over: list[RequestRecord] = []
        while (record := queue.pop()) is not None:
            if self._awaits_sticky_server(record, now):
                passed_over.append(record)
                continue
            dispatch = self._try_dispatch(record, now)
            if dispatch is None:
                passed_over.append(record)
                break
            actions.append(dispatch)
        for record in reversed(passed_over):
            queue.push(record, at_front=True)
        return actions

    def _accept(
        self, flow: Flow, token: Token, request: Request, caller: Address, now: float
    ) -> list[Action]:
        rules = self._rules(token.service, request.kind)
        latest_deadline = now + self._node.settings.times.max_request
        deadline = request.deadline if math.isfinite(request.deadline) else now
        record = RequestRecord(
            flow=token.flow,
            number=request.number,
            service=token.service,
            kind=request.kind,
            idempotent=rules.idempotent,
            deadline=min(deadline, latest_deadline),
            body=request.body,
            caller=caller,
            state=Waiting(now),
            sticky_server=token.server if rules.sticky else "",
            priority=rules.priority,
        )
        flow.add_record(record)
        heapq.heappush(self._timers, (max(record.deadline, now), token.flow, request.number))
        self._node.counters["requests"] += 1
        if deadline <= now:
            return self._give_up(record, "deadline has passed", now)
        if len(request.body) > MAX_REQUEST_BODY_BYTES:
            return self._give_up(record, "body is too long", now)
        if self._is_closed(record.service, now):
            return self._give_up(record, LEFT_REASON, now)
        self._budget(record.service).deposit()
        return self._dispatch_or_queue(record, now)

    def _is_closed(self, service: str, now: float) -> bool:
        """Whether a request of a service that starts now may outlast the planned stop.

        The exit would cut it off, and its caller could not tell whether it ran.
        """
        if self._closed or self._node.draining_until is None:
            return self._closed
        exit_at = self._node.draining_until + self._node.settings.times.drain_linger
        return now + self._node.servers.request_durations(service).upper_bound_seconds > exit_at

    def _give_up_queue(self, queue: WaitingQueue, now: float) -> list[Action]:
        actions: list[Action] = []
        while (record := queue.pop()) is not None:
            actions += self._give_up(record, LEFT_REASON, now)
        return actions

    def _rules(self, service: str, kind: str) -> KindRules:
        entry = self._node.catalogue.get(service)
        rules = entry.kind(kind) if entry else None
        return rules or KindRules(kind)

    def _dispatch_or_queue(self, record: RequestRecord, now: float) -> list[Action]:
        queue = self._queue(record.service)
        if all(self._awaits_sticky_server(waiting, now) for waiting in queue.waiting()):
            dispatch = self._try_dispatch(record, now)
            if dispatch is not None:
                return [dispatch]
        if now + self._expected_wait_seconds(record, now) > self._latest_start_at(record):
            return self._give_up(record, "deadline cannot be met", now)
        if len(queue) >= self._node.settings.load.max_waiting_per_service:
            return self._give_up(record, "queue is full", now)
        queue.push(record)
        return self._give_up_infeasible(queue, record.service, now) + self._enforce_waiting_limit(
            now
        )

    def _expected_wait_seconds(self, record: RequestRecord, now: float) -> float:
        mean_duration_seconds = self._node.servers.request_durations(record.service).mean_seconds
        return self._queue(record.service).expected_wait_seconds(
            record.priority, mean_duration_seconds, now
        )

    def _give_up_late(self, queue: WaitingQueue, service: str, now: float) -> list[Action]:
        """Gives up queued requests whose deadline leaves too little time to execute them.

        They end as refused, or as unknown if an earlier dispatch may have run them.
        """
        durations = self._node.servers.request_durations(service)
        return self._give_up_all(queue.drop_late(durations.upper_bound_seconds, now), now)

    def _give_up_infeasible(self, queue: WaitingQueue, service: str, now: float) -> list[Action]:
        """Gives up queued requests that can no longer start in time behind more urgent ones.

        They end as refused, or as unknown if an earlier dispatch may have run them. They end at
        once and not at their deadline, so that the caller can retry early.
        """
        durations = self._node.servers.request_durations(service)
        return self._give_up_all(
            queue.drop_infeasible(durations.upper_bound_seconds, durations.mean_seconds, now), now
        )

    def _give_up_all(self, records: list[RequestRecord], now: float) -> list[Action]:
        actions: list[Action] = []
        for record in records:
            actions += self._give_up(record, "deadline cannot be met", now)
        return actions

    def _latest_start_at(self, record: RequestRecord) -> float:
        """Returns by when a request must be dispatched to be answered before its deadline.

        Assumes that its execution takes the service's upper bound of request durations.
        """
        return (
            record.deadline
            - self._node.servers.request_durations(record.service).upper_bound_seconds
        )

    def _enforce_waiting_limit(self, now: float) -> list[Action]:
        """Gives up one request if more than `max_waiting` are queued for all services together.

        It is the last one in the longest queue of the least urgent service class.
        """
        if self.waiting_count <= self._node.settings.load.max_waiting:
            return []
        queues = [queue for queue in self._queues.values() if len(queue)]
        least_urgent_queue = max(queues, key=lambda queue: (queue.class_rank, len(queue)))
        dropped = least_urgent_queue.drop_last()
        return self._give_up(dropped, "entry VM is overloaded", now) if dropped else []

    def _try_dispatch(self, record: RequestRecord, now: float) -> Dispatch | None:
        """Dispatches a request; returns None if the limit is reached or no server accepts it.

        If the service's limit is reached, a larger share is requested with the next gossip.
        """
        node = self._node
        available = self._available_load(record.service, now)
        if self._running_by_service[record.service] >= available:
            node.request_limit(
                LimitRequest(record.service, Resource.LOAD, 1 + len(self._queue(record.service)))
            )
            return None
        server = self._choose_server(record, now)
        if server is None:
            return None
        is_same_service = server.service == record.service
        node.invariants.check(
            is_same_service, Invariant.SAME_SERVICE, (record.service, server.name)
        )
        self._last_dispatch += 1
        record.dispatch(server.name, self._last_dispatch, now, node.invariants)
        self._running[self._last_dispatch] = _RunningDispatch(record, server)
        server.start_request(now)
        self._running_by_service[record.service] += 1
        is_within_limit = self._running_by_service[record.service] <= available
        node.invariants.check(is_within_limit, Invariant.LIMIT_HELD, record.service)
        node.counters["dispatches"] += 1
        return Dispatch(
            self._last_dispatch,
            server.http_address,
            record.service,
            server.name,
            server.incarnation,
            record.flow,
            record.number,
            record.kind,
            record.deadline,
            record.body,
        )

    def _available_load(self, service: str, now: float) -> float:
        """Returns how many requests of a service may run at a time from this entry VM.

        There is no limit while the service is missing from the local catalogue.
        """
        entry = self._node.catalogue.get(service)
        if entry is None:
            return float("inf")
        return self._node.limits.available(service, Resource.LOAD, entry.max_load, now)

    def _choose_server(self, record: RequestRecord, now: float) -> BackendServer | None:
        node = self._node
        if record.deadline <= now:
            return None
        sticky = self._usable_sticky_server(record, now)
        if sticky is not None:
            return sticky if sticky.is_open(now) else None
        candidates = node.servers.sample_candidates(record.service, node.random, now)
        servers = [server for server in candidates if server.is_open(now)]
        if not servers:
            return None
        report_lifetime_seconds = node.servers.request_durations(
            record.service
        ).report_lifetime_seconds
        key = f"{record.flow}/{record.number}"
        context = ChoiceContext(key, node.own.zone, report_lifetime_seconds, now)
        return choose(node.policy, servers, context, node.random)

    def _usable_sticky_server(self, record: RequestRecord, now: float) -> BackendServer | None:
        """Returns the only server that may get a sticky request now; None if any may get it.

        A sticky request waits until its server is open instead of running on another one.
        """
        if not record.sticky_server:
            return None
        server = self._node.servers.get(record.sticky_server)
        if server is None or not server.accepts_work or server.ejected_until > now:
            return None
        return server

    def _awaits_sticky_server(self, record: RequestRecord, now: float) -> bool:
        server = self._usable_sticky_server(record, now)
        return server is not None and not server.is_open(now)

    def _update_server(
        self, running: _RunningDispatch, outcome: DispatchOutcome, now: float
    ) -> None:
        server = running.server
        servers = self._node.servers
        match outcome:
            case AnswerReceived():
                server.record_answer()
                self._queue(running.record.service).record_completion(now)
                if isinstance(running.record.state, Dispatched):
                    duration_seconds = now - running.record.state.sent_at
                    servers.request_durations(server.service).record(duration_seconds)
            case ProvedNotRun(draining=True):
                server.start_leaving("refusal")
            case ProvedNotRun(mismatch=True):
                servers.mark_gone(server)
            case ProvedNotRun(unreachable=True):
                server.record_failure()
                server.closed_until = now + UNREACHABLE_BACKOFF_SECONDS
                servers.eject_if_failing(server, now)
            case ProvedNotRun(expired=True):
                pass
            case ProvedNotRun():
                age_seconds = now - server.reported_at
                report_is_current = (
                    age_seconds < servers.request_durations(server.service).report_lifetime_seconds
                )
                server.record_shed(now + self._shed_backoff_seconds(server), report_is_current)
            case BrokenOff():
                server.record_failure()
                servers.eject_if_failing(server, now)

    def _shed_backoff_seconds(self, server: BackendServer) -> float:
        seconds_per_free_slot = self._node.servers.request_durations(
            server.service
        ).mean_seconds / max(1, server.slots)
        base_seconds = seconds_per_free_slot * SHED_BACKOFF_FACTOR * 2**server.sheds
        backoff_seconds = base_seconds * self._node.random.uniform(0.5, 1.5)
        return min(max(backoff_seconds, MIN_SHED_BACKOFF_SECONDS), MAX_SHED_BACKOFF_SECONDS)

    def _update_request(
        self, record: RequestRecord, outcome: DispatchOutcome, now: float
    ) -> list[Action]:
        match outcome:
            case AnswerReceived(body=body) if len(body) <= ANSWER_PIECE_BYTES * MAX_ANSWER_PIECES:
                return self._finish(record, Answered(body))
            case AnswerReceived():
                return self._finish(record, Unknown("answer is too long"))
            case ProvedNotRun():
                record.requeue(now)
                in_time = record.deadline > now
                at_once = in_time and self._budget(record.service).try_spend()
                return self._retry(record, now, at_once)
            case BrokenOff(reason=reason):
                if not record.idempotent or not self._budget(record.service).try_spend():
                    return self._finish(record, Unknown(reason))
                record.requeue_after_break(now)
                return self._retry(record, now, at_once=True)

    def _retry(self, record: RequestRecord, now: float, at_once: bool) -> list[Action]:
        if record.deadline <= now:
            return self._give_up(record, "deadline has passed", now)
        if self._is_closed(record.service, now):
            return self._give_up(record, LEFT_REASON, now)
        if at_once:
            dispatch = self._try_dispatch(record, now)
            if dispatch is not None:
                return [dispatch]
        self._queue(record.service).push(record, at_front=True)
        return []

    def _expire(self, flow_number: int, request_number: int, now: float) -> list[Action]:
        """Handles a timer of a request: its deadline, or the removal time of its record.

        At the deadline an unfinished request is cancelled and given up. The record is removed
        `clock_error` after the deadline.
        """
        flow = self._node.flows.get(flow_number)
        record = flow.get_record(request_number) if flow else None
        if flow is None or record is None:
            return []
        remove_at = record.deadline + self._node.settings.times.clock_error
        if record.is_final and remove_at <= now:
            flow.drop_record(request_number)
            return []
        heapq.heappush(self._timers, (remove_at, flow_number, request_number))
        if record.is_final:
            return []
        actions = self._cancel(record, now)
        return actions + self._give_up(record, "deadline has passed", now)

    def _cancel(self, record: RequestRecord, now: float) -> list[Action]:
        match record.state:
            case Dispatched(dispatch=dispatch):
                running = self._running.pop(dispatch)
                running.server.end_request(now)
                self._running_by_service[record.service] -= 1
                return [CancelDispatch(dispatch)]
            case _:
                return []

    def _give_up(self, record: RequestRecord, reason: str, now: float) -> list[Action]:
        retry_at = now + max(self._expected_wait_seconds(record, now), MIN_RETRY_DELAY_SECONDS)
        record.give_up(reason, retry_at, self._node.invariants)
        return self._report_final_state(record)

    def _finish(self, record: RequestRecord, final: FinalState) -> list[Action]:
        record.finish(final, self._node.invariants)
        return self._report_final_state(record)

    def _report_final_state(self, record: RequestRecord) -> list[Action]:
        match record.state:
            case Answered():
                self._node.counters["requests_answered"] += 1
            case Refused(reason=reason):
                self._node.counters["requests_refused"] += 1
                log_event(logger, LogEvent.REQUEST_REFUSED, flow=record.flow, reason=reason)
            case Unknown(reason=reason):
                self._node.counters["requests_unknown"] += 1
                log_event(logger, LogEvent.REQUEST_UNKNOWN, flow=record.flow, reason=reason)
        return self._final_state_actions(record)

    def _final_state_actions(self, record: RequestRecord) -> list[Action]:
        return [SendToCaller(record.caller, payload) for payload in final_datagrams(record)]

    def _queue(self, service: str) -> WaitingQueue:
        queue = self._queues.get(service)
        entry = self._node.catalogue.get(service)
        rank = CLASS_RANKS[entry.service_class if entry else "standard"]
        if queue is None:
            queue = WaitingQueue(rank)
            self._queues[service] = queue
        queue.class_rank = rank
        return queue

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            load = self._node.settings.load
            budget = RetryBudget(load.retry_share, load.retry_burst)
            self._budgets[service] = budget
        return budget
