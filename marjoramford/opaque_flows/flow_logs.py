"""Log events of decisions on opaque flows, with the inputs of each decision and their age."""

import logging

from ..shared.backend_servers import BackendServer
from ..shared.logs import LogEvent, log_event
from .overload_controls import OverloadControl
from .packet_flows import PacketFlow
from .routes import RouteTable
from .server_lists import ServerList

logger = logging.getLogger(__name__)


def log_placement(
    event: LogEvent, flow: PacketFlow, routes: RouteTable, server_list: ServerList, now: float
) -> None:
    """Logs the server at which a flow opens or to which its opening packet is moved."""
    server = flow.server
    log_event(
        logger,
        event,
        flow=str(flow.key),
        server=server.name,
        zone=server.zone,
        in_progress=server.in_progress,
        open_flows=server.open_flows,
        tried=len(flow.tried),
        routes=routes.version,
        era=server_list.version.era,
        revision=server_list.version.revision,
        list_age=round(now - server_list.confirmed_at, 2),
    )


def log_dead_server(
    flow: PacketFlow,
    server_list: ServerList,
    lossy: bool,
    link_suspected: bool,
    now: float,
    reason: str = "server is dead",
) -> None:
    """Logs the reset of a flow with the evidence that its server is dead."""
    server = flow.server
    evidence = server.responsiveness
    log_event(
        logger,
        LogEvent.FLOW_RESET,
        flow=str(flow.key),
        reason=reason,
        server=server.name,
        gone=server.gone,
        listed=server.unlisted_since is None,
        unanswered=evidence.unanswered,
        lossy=lossy,
        link_suspected=link_suspected,
        answered_seconds_ago=evidence.answer_age(now),
        list_age=round(now - server_list.confirmed_at, 2),
    )


def log_silence(
    server: BackendServer, waiting_since: float, link_suspected: bool, now: float
) -> None:
    """Logs that a server does not answer and is suspected from now on."""
    log_event(
        logger,
        LogEvent.SERVER_SILENT,
        server=server.name,
        silent_seconds=round(now - waiting_since, 3),
        answered_seconds_ago=server.responsiveness.answer_age(now),
        listed=server.unlisted_since is None,
        link_suspected=link_suspected,
    )


def log_overload(service: str, control: OverloadControl) -> None:
    """Logs that new flows of a service are refused from now on, or no longer."""
    log_event(
        logger,
        LogEvent.OVERLOAD_BEGAN if control.level else LogEvent.OVERLOAD_ENDED,
        service=service,
        level=round(control.level, 2),
        latency_share=round(control.latency_share, 2),
    )
