"""Placement of new flows: chooses the backend server at which a flow opens.

Load patterns: steady load that occupies half of the slots with requests of tens of milliseconds,
where queueing at one server while another is idle makes requests late; a partitioned zone whose
callers stay; callers that move from one zone to another.
"""

from collections.abc import Callable, Sequence
from random import Random

from ..shared.backend_servers import BackendServer
from ..shared.draws import choose_near_lowest
from .flow_settings import PlacementSettings


def own_requests(server: BackendServer) -> int:
    """Returns the requests in progress at a server through this entry VM."""
    return server.in_progress


def choose_server(
    servers: Sequence[BackendServer],
    avoided: Sequence[BackendServer],
    zone: str,
    now: float,
    settings: PlacementSettings,
    random: Random,
    count_requests: Callable[[BackendServer], int] = own_requests,
) -> BackendServer | None:
    """Returns the server at which a flow opens; None if there is none.

    Listed servers that answer are preferred to listed ones under suspicion, and those to servers
    that have left the list. Within the best non-empty group the least-loaded server is chosen; a
    server in another zone must be less loaded by a margin.

    Args:
        servers: the servers of the flow's service that accept new flows.
        avoided: servers that did not answer this flow's opening packet; used only if there is no
            other.
        zone: this entry VM's availability zone.
        now: time on the monotonic clock, in seconds.
        settings: weights and margins.
        random: breaks ties between equal estimates.
        count_requests: returns the known requests in progress at a server.
    """
    candidates = _preferred_servers([server for server in servers if server not in avoided], now)
    candidates = candidates or _preferred_servers(servers, now)
    if not candidates:
        return None
    scores = [
        _estimate_load(server, count_requests(server), zone, now, settings) for server in candidates
    ]
    return choose_near_lowest(candidates, scores, settings.tie_tolerance, random)


def _preferred_servers(servers: Sequence[BackendServer], now: float) -> Sequence[BackendServer]:
    listed = [server for server in servers if server.unlisted_since is None]
    answering = [server for server in listed if server.responsiveness.suspected_until <= now]
    return answering or listed or servers


def _estimate_load(
    server: BackendServer, requests: int, zone: str, now: float, settings: PlacementSettings
) -> float:
    """Returns the estimated share of busy slots, from the known requests, plus penalties."""
    busy = requests + settings.open_flow_weight * server.open_flows
    score = busy / max(1, server.slots)
    if server.zone != zone:
        score += settings.other_zone_penalty
    if server.warm_at > now:
        score += settings.cold_penalty
    return score
