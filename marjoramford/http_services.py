"""A small HTTP/1.1 server for probes, metrics, state and other entry VMs, built on h11."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import h11
import msgspec

from .addresses import Address

logger = logging.getLogger(__name__)

READ_CHUNK_BYTES = 65_536
MAX_BODY_BYTES = 1_048_576
# An idle connection is closed after this time, which is longer than the interval of probes.
IDLE_TIMEOUT_SECONDS = 30.0


class HttpRequest(msgspec.Struct, frozen=True):
    """A request with its complete body."""

    method: str
    target: str
    body: bytes


class HttpResponse(msgspec.Struct, frozen=True):
    """The response of a handler."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(address: Address, handler: Handler) -> asyncio.Server:
    """Starts a server that answers requests with `handler`; one at a time per connection."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await _serve_requests(reader, writer, handler)
        except (OSError, TimeoutError, EOFError, h11.ProtocolError) as error:
            logger.debug("connection to %s ended: %r", address, error)
        except asyncio.CancelledError:
            # The process is stopping. The callback of asyncio streams fails on a cancelled task,
            # so the cancellation is not passed on.
            logger.debug("connection to %s cancelled", address)
        finally:
            writer.close()

    return await asyncio.start_server(
        serve_connection, address.host, address.port, limit=READ_CHUNK_BYTES
    )


async def _serve_requests(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    connection = h11.Connection(h11.SERVER)
    while True:
        request = await _read_request(connection, reader)
        if request is None:
            return
        answer = await handler(request)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            *answer.headers,
        ]
        writer.write(
            connection.send(h11.Response(status_code=answer.status, headers=headers))
            + connection.send(h11.Data(answer.body))
            + connection.send(h11.EndOfMessage())
        )
        await writer.drain()
        if connection.our_state is h11.MUST_CLOSE:
            return
        connection.start_next_cycle()


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> HttpRequest | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        match event:
            case h11.Request():
                head = event
            case h11.Data():
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise OSError("request body is too long")
            case h11.EndOfMessage():
                return HttpRequest(head.method.decode(), head.target.decode(), body)
            case _ if event is h11.NEED_DATA:
                async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                    connection.receive_data(await reader.read(READ_CHUNK_BYTES))
            case _:
                return None
