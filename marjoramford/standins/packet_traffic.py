"""Requests of callers over opaque flows, with the tries that the protocol allows."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .deployments import Traffic
from .packet_callers import CallerFlow, FlowEnd, PacketCaller
from .packet_servers import SLOTS
from .packet_worlds import ROUTE_IP, PacketWorld

MAX_RETRIES = 2
# Part of the idempotent requests that go over flows kept open; the rest opens a flow each.
KEPT_SHARE = 0.6
# How often a second the port that changes its service is tried in each zone.
PROBES_PER_SECOND = 4.0


@dataclass(slots=True)
class PacketRequest:
    """One request of a caller, over all its tries.

    Attributes:
        idle: flows kept open for requests like this one; None if it has a flow of its own.
        tries: tries before the present one.
    """

    name: str
    kind: str
    port: int
    idempotent: bool
    asked_at: float
    caller: PacketCaller
    idle: list[CallerFlow] | None
    tries: int = 0


class PacketTraffic:
    """Offers requests until a moment, whatever becomes of those before.

    Args:
        load: offered work as a share of what the slots can do.
        deadline_seconds: a caller waits no longer for an answer.
        end: no request is made after this moment.
        on_end: is told of each request's end, and whether it was answered.

    Attributes:
        ends: how tries ended.
    """

    def __init__(
        self,
        world: PacketWorld,
        load: float,
        deadline_seconds: float,
        end: float,
        on_end: Callable[[PacketRequest, bool], None],
    ):
        self.ends: Counter[str] = Counter()
        self._world = world
        self._load = load
        self._deadline_seconds = deadline_seconds
        self._end = end
        self._on_end = on_end
        self._asked = 0

    def start(self) -> None:
        """Starts offering."""
        deployment = self._world.deployment
        zones = self._world.callers.values()
        work_seconds = self._world.settings.work_seconds
        rates = deployment.request_rates(self._load, lambda _service: SLOTS, work_seconds)
        for traffic, rate in rates.items():
            for callers in zones:
                for caller in callers:
                    self._offer(traffic, caller, rate / len(callers) / len(zones))
        moved = max(self._world.ports.values()) + 1
        for callers in zones:
            self._probe_moved_port(callers[0], moved)

    def _offer(self, traffic: Traffic, caller: PacketCaller, rate: float) -> None:
        world = self._world
        idle: list[CallerFlow] = []
        idempotent = world.deployment.is_idempotent(traffic)
        port = world.ports[traffic.service]

        def offer_one() -> None:
            if world.now >= self._end:
                return
            world.after(world.random.expovariate(rate), offer_one)
            kept = idempotent and world.random.random() < KEPT_SHARE
            self._asked += 1
            name = f"{traffic.kind}-{self._asked}"
            self._ask(
                PacketRequest(
                    name, traffic.kind, port, idempotent, world.now, caller, idle if kept else None
                )
            )

        world.after(world.random.expovariate(rate), offer_one)

    def _ask(self, request: PacketRequest) -> None:
        flow = request.idle.pop() if request.idle else None
        if flow is not None and flow.reset_at is None:
            self._send(request, flow)
        else:
            self._open(request)

    def _open(self, request: PacketRequest) -> None:
        flow = request.caller.new_flow(ROUTE_IP, request.port)

        def opened(success: bool) -> None:
            if success:
                self._send(request, flow)
            else:
                self._end_try(request, flow, FlowEnd.NEVER_OPENED)

        request.caller.open(flow, opened)

    def _send(self, request: PacketRequest, flow: CallerFlow) -> None:
        text = f"{request.name}.{request.tries}"
        self._world.judge.note_asked(text, request.idempotent)

        def ended(end: FlowEnd) -> None:
            if end is FlowEnd.ANSWERED:
                self._world.judge.note_answer(text, flow.answer)
            self._end_try(request, flow, end)

        deadline = request.asked_at + self._deadline_seconds
        request.caller.request(flow, text, deadline, ended)

    def _end_try(self, request: PacketRequest, flow: CallerFlow, end: FlowEnd) -> None:
        self.ends[end.value] += 1
        answered = end is FlowEnd.ANSWERED
        if answered and request.idle is not None:
            request.idle.append(flow)
        else:
            request.caller.close(flow)
        if not answered and self._may_retry(request, end):
            request.tries += 1
            self._open(request)
        else:
            self._on_end(request, answered)

    def _may_retry(self, request: PacketRequest, end: FlowEnd) -> bool:
        not_run = end in (FlowEnd.NEVER_OPENED, FlowEnd.TURNED_AWAY)
        in_time = self._world.now - request.asked_at < self._deadline_seconds
        return in_time and request.tries < MAX_RETRIES and (request.idempotent or not_run)

    def _probe_moved_port(self, caller: PacketCaller, port: int) -> None:
        """Opens flows at the port that moves between services; they earn nothing."""
        world = self._world
        if world.now >= self._end:
            return
        if port in world.catalogue.history[-1].services:
            flow = caller.new_flow(ROUTE_IP, port)
            caller.open(flow, lambda _opened: caller.close(flow))
        pause = world.random.expovariate(PROBES_PER_SECOND)
        world.after(pause, partial(self._probe_moved_port, caller, port))
