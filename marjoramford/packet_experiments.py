"""Long randomised runs of opaque flows on the emulated platform, measured as JSON."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from .standins.deployments import Deployment, Traffic
from .standins.packet_callers import CallerFlow, FlowEnd, PacketCaller
from .standins.packet_faults import PACKET_FAULT_SETS, PacketFault, strike
from .standins.packet_judges import PacketFindings
from .standins.packet_servers import SLOTS
from .standins.packet_worlds import ROUTE_IP, PacketWorld, PacketWorldSettings
from .standins.schedules import START

# Seconds until entry VMs are in rotation, and to let requests end.
WARM_SECONDS = 3.0
SETTLE_SECONDS = 8.0
WINDOW_SECONDS = 2.0
# Worst windows that are averaged.
WORST_WINDOWS = 2
# What a request that is answered late is worth.
LATE_WORTH = 0.3
MAX_RETRIES = 2
# Part of the requests that go over flows kept open; the rest opens a flow each.
KEPT_SHARE = 0.6
# How often a second the port that changes its service is tried in each zone.
PROBES_PER_SECOND = 4.0


@dataclass(frozen=True, slots=True)
class PacketPlan:
    """One run.

    Attributes:
        load: offered work as a share of what the slots can do.
        faults: name of a set of faults.
        fault_interval: mean seconds between faults.
        aim_seconds: an answer within this time counts in full.
        deadline_seconds: a caller waits no longer for an answer.
    """

    deployment: Deployment
    seed: int
    seconds: float
    faults: str = "none"
    load: float = 0.5
    fault_interval: float = 4.0
    aim_seconds: float = 0.9
    deadline_seconds: float = 4.0


@dataclass(slots=True)
class RequestTally:
    """What became of one kind of requests."""

    offered: int = 0
    in_aim: int = 0
    late: int = 0
    failed: int = 0


@dataclass(slots=True)
class PacketMeasures:
    """The measures of one run.

    Attributes:
        worth: requests in aim, and late ones in part, over those offered.
        windows: the same for each window of 2 s, by the moment of asking.
        worst_windows: the mean of the two worst.
        ends: how tries ended.
    """

    seed: int
    deployment: str
    seconds: float
    faults: list[str] = field(default_factory=list)
    kinds: dict[str, RequestTally] = field(default_factory=dict)
    ends: Counter[str] = field(default_factory=Counter)
    worth: float = 0.0
    windows: list[float] = field(default_factory=list)
    worst_windows: float = 0.0
    findings: PacketFindings = field(default_factory=PacketFindings)

    @property
    def promises_kept(self) -> bool:
        """Whether no promise was broken."""
        return not self.findings.broken


@dataclass(slots=True)
class _Ask:
    """One request of a caller, over all its tries."""

    name: str
    kind: str
    port: int
    idempotent: bool
    asked_at: float
    caller: PacketCaller
    done: Callable[[CallerFlow | None], None]
    tries: int = 0


class PacketExperiment:
    """Drives one world with traffic and faults."""

    def __init__(self, plan: PacketPlan, settings: PacketWorldSettings | None = None):
        self._plan = plan
        self.world = PacketWorld(plan.deployment, plan.seed, settings or PacketWorldSettings())
        self._measures = PacketMeasures(plan.seed, plan.deployment.name, plan.seconds)
        self._end = START + WARM_SECONDS + plan.seconds
        self._windows: Counter[int] = Counter()
        self._window_worth: Counter[int] = Counter()
        self._asked = 0

    def run(self) -> PacketMeasures:
        """Runs to the end and returns the measures."""
        world = self.world
        world.run_until(START + WARM_SECONDS)
        self._start_traffic()
        self._schedule_faults()
        world.run_until(self._end + SETTLE_SECONDS)
        self._measure()
        return self._measures

    # Traffic

    def _start_traffic(self) -> None:
        requests = [t for t in self._plan.deployment.traffic if t.shape == "request"]
        for traffic in requests:
            service = self._plan.deployment.service(traffic.service)
            same = sum(t.share for t in requests if t.service == traffic.service)
            capacity = service.servers * SLOTS / self.world.settings.work_seconds
            rate = self._plan.load * capacity * traffic.share / same
            for callers in self.world.callers.values():
                for caller in callers:
                    self._offer(traffic, caller, rate / len(callers) / len(self.world.callers))
        moved = max(self.world.ports.values()) + 1
        for callers in self.world.callers.values():
            self._probe_moved_port(callers[0], moved)

    def _offer(self, traffic: Traffic, caller: PacketCaller, rate: float) -> None:
        """Offers requests; those of kept flows wait for none before them, but open more flows."""
        world = self.world
        idle: list[CallerFlow] = []
        idempotent = self._plan.deployment.is_idempotent(traffic)
        port = world.ports[traffic.service]

        def keep(flow: CallerFlow | None) -> None:
            if flow is not None:
                idle.append(flow)

        def close(flow: CallerFlow | None) -> None:
            if flow is not None:
                caller.close(flow)

        def offer_one() -> None:
            if world.now >= self._end:
                return
            world.after(world.random.expovariate(rate), offer_one)
            kept = idempotent and world.random.random() < KEPT_SHARE
            flow = idle.pop() if kept and idle else None
            self._ask(traffic.kind, port, idempotent, caller, flow, keep if kept else close)

        world.after(world.random.expovariate(rate), offer_one)

    def _ask(
        self,
        kind: str,
        port: int,
        idempotent: bool,
        caller: PacketCaller,
        flow: CallerFlow | None,
        done: Callable[[CallerFlow | None], None],
    ) -> None:
        self._asked += 1
        name = f"{kind}-{self._asked}"
        ask = _Ask(name, kind, port, idempotent, self.world.now, caller, done)
        if flow is not None and flow.reset_at is None:
            self._send(ask, flow)
        else:
            self._open(ask)

    def _open(self, ask: _Ask) -> None:
        flow = ask.caller.new_flow(ROUTE_IP, ask.port)

        def opened(success: bool) -> None:
            if success:
                self._send(ask, flow)
            else:
                self._end_try(ask, flow, FlowEnd.NEVER_OPENED)

        ask.caller.open(flow, opened)

    def _send(self, ask: _Ask, flow: CallerFlow) -> None:
        request = f"{ask.name}.{ask.tries}"
        self.world.judge.note_asked(request, ask.idempotent)

        def ended(end: FlowEnd) -> None:
            if end is FlowEnd.ANSWERED:
                self.world.judge.note_answer(request, ask.port, flow.answer)
            self._end_try(ask, flow, end)

        deadline = ask.asked_at + self._plan.deadline_seconds
        ask.caller.request(flow, request, deadline, ended)

    def _end_try(self, ask: _Ask, flow: CallerFlow, end: FlowEnd) -> None:
        self._measures.ends[end.value] += 1
        answered = end is FlowEnd.ANSWERED
        if not answered:
            ask.caller.close(flow)
        not_run = end in (FlowEnd.NEVER_OPENED, FlowEnd.TURNED_AWAY)
        in_time = self.world.now - ask.asked_at < self._plan.deadline_seconds
        if not answered and in_time and ask.tries < MAX_RETRIES and (ask.idempotent or not_run):
            ask.tries += 1
            self._open(ask)
            return
        self._tally(ask, answered)
        ask.done(flow if answered else None)

    def _tally(self, ask: _Ask, answered: bool) -> None:
        tally = self._measures.kinds.setdefault(ask.kind, RequestTally())
        tally.offered += 1
        window = int((ask.asked_at - START) / WINDOW_SECONDS)
        self._windows[window] += 1
        if not answered:
            tally.failed += 1
        elif self.world.now - ask.asked_at <= self._plan.aim_seconds:
            tally.in_aim += 1
            self._window_worth[window] += 1.0
        else:
            tally.late += 1
            self._window_worth[window] += LATE_WORTH

    def _probe_moved_port(self, caller: PacketCaller, port: int) -> None:
        """Opens flows at the port that moves between services; they earn nothing."""
        world = self.world
        if world.now >= self._end:
            return
        if port in world.catalogue.history[-1].services:
            flow = caller.new_flow(ROUTE_IP, port)
            caller.open(flow, lambda _opened: caller.close(flow))
        pause = world.random.expovariate(PROBES_PER_SECOND)
        world.after(pause, partial(self._probe_moved_port, caller, port))

    # Faults and measures

    def _schedule_faults(self) -> None:
        faults = PACKET_FAULT_SETS[self._plan.faults]
        if not faults:
            return
        world = self.world
        moment = world.now + WARM_SECONDS
        while moment < self._end:
            fault = world.random.choice(faults)
            world.at(moment, partial(self._strike, fault))
            moment += world.random.expovariate(1.0 / self._plan.fault_interval)

    def _strike(self, fault: PacketFault) -> None:
        struck = strike(self.world, fault)
        if struck:
            offset = self.world.now - START
            self._measures.faults.append(f"{offset:.2f} {type(fault).__name__} {struck}")

    def _measure(self) -> None:
        measures = self._measures
        measures.findings = self.world.judge.findings
        offered = sum(self._windows.values())
        measures.worth = sum(self._window_worth.values()) / max(1, offered)
        measures.windows = [
            round(self._window_worth[window] / count, 3)
            for window, count in sorted(self._windows.items())
        ]
        worst = sorted(measures.windows)[:WORST_WINDOWS]
        measures.worst_windows = sum(worst) / max(1, len(worst))
