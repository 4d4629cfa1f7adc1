"""Backend server stand-in: streams over UDP; requests, load and health over HTTP."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from aiohttp import web
from result import Ok

from ..token_flows.dispatchers import NOT_RUN_HEADER
from ..token_flows.messages import decode_forward, encode
from ..token_flows.probers import Load
from .server_models import RequestRejected, RequestStarted, ServerModel

STATUS_BY_REASON = {"shed": 503, "draining": 503, "mismatch": 421}


class ServerStandin:
    """Runs a server model on sockets."""

    def __init__(self, model: ServerModel, host: str, data_port: int, http_port: int):
        self.model = model
        self._host = host
        self._data_port = data_port
        self._http_port = http_port
        self._runner: web.AppRunner | None = None
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Opens the sockets."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/requests", self._run_request),
                web.get("/load", self._load),
                web.get("/health", self._health),
                web.get("/ledger", self._ledger),
                web.post("/operator/drain", self._drain),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._http_port).start()
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _StreamProtocol(self.model, time.time), local_addr=(self._host, self._data_port)
        )

    async def stop(self) -> None:
        """Closes the sockets without draining."""
        if self._transport is not None:
            self._transport.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def wait_until_drained(self, deadline: float) -> bool:
        """Waits until draining has ended; returns whether it did before the deadline."""
        while time.time() < deadline:
            if self.model.is_drained(time.time()):
                return True
            await asyncio.sleep(0.05)
        return False

    async def _run_request(self, request: web.Request) -> web.Response:
        body = await request.read()
        headers = request.headers
        if float(headers["X-Deadline"]) <= time.time():
            return _reject("deadline")
        started = self.model.submit(
            headers["X-Service"],
            headers["X-Server"],
            int(headers["X-Server-Incarnation"]),
            headers["X-Kind"],
            body,
            time.time(),
        )
        match started:
            case RequestRejected(reason=reason):
                return _reject(reason)
            case RequestStarted(seconds=seconds, answer=answer):
                try:
                    await asyncio.sleep(seconds)
                finally:
                    self.model.finish(body, time.time())
                return web.Response(body=answer)

    async def _load(self, request: web.Request) -> web.Response:
        load = Load(*self.model.load(time.time()))
        return web.Response(body=msgspec.json.encode(load), content_type="application/json")

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _ledger(self, request: web.Request) -> web.Response:
        started = {work.decode(): count for work, count in self.model.ledger.started.items()}
        return web.json_response({"started": started, "misdirected": self.model.ledger.misdirected})

    async def _drain(self, request: web.Request) -> web.Response:
        self.model.drain(time.time())
        return web.Response(status=202)


class _StreamProtocol(asyncio.DatagramProtocol):
    def __init__(self, model: ServerModel, clock: Callable[[], float]):
        self._model = model
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        match decode_forward(data):
            case Ok(message):
                for reply in self._model.receive(message, self._clock()):
                    self._transport.sendto(encode(reply), addr)


def _reject(reason: str) -> web.Response:
    status = STATUS_BY_REASON.get(reason, 503)
    return web.Response(status=status, headers={NOT_RUN_HEADER: reason})
