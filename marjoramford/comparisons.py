"""Comparison of server-choice policies with an oracle, on the same seeds."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from .choosers import POLICIES, OracleChoice
from .experiments import Experiment, Measures, Plan
from .settings import CoreSettings
from .standins.deployments import DEPLOYMENTS, Traffic
from .standins.worlds import WorldSettings

ORACLE = "oracle"
LOAD = 0.7
WINDOWS = 5
WARM_WINDOWS = 4
WINDOW_SECONDS = 30.0
SEEDS = (1, 2, 3)
MAX_WARM_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class Reports:
    """How backend servers' load reports are: their lag in seconds, and how many always lie."""

    lag: float = 0.0
    liars: int = 0


REPORTS = {
    "fresh": Reports(),
    "1 s late": Reports(lag=1.0),
    "5 s late": Reports(lag=5.0),
    "one liar": Reports(liars=1),
}


@dataclass(frozen=True, slots=True)
class Evenness:
    """Imbalance over windows of 30 s (busiest server over the mean), and the share whole."""

    median: float
    ninth_decile: float
    whole: float


def measure_evenness(
    deployment: str, policy: str, work: float, reports: Reports, seeds: Sequence[int] = SEEDS
) -> Evenness:
    """Measures a policy, or the oracle, at 70% of the slots; `work` is in seconds."""
    windows: list[float] = []
    offered = whole = 0
    for seed in seeds:
        measures = _run(deployment, policy, work, reports, seed)
        for ratios in measures.imbalance.values():
            windows += ratios[-WARM_WINDOWS:]
        offered += sum(kind.offered for kind in measures.kinds.values())
        whole += sum(kind.whole for kind in measures.kinds.values())
    windows.sort()
    median = windows[len(windows) // 2]
    ninth_decile = windows[min(len(windows) - 1, int(0.9 * len(windows)))]
    return Evenness(median, ninth_decile, whole / max(1, offered))


def _run(deployment: str, policy: str, work: float, reports: Reports, seed: int) -> Measures:
    core = CoreSettings.model_validate(
        {"load": {"policy": policy if policy in POLICIES else "estimated"}}
    )
    settings = WorldSettings(core, report_lag=reports.lag, liars=reports.liars, work_seconds=work)
    seconds = WINDOW_SECONDS * WINDOWS + min(MAX_WARM_SECONDS, 4 * work)
    shape = replace(DEPLOYMENTS[deployment], traffic=_requests_only(deployment))
    plan = Plan(shape, seed, seconds, "none", LOAD, request_seconds=max(5.0, 6 * work))
    experiment = Experiment(plan, settings)
    if policy == ORACLE:
        servers = experiment.world.server_nodes
        oracle = OracleChoice(lambda name: servers[name].model.busy)
        for node in experiment.world.entry_nodes.values():
            node.balancer.node.policy = oracle
    return experiment.run()


def _requests_only(deployment: str) -> tuple[Traffic, ...]:
    return tuple(t for t in DEPLOYMENTS[deployment].traffic if t.shape == "request")
