"""Request load of callers over opaque flows, with the retries that the protocol allows."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .deployments import Traffic
from .packet_callers import AttemptOutcome, CallerFlow, PacketCaller
from .packet_servers import SLOTS
from .packet_worlds import ROUTE_IP, PacketWorld

MAX_RETRIES = 2
# Fraction of the idempotent requests that reuse open flows; each other request opens its own.
KEPT_OPEN_SHARE = 0.6
# Flows opened in each zone at the port that moves between services.
MOVED_PORT_FLOWS_PER_SECOND = 4.0


@dataclass(slots=True)
class PacketRequest:
    """One request of a caller, including its retries.

    Attributes:
        idle_flows: open flows that requests of this kind reuse; None if each opens its own flow.
        attempts: number of attempts before the current one.
    """

    name: str
    kind: str
    port: int
    idempotent: bool
    created_at: float
    caller: PacketCaller
    idle_flows: list[CallerFlow] | None
    attempts: int = 0


class PacketTraffic:
    """Generates an open-loop request load: its rate does not depend on earlier outcomes.

    Args:
        load: offered load as a fraction of the capacity of all slots.
        deadline_seconds: time after which a caller stops waiting for an answer.
        end_at: time on the virtual clock after which no request is created.
        on_end: called when a request ends, with whether it was answered.

    Attributes:
        ends: number of attempts with each outcome.
    """

    def __init__(
        self,
        world: PacketWorld,
        load: float,
        deadline_seconds: float,
        end_at: float,
        on_end: Callable[[PacketRequest, bool], None],
    ):
        self.ends: Counter[str] = Counter()
        self._world = world
        self._load = load
        self._deadline_seconds = deadline_seconds
        self._end_at = end_at
        self._on_end = on_end
        self._request_count = 0

    def start(self) -> None:
        """Starts generating requests."""
        deployment = self._world.deployment
        zones = self._world.callers.values()
        work_seconds = self._world.settings.work_seconds
        rates = deployment.request_rates(self._load, lambda _service: SLOTS, work_seconds)
        for traffic, rate in rates.items():
            for callers in zones:
                for caller in callers:
                    self._schedule_requests(traffic, caller, rate / len(callers) / len(zones))
        moved_port = max(self._world.ports.values()) + 1
        for callers in zones:
            self._open_at_moved_port(callers[0], moved_port)

    def _schedule_requests(self, traffic: Traffic, caller: PacketCaller, rate: float) -> None:
        world = self._world
        idle_flows: list[CallerFlow] = []
        idempotent = world.deployment.is_idempotent(traffic)
        port = world.ports[traffic.service]

        def create_request() -> None:
            if world.now >= self._end_at:
                return
            world.after(world.random.expovariate(rate), create_request)
            reusable = idempotent or world.settings.keep_all_open
            keep_open = reusable and world.random.random() < KEPT_OPEN_SHARE
            self._request_count += 1
            name = f"{traffic.kind}-{self._request_count}"
            self._start_request(
                PacketRequest(
                    name,
                    traffic.kind,
                    port,
                    idempotent,
                    world.now,
                    caller,
                    idle_flows if keep_open else None,
                )
            )

        world.after(world.random.expovariate(rate), create_request)

    def _start_request(self, request: PacketRequest) -> None:
        flow = request.idle_flows.pop() if request.idle_flows else None
        if flow is not None and flow.reset_at is None:
            self._send(request, flow)
        else:
            self._open(request)

    def _open(self, request: PacketRequest) -> None:
        flow = request.caller.new_flow(ROUTE_IP, request.port)

        def on_opened(success: bool) -> None:
            if success:
                self._send(request, flow)
            else:
                self._end_attempt(request, flow, AttemptOutcome.NEVER_OPENED)

        request.caller.open(flow, on_opened)

    def _send(self, request: PacketRequest, flow: CallerFlow) -> None:
        text = f"{request.name}.{request.attempts}"
        self._world.checker.on_request_sent(text, request.idempotent)

        def on_outcome(outcome: AttemptOutcome) -> None:
            if outcome is AttemptOutcome.ANSWERED:
                self._world.checker.on_answer(text, flow.answer)
            self._end_attempt(request, flow, outcome)

        deadline = request.created_at + self._deadline_seconds
        request.caller.send_request(flow, text, deadline, on_outcome)

    def _end_attempt(
        self, request: PacketRequest, flow: CallerFlow, outcome: AttemptOutcome
    ) -> None:
        self.ends[outcome.value] += 1
        answered = outcome is AttemptOutcome.ANSWERED
        if answered and request.idle_flows is not None:
            request.idle_flows.append(flow)
        else:
            request.caller.close(flow)
        if not answered and self._may_retry(request, outcome):
            request.attempts += 1
            self._open(request)
        else:
            self._on_end(request, answered)

    def _may_retry(self, request: PacketRequest, outcome: AttemptOutcome) -> bool:
        not_run = outcome in (AttemptOutcome.NEVER_OPENED, AttemptOutcome.TURNED_AWAY)
        in_time = self._world.now - request.created_at < self._deadline_seconds
        return in_time and request.attempts < MAX_RETRIES and (request.idempotent or not_run)

    def _open_at_moved_port(self, caller: PacketCaller, port: int) -> None:
        """Opens flows at the port that moves between services; they carry no requests."""
        world = self._world
        if world.now >= self._end_at:
            return
        if port in world.catalogue.history[-1].services:
            flow = caller.new_flow(ROUTE_IP, port)
            caller.open(flow, lambda _opened: caller.close(flow))
        delay = world.random.expovariate(MOVED_PORT_FLOWS_PER_SECOND)
        world.after(delay, partial(self._open_at_moved_port, caller, port))
