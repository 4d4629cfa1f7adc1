"""Load balancing policies: choose a backend server for a request."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from ..shared.backend_servers import BackendServer
from ..shared.draws import choose_near_lowest
from ..shared.entry_vms import rendezvous_order


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """A random one of the servers that accept requests."""


@dataclass(frozen=True, slots=True)
class RendezvousChoice:
    """The server that comes first in the rendezvous order of the request's key."""


@dataclass(frozen=True, slots=True)
class LeastInProgress:
    """The server with the fewest requests in progress from this entry VM."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Power of two choices: of two random servers, the one with fewer requests in progress."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The server with the fewest requests in progress according to its last report.

    A server without a report counts as idle and is therefore preferred.
    """


@dataclass(frozen=True, slots=True)
class EstimatedOccupancy:
    """The server with the lowest estimated share of busy slots.

    Attributes:
        other_zone_penalty: added to the estimate of a server in another availability zone.
        cold_penalty: added to the estimate of a server that is still in its cold start.
        tolerance: estimates within this distance of the lowest count as equal; one of these
            servers is chosen at random.
    """

    other_zone_penalty: float = 0.0
    cold_penalty: float = 0.25
    tolerance: float = 0.05


@dataclass(frozen=True, slots=True)
class OracleChoice:
    """The server that really has the fewest busy slots.

    A baseline for simulations; a real entry VM does not know the current load.
    """

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
    """Input of a policy besides the servers.

    Attributes:
        key: identifies the request, for hashing.
        zone: availability zone of the entry VM.
        report_lifetime_seconds: time constant of the exponential decay of a load report's weight:
            the mean duration of a request, or infinity while no request has ended.
        now: epoch seconds.
    """

    key: str
    zone: str
    report_lifetime_seconds: float
    now: float


def choose(
    policy: Policy, servers: Sequence[BackendServer], context: ChoiceContext, random: Random
) -> BackendServer:
    """Chooses one of `servers`, which must not be empty and must all accept requests."""
    match policy:
        case RandomChoice():
            return random.choice(servers)
        case RendezvousChoice():
            by_name = {server.name: server for server in servers}
            return by_name[rendezvous_order(context.key, by_name)[0]]
        case LeastInProgress():
            return choose_near_lowest(
                servers, [server.in_progress for server in servers], 0, random
            )
        case TwoChoices():
            pair = random.sample(servers, min(2, len(servers)))
            return min(pair, key=lambda server: server.in_progress)
        case ReportedLoad():
            return choose_near_lowest(
                servers, [server.reported_busy for server in servers], 0, random
            )
        case OracleChoice(busy=busy):
            return choose_near_lowest(servers, [busy(server.name) for server in servers], 0, random)
        case EstimatedOccupancy():
            scores = _estimate_occupancy(policy, servers, context)
            return choose_near_lowest(servers, scores, policy.tolerance, random)


def _estimate_occupancy(
    policy: EstimatedOccupancy, servers: Sequence[BackendServer], context: ChoiceContext
) -> list[float]:
    """Returns each server's estimated share of busy slots plus the policy's penalties.

    The busy slots are this entry VM's own requests in progress plus those of other entry VMs, which
    are the reported load minus its own requests at the time of the report. The lower the server's
    `trust`, and the older its report is relative to the mean duration of a request, the more the
    weighted mean over all servers replaces its report.
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
    age_seconds = max(0.0, context.now - server.reported_at)
    return server.trust * math.exp(-age_seconds / max(context.report_lifetime_seconds, 0.001))
