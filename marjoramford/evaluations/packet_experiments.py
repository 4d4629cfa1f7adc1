"""Randomised experiments with opaque flows on the simulated platform, and their results."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..standins.deployments import Deployment
from ..standins.packet_checkers import PacketFindings
from ..standins.packet_faults import PACKET_FAULT_SETS, PacketFault, inject_fault
from ..standins.packet_traffic import PacketRequest, PacketTraffic
from ..standins.packet_worlds import PacketWorld, PacketWorldSettings
from ..standins.schedules import START_EPOCH_SECONDS

# Time for entry VMs to enter rotation before the traffic, and for requests to end after it.
WARMUP_SECONDS = 3.0
SETTLE_SECONDS = 8.0
WINDOW_SECONDS = 2.0
# Number of the worst windows that are averaged.
WORST_WINDOWS = 2
# Worth of a request answered after the target latency; one answered in time counts 1.
LATE_ANSWER_WORTH = 0.3


@dataclass(frozen=True, slots=True)
class PacketPlan:
    """Parameters of one experiment.

    Attributes:
        seconds: virtual seconds of traffic.
        load: offered load as a fraction of the capacity of all slots.
        faults: name of a fault set, a key of `PACKET_FAULT_SETS`.
        fault_interval: mean time between faults, in seconds.
        target_seconds: target latency; an answer within it counts in full.
        deadline_seconds: time after which a caller stops waiting for an answer.
    """

    deployment: Deployment
    seed: int
    seconds: float
    faults: str = "none"
    load: float = 0.5
    fault_interval: float = 4.0
    target_seconds: float = 0.9
    deadline_seconds: float = 4.0


@dataclass(slots=True)
class RequestTally:
    """Outcomes of the requests of one kind.

    Attributes:
        in_aim: answered within the target latency.
        late: answered after it.
    """

    offered: int = 0
    in_aim: int = 0
    late: int = 0
    failed: int = 0


@dataclass(slots=True)
class PacketMeasures:
    """Results of one experiment.

    Attributes:
        faults: injected faults, with the second of the run, the type and the target.
        ends: number of attempts with each outcome.
        worth: mean worth of the offered requests: 1 if answered within the target latency,
            `LATE_ANSWER_WORTH` if later, 0 if not at all.
        windows: the same for each window of `WINDOW_SECONDS`, by when requests were created.
        worst_windows: mean of the `WORST_WINDOWS` lowest windows.
        restores: how often the store came back from a copy.
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
    restores: int = 0
    findings: PacketFindings = field(default_factory=PacketFindings)

    @property
    def promises_kept(self) -> bool:
        """Whether no rule of the platform was broken."""
        return not self.findings.broken

    @property
    def in_aim_share(self) -> float:
        """Fraction of the offered requests that were answered within the target latency."""
        tallies = self.kinds.values()
        offered = sum(tally.offered for tally in tallies)
        return sum(tally.in_aim for tally in tallies) / max(1, offered)


class PacketExperiment:
    """Runs one simulated platform with traffic and faults.

    Args:
        plan: parameters of the experiment.
        settings: settings of the simulation.
        on_request_end: called when a request ends, with whether it was answered within the target
            latency.
    """

    def __init__(
        self,
        plan: PacketPlan,
        settings: PacketWorldSettings | None = None,
        on_request_end: Callable[[PacketRequest, bool], None] = lambda _request, _in_aim: None,
    ):
        self._plan = plan
        self._on_request_end = on_request_end
        self.world = PacketWorld(plan.deployment, plan.seed, settings or PacketWorldSettings())
        self._measures = PacketMeasures(plan.seed, plan.deployment.name, plan.seconds)
        self._traffic_end_at = START_EPOCH_SECONDS + WARMUP_SECONDS + plan.seconds
        self._windows: Counter[int] = Counter()
        self._window_worth: Counter[int] = Counter()
        self._traffic = PacketTraffic(
            self.world, plan.load, plan.deadline_seconds, self._traffic_end_at, self._tally
        )

    def run(self) -> PacketMeasures:
        """Runs the experiment to its end and returns the results."""
        world = self.world
        world.run_until(START_EPOCH_SECONDS + WARMUP_SECONDS)
        self._traffic.start()
        self._schedule_faults()
        world.run_until(self._traffic_end_at + SETTLE_SECONDS)
        self._measure()
        return self._measures

    def _tally(self, request: PacketRequest, answered: bool) -> None:
        tally = self._measures.kinds.setdefault(request.kind, RequestTally())
        tally.offered += 1
        window = int((request.created_at - START_EPOCH_SECONDS) / WINDOW_SECONDS)
        self._windows[window] += 1
        in_aim = answered and self.world.now - request.created_at <= self._plan.target_seconds
        self._on_request_end(request, in_aim)
        if not answered:
            tally.failed += 1
        elif in_aim:
            tally.in_aim += 1
            self._window_worth[window] += 1.0
        else:
            tally.late += 1
            self._window_worth[window] += LATE_ANSWER_WORTH

    def _schedule_faults(self) -> None:
        faults = PACKET_FAULT_SETS[self._plan.faults]
        if not faults:
            return
        world = self.world
        first = world.now + WARMUP_SECONDS
        interval = self._plan.fault_interval
        world.schedule_random(
            world.random, faults, first, self._traffic_end_at, interval, self._inject_fault
        )

    def _inject_fault(self, fault: PacketFault) -> None:
        target = inject_fault(self.world, fault)
        if target:
            offset = self.world.now - START_EPOCH_SECONDS
            self._measures.faults.append(f"{offset:.2f} {type(fault).__name__} {target}")

    def _measure(self) -> None:
        measures = self._measures
        measures.findings = self.world.checker.findings
        measures.ends = self._traffic.ends
        measures.restores = self.world.catalogue.restores
        offered = sum(self._windows.values())
        measures.worth = sum(self._window_worth.values()) / max(1, offered)
        measures.windows = [
            round(self._window_worth[window] / count, 3)
            for window, count in sorted(self._windows.items())
        ]
        worst = sorted(measures.windows)[:WORST_WINDOWS]
        measures.worst_windows = sum(worst) / max(1, len(worst))
