"""A small HTTP/1.1 server for probes, metrics, state and other entry VMs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec

from ..shared.addresses import Address
from .http_messages import HttpError, HttpRequest, RequestReader, encode_response

logger = logging.getLogger(__name__)

READ_CHUNK_BYTES = 65_536
MAX_BODY_BYTES = 1_048_576
# An idle connection is closed after this time, which is longer than the interval of probes.
IDLE_TIMEOUT_SECONDS = 30.0


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
        except (OSError, TimeoutError, EOFError, HttpError) as error:
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
    requests = RequestReader(MAX_BODY_BYTES)
    while True:
        request = await _read_request(requests, reader)
        if request is None:
            return
        answer = await handler(request)
        headers = {"Content-Type": answer.content_type, **dict(answer.headers)}
        if not request.keeps_connection:
            headers["Connection"] = "close"
        writer.write(encode_response(answer.status, headers, answer.body))
        await writer.drain()
        if not request.keeps_connection:
            return


async def _read_request(
    requests: RequestReader, reader: asyncio.StreamReader
) -> HttpRequest | None:
    while (request := requests.take()) is None:
        async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
            data = await reader.read(READ_CHUNK_BYTES)
        if not data:
            return None
        requests.feed(data)
    return request
