"""HTTP/1.1 client for one keep-alive connection."""

import asyncio

from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.errors import Step, StepError
from .http_messages import (
    MAX_REPLY_BODY_BYTES,
    HttpError,
    HttpReply,
    ReplyReader,
    encode_request,
)

READ_CHUNK_BYTES = 65_536

# An address received from outside may contain a host name or port that is not valid at all.
_UNUSABLE_ADDRESS_ERRORS = (ValueError, OverflowError)
CALL_ERRORS = (OSError, TimeoutError, EOFError, HttpError, *_UNUSABLE_ADDRESS_ERRORS)


class HttpClient:
    """Makes calls to one address, one at a time.

    The connection is kept open between calls and closed after any failure, so that a late response
    is never mistaken for the response to the next call.

    Args:
        address: where to connect.
        step: the step that errors are reported with.
    """

    def __init__(self, address: Address, step: Step):
        self._address = address
        self._step = step
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._replies = ReplyReader(MAX_REPLY_BODY_BYTES)

    async def get(self, target: str, timeout: float) -> Result[HttpReply, StepError]:
        """Sends a GET request; `timeout` covers the whole call, in seconds."""
        return await self._call("GET", target, b"", timeout)

    async def post(self, target: str, body: bytes, timeout: float) -> Result[HttpReply, StepError]:
        """Sends a POST request with a JSON body; `timeout` covers the whole call, in seconds."""
        return await self._call("POST", target, body, timeout)

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> Result[HttpReply, StepError]:
        try:
            async with asyncio.timeout(timeout):
                reply = await self._exchange(method, target, body)
        except CALL_ERRORS as error:
            self.close()
            reason = str(error) or type(error).__name__
            return Err(StepError(self._step, str(self._address), reason))
        except asyncio.CancelledError:
            self.close()
            raise
        return Ok(reply)

    async def _exchange(self, method: str, target: str, body: bytes) -> HttpReply:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._address.host, self._address.port, limit=READ_CHUNK_BYTES
            )
            self._replies = ReplyReader(MAX_REPLY_BODY_BYTES)
        self._writer.write(encode_request(method, str(self._address), target, body))
        reply = await self._read_reply()
        if not reply.keeps_connection:
            self.close()
        return reply

    async def _read_reply(self) -> HttpReply:
        while (reply := self._replies.take()) is None:
            data = await self._reader.read(READ_CHUNK_BYTES)
            if not data:
                raise EOFError("connection closed before the response was complete")
            self._replies.feed(data)
        return reply
