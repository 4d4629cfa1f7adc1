"""Compares placement policies for opaque flows with baselines on the same seeds."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from statistics import mean

import msgspec

from ..opaque_flows.flow_admissions import FlowAdmission
from ..opaque_flows.flow_balancers import FlowBalancer
from ..opaque_flows.flow_settings import PacketVmSettings
from ..opaque_flows.installed_routes import InstalledRoutes
from ..opaque_flows.routes import Route, RouteTable
from ..opaque_flows.server_lists import ListChanges, ServerList
from ..shared.backend_servers import BackendServer
from ..shared.draws import choose_near_lowest
from ..standins.deployments import DEPLOYMENTS, Deployment
from ..standins.packet_faults import KillAllVms, PacketFault, inject_fault
from ..standins.packet_traffic import PacketRequest
from ..standins.packet_vms import BalancerFactory
from ..standins.packet_worlds import PacketWorld, PacketWorldSettings
from ..standins.schedules import START_EPOCH_SECONDS
from .packet_experiments import WARMUP_SECONDS, PacketExperiment, PacketMeasures, PacketPlan

RUN_SECONDS = 40.0
# When all entry VMs are killed in patterns with an outage, counted from the start of the traffic.
OUTAGE_AT_SECONDS = 10.0
OVERLOAD_SECONDS = 20.0
# Three times the work of a request; a full queue makes answers take five times the work.
OVERLOAD_TARGET_SECONDS = 0.3
# With two slots a server, one request in its queue: the answer takes 0.15 s on average.
MAX_REQUESTS_PER_SERVER = 3


class RandomAdmission(FlowAdmission):
    """Baseline: opens flows at a random server that accepts work."""

    def place(
        self, service: str, avoided: tuple[BackendServer, ...], now: float
    ) -> BackendServer | None:
        """Returns any server that accepts work."""
        usable = [s for s in self._server_list.servers.of_service(service) if s.accepts_work]
        return self._random.choice(usable) if usable else None


class OracleAdmission(FlowAdmission):
    """Upper bound: opens flows at the running server with the fewest requests.

    It reads the true load from the simulation, which no real entry VM can know.

    Attributes:
        world: the simulation being run; shared by the class, so a process runs one at a time.
    """

    world: PacketWorld

    def place(
        self, service: str, avoided: tuple[BackendServer, ...], now: float
    ) -> BackendServer | None:
        """Returns the running server with the fewest requests."""
        servers = self.world.servers
        usable = [
            server
            for server in self._server_list.servers.of_service(service)
            if server.accepts_work and servers[server.name].alive
        ]
        if not usable:
            return None
        loads = [servers[server.name].load for server in usable]
        return choose_near_lowest(usable, loads, 0, self._random)


class UncontrolledAdmission(FlowAdmission):
    """Baseline: refuses no new flow for overload."""

    def refuses(self, service: str, route: Route, now: float) -> bool:
        """Returns False."""
        return False


class SharedCountsAdmission(OracleAdmission):
    """Upper bound under overload: knows the requests in progress through all entry VMs.

    New flows open at the server with the fewest requests, and are refused while each server has
    `MAX_REQUESTS_PER_SERVER`. Requests on open flows are forwarded, as everywhere.

    Attributes:
        exchange_seconds: greatest age of what it knows of the other entry VMs.
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.exchange_seconds = 0.0
        self._exchange_due_at = float("-inf")
        self._others: Counter[str] = Counter()

    def refuses(self, service: str, route: Route, now: float) -> bool:
        """Returns whether each server has too many requests."""
        usable = [s for s in self._server_list.servers.of_service(service) if s.accepts_work]
        counts = self._count_requests(usable, now)
        return bool(counts) and min(counts) >= MAX_REQUESTS_PER_SERVER

    def place(
        self, service: str, avoided: tuple[BackendServer, ...], now: float
    ) -> BackendServer | None:
        """Returns the server with the fewest known requests."""
        usable = [s for s in self._server_list.servers.of_service(service) if s.accepts_work]
        if not usable:
            return None
        return choose_near_lowest(usable, self._count_requests(usable, now), 0, self._random)

    def _count_requests(self, servers: Sequence[BackendServer], now: float) -> list[int]:
        if now >= self._exchange_due_at:
            self._exchange_due_at = now + self.exchange_seconds
            self._others = Counter()
            for vm in self.world.vms:
                if vm.balancer is not None and vm.balancer.admission is not self:
                    for server in vm.balancer.server_list.servers.values():
                        self._others[server.name] += server.in_progress
        return [server.in_progress + self._others[server.name] for server in servers]


class DrainIgnoringList(ServerList):
    """A server list that takes no zone as drained."""

    def apply(self, changes: ListChanges, now: float) -> bool:
        """Applies changes without their drains."""
        return super().apply(msgspec.structs.replace(changes, drains=()), now)


class UnlimitedRoutes(InstalledRoutes):
    """Routes without limits for cold servers."""

    def apply(self, table: RouteTable, has_limits: bool = True) -> None:
        """Puts a route table in force without its limits."""
        super().apply(RouteTable(table.version, table.routes(), table.idle_timeout, table.era))


class RandomBalancer(FlowBalancer):
    """Baseline: opens flows at a random server that accepts work."""

    admission_type = RandomAdmission


