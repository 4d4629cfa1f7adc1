"""State dump of an entry VM for opaque flows."""

import time

import msgspec

from ..shared.backend_servers import BackendServer
from .flow_balancers import FlowBalancer
from .peer_groups import PeerGroup
from .server_lists import ServerList

# Flows listed in one dump; `flow_count` gives the number of all flows.
MAX_DUMPED_FLOWS = 200


def dump_state(balancer: FlowBalancer, group: PeerGroup) -> bytes:
    """Returns the state of this entry VM as JSON, for operators."""
    now = time.monotonic()
    routes = balancer.routes
    dump = {
        "ready": balancer.ready,
        "routes_version": routes.version if routes else None,
        "routes_era": routes.era if routes else None,
        "list_era": balancer.server_list.version.era,
        "list_revision": balancer.server_list.version.revision,
        "list_age_seconds": round(now - balancer.server_list.confirmed_at, 3),
        "backend_servers": [
            _describe_server(server, balancer, now)
            for server in balancer.server_list.servers.values()
        ],
        "drains_known": balancer.server_list.drains.known,
        "drained_zones": _describe_drained_zones(balancer.server_list, now),
        "entry_vms": [vm.to_update() for vm in group.entry_vms.others()],
        "platform_failures": group.platform_failures,
        "flow_count": len(balancer.flows),
        "flows": [
            {"flow": str(flow.key), "server": flow.server.name, "opening": flow.opening}
            for flow in list(balancer.flows)[:MAX_DUMPED_FLOWS]
        ],
        "refusal_levels": balancer.admission.refusal_levels,
        "counters": dict(balancer.counters),
    }
    return msgspec.json.encode(dump)


def _describe_drained_zones(server_list: ServerList, now: float) -> list[dict[str, object]]:
    zones = [server.zone for server in server_list.servers.values() if not server.gone]
    return [
        {
            "zone": zone,
            "servers": zones.count(zone),
            "seconds": round(now - state.since, 3),
            "era": state.version.era,
            "revision": state.version.revision,
        }
        for zone, state in sorted(server_list.drains.drained_zones().items())
    ]


def _describe_server(
    server: BackendServer, balancer: FlowBalancer, now: float
) -> dict[str, object]:
    evidence = server.responsiveness
    unlisted_since = server.unlisted_since
    description = {
        "name": server.name,
        "service": server.service,
        "zone": server.zone,
        "leaving": server.leaving,
        "gone": server.gone,
        "unverified": server.unverified,
        "accepts_flows": server.accepts_work,
        "unlisted_seconds": None if unlisted_since is None else round(now - unlisted_since, 3),
        "in_progress": server.in_progress,
        "open_flows": server.open_flows,
        "unanswered": evidence.unanswered,
        "doubted": evidence.suspected_until > now,
    }
    if server.warm_at > now:
        limit = balancer.admission.warmup_limit(server.service)
        share = balancer.admission.cold_starts.describe(server, limit, now)
        description["cold"] = {"seconds_left": round(server.warm_at - now, 2), **share}
    if balancer.evidence.is_shared:
        description["condemned"] = balancer.evidence.is_condemned(server, now)
    return description
