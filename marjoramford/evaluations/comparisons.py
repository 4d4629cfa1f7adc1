"""Comparison of policies for choosing a server with an oracle, on the same seeds."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..standins.deployments import DEPLOYMENTS, Traffic
from ..standins.worlds import WorldSettings
from ..token_flows.choosers import POLICIES, OracleChoice
from ..token_flows.settings import CoreSettings
from .experiments import Experiment, ExperimentPlan, Measures

ORACLE = "oracle"
LOAD = 0.7
WINDOWS = 5
MEASURED_WINDOWS = 4
WINDOW_SECONDS = 30.0
SEEDS = (1, 2, 3)
MAX_WARMUP_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class ReportQuality:
    """Quality of load reports: their age in seconds, and how many servers always report idle."""

    lag_seconds: float = 0.0
    misreporting_servers: int = 0


REPORTS = {
    "fresh": ReportQuality(),
    "1 s late": ReportQuality(lag_seconds=1.0),
    "5 s late": ReportQuality(lag_seconds=5.0),
    "one liar": ReportQuality(misreporting_servers=1),
}


@dataclass(frozen=True, slots=True)
class Imbalance:
    """Imbalance (busiest server over the mean) in windows of 30 s, and share answered whole."""

    median: float
    ninth_decile: float
    whole: float


def measure_imbalance(
    deployment: str, policy: str, work: float, reports: ReportQuality, seeds: Sequence[int] = SEEDS
) -> Imbalance:
    """Measures a policy, or the oracle, at a load of 70% of the slots.

    Args:
        deployment: name of a deployment.
        policy: name of a policy, or `ORACLE`.
        work: mean time that a request holds a slot, in seconds.
        reports: quality of the servers' load reports.
        seeds: one run is made for each; their windows are pooled.
    """
    windows: list[float] = []
    offered = whole = 0
    for seed in seeds:
        measures = _run(deployment, policy, work, reports, seed)
        for ratios in measures.imbalance.values():
            windows += ratios[-MEASURED_WINDOWS:]
        offered += sum(kind.offered for kind in measures.kinds.values())
        whole += sum(kind.whole for kind in measures.kinds.values())
    windows.sort()
    median = windows[len(windows) // 2]
    ninth_decile = windows[min(len(windows) - 1, int(0.9 * len(windows)))]
    return Imbalance(median, ninth_decile, whole / max(1, offered))


def _run(deployment: str, policy: str, work: float, reports: ReportQuality, seed: int) -> Measures:
    core = CoreSettings.model_validate(
        {"load": {"policy": policy if policy in POLICIES else "estimated"}}
    )
    settings = WorldSettings(
        core,
        report_lag_seconds=reports.lag_seconds,
        misreporting_servers=reports.misreporting_servers,
        work_seconds=work,
    )
    seconds = WINDOW_SECONDS * WINDOWS + min(MAX_WARMUP_SECONDS, 4 * work)
    shape = replace(DEPLOYMENTS[deployment], traffic=_requests_only(deployment))
    plan = ExperimentPlan(shape, seed, seconds, "none", LOAD, request_seconds=max(5.0, 6 * work))
    experiment = Experiment(plan, settings)
    if policy == ORACLE:
        servers = experiment.world.server_nodes
        oracle = OracleChoice(lambda name: servers[name].model.busy)
        for node in experiment.world.entry_nodes.values():
            node.balancer.node.policy = oracle
    return experiment.run()


def _requests_only(deployment: str) -> tuple[Traffic, ...]:
    return tuple(t for t in DEPLOYMENTS[deployment].traffic if t.shape == "request")
