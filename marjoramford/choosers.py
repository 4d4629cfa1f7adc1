"""Policies that choose a backend server for new work."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from .backend_servers import BackendServer
from .draws import draw_lowest
from .entry_vms import rendezvous_order


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Any open server."""


@dataclass(frozen=True, slots=True)
class RendezvousChoice:
    """The open server whose name hashes highest with the work's key."""


@dataclass(frozen=True, slots=True)
class LeastInProgress:
    """The open server with the fewest of this entry VM's own requests."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Of two open servers drawn at random, the one with fewer own requests."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The open server whose last report was the lowest."""


@dataclass(frozen=True, slots=True)
class EstimatedOccupancy:
    """The open server with the lowest estimated share of busy slots.

    Attributes:
        other_zone_penalty: added for a server in another availability zone.
        cold_penalty: added for a server whose cold start is not over.
        tolerance: estimates this close to the lowest count as equal, and are drawn from.
    """

    other_zone_penalty: float = 0.0
    cold_penalty: float = 0.25
    tolerance: float = 0.05


@dataclass(frozen=True, slots=True)
class OracleChoice:
    """The open server with the fewest busy slots in truth; a baseline that no system can have."""

    busy: Callable[[str], int]


Policy = (
    RandomChoice
    | RendezvousChoice
    | LeastInProgress
    | TwoChoices
    | ReportedLoad
    | EstimatedOccupancy
    | OracleChoice
)

POLICIES: dict[str, Policy] = {
    "random": RandomChoice(),
    "rendezvous": RendezvousChoice(),
    "least": LeastInProgress(),
    "two_choices": TwoChoices(),
    "reported": ReportedLoad(),
    "estimated": EstimatedOccupancy(),
}


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What a policy may look at besides the servers.

    Attributes:
        key: identifies the work, for hashing.
        report_life: how long a load report stays of use, in seconds: the mean time of work.
    """

    key: str
    zone: str
    report_lifetime_seconds: float
    now: float


def choose(
    policy: Policy, servers: Sequence[BackendServer], context: ChoiceContext, random: Random
) -> BackendServer:
    """Chooses one of at least one open servers."""
    match policy:
        case RandomChoice():
            return random.choice(servers)
        case RendezvousChoice():
            by_name = {server.name: server for server in servers}
            return by_name[rendezvous_order(context.key, by_name)[0]]
        case LeastInProgress():
            return draw_lowest(servers, [server.in_progress for server in servers], 0, random)
        case TwoChoices():
            pair = random.sample(servers, min(2, len(servers)))
            return min(pair, key=lambda server: server.in_progress)
        case ReportedLoad():
            return draw_lowest(servers, [server.reported_busy for server in servers], 0, random)
        case OracleChoice(busy=busy):
            return draw_lowest(servers, [busy(server.name) for server in servers], 0, random)
        case EstimatedOccupancy():
            scores = _estimate_occupancy(policy, servers, context)
            return draw_lowest(servers, scores, policy.tolerance, random)


def _estimate_occupancy(
    policy: EstimatedOccupancy, servers: Sequence[BackendServer], context: ChoiceContext
) -> list[float]:
    """Estimates each server's busy share: own requests plus what others have there.

    What others have is the report less what was this entry VM's own. The older the report is,
    compared with the time that work takes, the more the mean over all servers replaces it.
    """
    others_busy = [max(0, server.reported_busy - server.own_when_reported) for server in servers]
    weights = [_report_weight(server, context) for server in servers]
    total = sum(weights)
    mean_others_busy = (
        sum(w * r for w, r in zip(weights, others_busy, strict=True)) / total if total else 0.0
    )
    scores = []
    for server, others, weight in zip(servers, others_busy, weights, strict=True):
        expected = weight * others + (1.0 - weight) * mean_others_busy
        score = (server.in_progress + expected) / max(1, server.slots)
        if server.zone != context.zone:
            score += policy.other_zone_penalty
        if server.warm_at > context.now:
            score += policy.cold_penalty
        scores.append(score)
    return scores


def _report_weight(server: BackendServer, context: ChoiceContext) -> float:
    if not server.reported_at:
        return 0.0
    age = max(0.0, context.now - server.reported_at)
    return server.trust * math.exp(-age / max(context.report_lifetime_seconds, 0.001))
