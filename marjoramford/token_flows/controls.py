"""The control HTTP server of an entry VM, for other entry VMs, operators and metric scrapers."""

import logging

import msgspec
from aiohttp import web
from result import Err, Ok

from ..shared.logs import LogEvent, log_event
from .cores import Core
from .events import DrainRequested, Event, GossipReceived, HandoverReceived
from .keys import KeyRing
from .metrics import render_metrics
from .seals import SEAL_HEADER, seal_header, verify_body
from .settings import TimeSettings

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 2 * 1_048_576
JSON_CONTENT_TYPE = "application/json"


class CatalogueView(msgspec.Struct, frozen=True):
    """The catalogue that is in force on one entry VM, complete up to revision `through`."""

    through: int
    entries: list


class ControlServer:
    """Handles control requests by submitting events to the core and reading its state."""

    def __init__(self, core: Core, keys: KeyRing, times: TimeSettings):
        self._core = core
        self._keys = keys
        self._times = times

    def make_app(self) -> web.Application:
        """Returns the web application with its routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/gossip", self._gossip),
                web.post("/v1/handover", self._handover),
                web.post("/v1/drain", self._drain),
                web.get("/v1/state", self._state),
                web.get("/v1/catalogue", self._catalogue),
                web.get("/metrics", self._metrics),
            ]
        )
        return app

    async def _gossip(self, request: web.Request) -> web.Response:
        return await self._handle_peer_body(request, GossipReceived)

    async def _handover(self, request: web.Request) -> web.Response:
        return await self._handle_peer_body(request, HandoverReceived)

    async def _handle_peer_body(
        self, request: web.Request, make_event: type[Event]
    ) -> web.Response:
        body = await request.read()
        match verify_body(request.headers.get(SEAL_HEADER, ""), body, self._keys):
            case Err(reason):
                log_event(logger, LogEvent.PEER_REJECTED, peer=request.remote, reason=reason)
                self._core.balancer.node.counters["peer_rejected"] += 1
                return web.Response(status=403, text=reason)
            case Ok(payload):
                reply = self._core.submit(make_event(payload))
        if not reply:
            return web.Response(status=400, text="malformed body")
        return web.Response(
            body=reply, content_type=JSON_CONTENT_TYPE, headers=seal_header(reply, self._keys)
        )

    async def _drain(self, request: web.Request) -> web.Response:
        self._core.submit(DrainRequested(self._core.clock() + self._times.drain))
        return web.Response(status=202, text="draining\n")

    async def _state(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(self._core.balancer.dump())
        return web.Response(body=body, content_type=JSON_CONTENT_TYPE)

    async def _catalogue(self, request: web.Request) -> web.Response:
        store = self._core.balancer.node.catalogue
        body = msgspec.json.encode(CatalogueView(store.through, list(store.values())))
        return web.Response(body=body, content_type=JSON_CONTENT_TYPE)

    async def _metrics(self, request: web.Request) -> web.Response:
        text = render_metrics(self._core.balancer)
        return web.Response(body=text, content_type="text/plain")