class OracleBalancer(FlowBalancer):
    """Upper bound: opens flows at the running server with the fewest requests."""

    admission_type = OracleAdmission


class UncontrolledBalancer(FlowBalancer):
    """Baseline: refuses no new flow for overload."""

    admission_type = UncontrolledAdmission


class SharedCountsBalancer(FlowBalancer):
    """Upper bound under overload: knows the requests in progress through all entry VMs.

    Args:
        exchange_seconds: greatest age of what it knows of the other entry VMs.
    """

    admission_type = SharedCountsAdmission

    def __init__(
        self, settings: PacketVmSettings, random: Random, now: float, exchange_seconds: float = 0.0
    ):
        super().__init__(settings, random, now)
        self.admission.exchange_seconds = exchange_seconds


class UnlimitedBalancer(FlowBalancer):
    """Baseline: opens flows at cold servers without a limit."""

    routes_type = UnlimitedRoutes


class DrainIgnoringBalancer(UnlimitedBalancer):
    """Baseline: also opens flows at servers of drained zones."""

    list_type = DrainIgnoringList


POLICIES: dict[str, type[FlowBalancer]] = {
    "random": RandomBalancer,
    "estimated": FlowBalancer,
    "oracle": OracleBalancer,
}


@dataclass(frozen=True, slots=True)
class Pattern:
    """A load level with the faults injected during it.

    Attributes:
        load: offered load as a fraction of the capacity of all slots.
        faults: name of a fault set, a key of `PACKET_FAULT_SETS`.
        outage: whether all entry VMs are killed once.
    """

    load: float
    faults: str = "none"
    outage: bool = False


PATTERNS = {
    "calm, load 0.5": Pattern(0.5),
    "calm, load 0.9": Pattern(0.9),
    "all faults, load 0.5": Pattern(0.5, "all"),
    "outage, load 0.6": Pattern(0.6, outage=True),
    "outage, load 0.9": Pattern(0.9, outage=True),
}


@dataclass(frozen=True, slots=True)
class PolicyScore:
    """Means of the results over all seeds; see `PacketMeasures`."""

    worth: float
    worst_windows: float


def measure_policy(
    deployment: str, policy: str, pattern: Pattern, seeds: Sequence[int]
) -> PolicyScore:
    """Returns the results of a policy under a load pattern, averaged over the seeds."""
    runs = [run_pattern(deployment, POLICIES[policy], pattern, seed) for seed in seeds]
    return PolicyScore(mean(run.worth for run in runs), mean(run.worst_windows for run in runs))


def resize(deployment: Deployment, entry_vms: int) -> Deployment:
    """Returns a deployment with another number of entry VMs, and servers in proportion."""
    factor = entry_vms / deployment.entry_vms
    services = tuple(
        replace(service, servers=max(1, round(factor * service.servers)))
        for service in deployment.services
    )
    return replace(deployment, entry_vms=entry_vms, services=services)


def run_overload(
    deployment: str | Deployment,
    make_balancer: BalancerFactory,
    load: float,
    seed: int,
    seconds: float = OVERLOAD_SECONDS,
) -> PacketMeasures:
    """Runs one experiment without faults, with routes that name a target latency."""
    plan = PacketPlan(
        DEPLOYMENTS[deployment] if isinstance(deployment, str) else deployment,
        seed,
        seconds,
        load=load,
        target_seconds=OVERLOAD_TARGET_SECONDS,
    )
    settings = PacketWorldSettings(
        target_seconds=OVERLOAD_TARGET_SECONDS, make_balancer=make_balancer
    )
    experiment = PacketExperiment(plan, settings)
    OracleAdmission.world = experiment.world
    return experiment.run()


def run_pattern(deployment: str, make_balancer: BalancerFactory, pattern: Pattern, seed: int):
    """Runs one experiment and returns its results."""
    plan = PacketPlan(DEPLOYMENTS[deployment], seed, RUN_SECONDS, pattern.faults, pattern.load)
    experiment = PacketExperiment(plan, PacketWorldSettings(make_balancer=make_balancer))
    OracleAdmission.world = experiment.world
    if pattern.outage:
        _schedule_fault(experiment.world, OUTAGE_AT_SECONDS, KillAllVms())
    return experiment.run()


def run_with_faults(
    plan: PacketPlan,
    timed_faults: Sequence[tuple[float, PacketFault]],
    settings: PacketWorldSettings | None = None,
    on_request_end: Callable[[PacketRequest, bool], None] = lambda _request, _in_aim: None,
) -> PacketMeasures:
    """Runs one experiment with faults in addition to those that its plan draws.

    Args:
        plan: parameters of the experiment.
        timed_faults: the faults, each with its time in seconds after the start of the traffic.
        settings: settings of the simulation.
        on_request_end: see `PacketExperiment`.
    """
    experiment = PacketExperiment(plan, settings, on_request_end)
    for seconds, fault in timed_faults:
        _schedule_fault(experiment.world, seconds, fault)
    return experiment.run()


def _schedule_fault(world: PacketWorld, seconds: float, fault: PacketFault) -> None:
    moment = START_EPOCH_SECONDS + WARMUP_SECONDS + seconds
    world.at(moment, partial(inject_fault, world, fault))
