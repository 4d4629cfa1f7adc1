"""Randomised simulations of the balancers with traffic and faults, and their results.

Results come from the simulated callers and servers, except the control traffic, which each balancer
counts itself.
"""

from collections import Counter
from dataclasses import dataclass, field
from statistics import median, quantiles

from ..shared.errors import InvariantViolationError
from ..standins.caller_sessions import CallerSession
from ..standins.deployments import Deployment, Traffic
from ..standins.faults import FAULT_SETS, Fault, inject_fault
from ..standins.schedules import START_EPOCH_SECONDS
from ..standins.tallies import KindTally, PromiseTally, tally_requests
from ..standins.worlds import World, WorldSettings

WINDOW_SECONDS = 30.0
WARMUP_SECONDS = 5.0
FIRST_FAULT_SECONDS = 2.0
SETTLE_SECONDS = 15.0
STREAM_SESSIONS = 20
SESSIONS_PER_KIND = 40
UPLOAD_PIECES = 200
REQUEST_DEADLINE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """Parameters of one run.

    Attributes:
        load: offered work as a share of the capacity of all slots.
        faults: name of a set of faults in `FAULT_SETS`.
        fault_interval: mean time between faults, in seconds.
        request_seconds: time from a request to its deadline, in seconds.
        sessions_per_kind: number of flows that carry the requests of a kind; with few flows the
            demand is uneven.
    """

    deployment: Deployment
    seed: int
    seconds: float
    faults: str = "none"
    load: float = 0.6
    fault_interval: float = 5.0
    request_seconds: float = REQUEST_DEADLINE_SECONDS
    sessions_per_kind: int = SESSIONS_PER_KIND


@dataclass(slots=True)
class Measures:
    """Results of one run; times in seconds.

    Attributes:
        faults: time, class and target of each injected fault.
        weighted_service: share of offered requests that were answered whole, weighted by kind.
        broken_flows: number of streams that stalled or restarted: ``planned`` if the run had only
            planned changes, otherwise ``unplanned``.
        promises: violated guarantees of requests and streams.
        wrong_service: requests and stream bodies that a server of another service accepted.
        late_work: requests that a server started too long after it began to leave.
        misdirected: requests and datagrams that servers refused as meant for another.
        violation: text of the violated invariant that ended the run, or empty.
        reopened: number of reopened flows by cause.
        spread_seconds: longest time that a catalogue change took to reach all entry VMs.
        spread_missing: changes that never reached all entry VMs, in a run without failures.
        imbalance: busiest server over the mean in each window, by service.
        delivered_share_of_slots: requests answered whole, as a share of what the slots can do.
        control_bytes_per_second: highest rate of control traffic that one entry VM sent, averaged
            over the run until the traffic ends; VMs that no longer run then are not counted.
    """

    seed: int
    deployment: str
    seconds: float
    faults: list[str] = field(default_factory=list)
    kinds: dict[str, KindTally] = field(default_factory=dict)
    weighted_service: float = 0.0
    broken_flows: Counter[str] = field(default_factory=Counter)
    flows: int = 0
    upload_restarts: int = 0
    promises: PromiseTally = field(default_factory=PromiseTally)
    wrong_service: int = 0
    late_work: int = 0
    misdirected: int = 0
    violation: str = ""
    reopened: Counter[str] = field(default_factory=Counter)
    spread_seconds: float = 0.0
    spread_missing: int = 0
    imbalance: dict[str, list[float]] = field(default_factory=dict)
    imbalance_median: float = 1.0
    imbalance_ninth_decile: float = 1.0
    delivered_share_of_slots: float = 0.0
    control_bytes_per_second: float = 0.0

    @property
    def promises_kept(self) -> bool:
        """Whether no guarantee was violated."""
        faults = (
            self.promises.foreign,
            self.promises.ran_twice,
            self.promises.false_not_run,
            self.wrong_service,
            self.late_work,
            self.spread_missing,
        )
        planned = self.broken_flows["planned"]
        return not any(faults) and not planned and not self.violation


class Experiment:
    """Runs one world with traffic and faults."""

    def __init__(self, plan: ExperimentPlan, settings: WorldSettings | None = None):
        self._plan = plan
        self._settings = settings or WorldSettings()
        self.world = World(plan.deployment, plan.seed, self._settings)
        self._sessions: dict[str, list[CallerSession]] = {}
        self._measures = Measures(plan.seed, plan.deployment.name, plan.seconds)
        self._busy_at_window_start: dict[str, float] = {}
        self._traffic_end_at = START_EPOCH_SECONDS + WARMUP_SECONDS + plan.seconds
        self._injected_faults: list[Fault] = []

    def run(self) -> Measures:
        """Runs to the end and returns the results; a violated invariant ends the run early."""
        world = self.world
        try:
            world.run_until(START_EPOCH_SECONDS + WARMUP_SECONDS)
            self._start_sessions()
            self._start_traffic()
            self._schedule_faults()
            world.after(WINDOW_SECONDS, self._record_window)
            world.run_until(self._traffic_end_at)
            self._measure_delivery()
            world.run_until(self._traffic_end_at + SETTLE_SECONDS)
        except InvariantViolationError as violation:
            self._measures.violation = str(violation)
        self._fill_measures()
        return self._measures

    def _start_sessions(self) -> None:
        for traffic in self._plan.deployment.traffic:
            streams = max(2, int(STREAM_SESSIONS * traffic.share))
            count = self._plan.sessions_per_kind if traffic.shape == "request" else streams
            for number in range(count):
                session = self.world.add_session(traffic.service, f"{traffic.kind}-{number}")
                self._sessions.setdefault(traffic.kind, []).append(session)
                if traffic.shape == "board":
                    session.follow_board(self.world.now)
                elif traffic.shape == "upload":
                    session.start_upload(UPLOAD_PIECES, self.world.now)

    def _start_traffic(self) -> None:
        rates = self._plan.deployment.request_rates(
            self._plan.load, lambda service: service.slots, self._settings.work_seconds
        )
        for traffic, rate in rates.items():
            self._offer_requests(traffic, rate)

    def _offer_requests(self, traffic: Traffic, rate: float) -> None:
        world = self.world
        idempotent = self._plan.deployment.is_idempotent(traffic)

        def offer_one() -> None:
            if world.now >= self._traffic_end_at:
                return
            session = world.random.choice(self._sessions[traffic.kind])
            deadline = world.now + self._plan.request_seconds
            session.request(traffic.kind, deadline, world.now, idempotent)
            world.after(world.random.expovariate(rate), offer_one)

        world.after(world.random.expovariate(rate), offer_one)

    def _schedule_faults(self) -> None:
        faults = FAULT_SETS[self._plan.faults]
        if not faults:
            return
        world = self.world
        first = world.now + FIRST_FAULT_SECONDS
        interval = self._plan.fault_interval
        world.schedule_random(
            world.random, faults, first, self._traffic_end_at, interval, self._inject_fault
        )

    def _inject_fault(self, fault: Fault) -> None:
        target = inject_fault(self.world, fault)
        if target:
            offset = self.world.now - START_EPOCH_SECONDS
            self._measures.faults.append(f"{offset:.2f} {type(fault).__name__} {target}")
            self._injected_faults.append(fault)

    def _record_window(self) -> None:
        world = self.world
        busy_by_service: dict[str, list[float]] = {}
        for name, node in world.server_nodes.items():
            total = node.model.busy_seconds(world.now)
            previous = self._busy_at_window_start.get(name)
            self._busy_at_window_start[name] = total
            if previous is not None and node.alive and node.model.draining_since is None:
                busy_by_service.setdefault(node.record.service, []).append(total - previous)
        for service, busy in busy_by_service.items():
            if sum(busy) > 0:
                ratio = max(busy) * len(busy) / sum(busy)
                self._measures.imbalance.setdefault(service, []).append(ratio)
        if world.now < self._traffic_end_at:
            world.after(WINDOW_SECONDS, self._record_window)

    def _measure_delivery(self) -> None:
        slots = sum(s.servers * s.slots for s in self._plan.deployment.services)
        ledger = self.world.ledger
        mean_work = ledger.work_seconds / max(1, sum(ledger.started.values()))
        capacity = slots * self._plan.seconds / mean_work if mean_work else 1.0
        whole = sum(
            outcome.result == "whole"
            for sessions in self._sessions.values()
            for session in sessions
            for outcome in session.outcomes
        )
        self._measures.delivered_share_of_slots = whole / capacity
        elapsed = self.world.now - START_EPOCH_SECONDS
        sent = [
            node.balancer.node.counters["control_bytes_sent"] / elapsed
            for node in self.world.alive_entry_vms()
        ]
        self._measures.control_bytes_per_second = max(sent, default=0.0)

    def _fill_measures(self) -> None:
        measures = self._measures
        for traffic in self._plan.deployment.traffic:
            for session in self._sessions.get(traffic.kind, ()):
                self._tally_session(traffic, session)
        ledger = self.world.ledger
        measures.wrong_service = ledger.foreign
        measures.late_work = ledger.late_work
        measures.misdirected = ledger.misdirected
        measures.spread_seconds = max(self.world.spread_seconds, default=0.0)
        measures.spread_missing = (
            len(self.world.spread_started_at) if self._has_only_planned_changes() else 0
        )
        measures.weighted_service = self._weighted_service()
        ratios = sorted(ratio for each in measures.imbalance.values() for ratio in each)
        if ratios:
            measures.imbalance_median = median(ratios)
            measures.imbalance_ninth_decile = (
                quantiles(ratios, n=10)[-1] if len(ratios) > 1 else ratios[0]
            )

    def _tally_session(self, traffic: Traffic, session: CallerSession) -> None:
        measures = self._measures
        measures.reopened.update(session.reopened)
        kind = measures.kinds.setdefault(traffic.kind, KindTally())
        idempotent = self._plan.deployment.is_idempotent(traffic)
        tally_requests(session, self.world.ledger, idempotent, kind, measures.promises)
        if traffic.shape != "request":
            self._tally_stream(session)

    def _tally_stream(self, session: CallerSession) -> None:
        measures = self._measures
        measures.flows += 1
        if session.upload is not None:
            measures.upload_restarts += session.upload.restarts
        if session.was_broken(self.world.now):
            measures.broken_flows[
                "planned" if self._has_only_planned_changes() else "unplanned"
            ] += 1

    def _has_only_planned_changes(self) -> bool:
        """Whether every injected fault is a planned change."""
        return all(fault in FAULT_SETS["planned"] for fault in self._injected_faults)

    def _weighted_service(self) -> float:
        weights = {t.kind: t.weight for t in self._plan.deployment.traffic}
        kinds = self._measures.kinds
        offered = sum(weights[kind] * tally.offered for kind, tally in kinds.items())
        whole = sum(weights[kind] * tally.whole for kind, tally in kinds.items())
        return whole / offered if offered else 1.0
