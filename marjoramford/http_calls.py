"""HTTP/1.1 client for one keep-alive connection, built on h11 to use little memory."""

import asyncio

import h11
import msgspec
from result import Err, Ok, Result

from .addresses import Address
from .errors import Step, StepError

READ_CHUNK_BYTES = 65_536
MAX_BODY_BYTES = 4 * 1_048_576


# An address received from outside may contain a host name or port that is not valid at all.
_UNUSABLE_ADDRESS_ERRORS = (ValueError, OverflowError)
_CALL_ERRORS = (OSError, TimeoutError, EOFError, h11.ProtocolError, *_UNUSABLE_ADDRESS_ERRORS)


class HttpReply(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes:
        headers: values by name, in lower case; of a repeated header, the last one.
    """

    status: int
    body: bytes
    headers: dict[str, str] = {}


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
        self._connection = h11.Connection(h11.CLIENT)

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
        except _CALL_ERRORS as error:
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
            self._connection = h11.Connection(h11.CLIENT)
        headers = [("Host", str(self._address)), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = h11.Request(method=method, target=target, headers=headers)
        self._writer.write(self._connection.send(request))
        if body:
            self._writer.write(self._connection.send(h11.Data(body)))
        self._writer.write(self._connection.send(h11.EndOfMessage()))
        reply = await self._read_reply()
        if self._connection.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            self._connection.start_next_cycle()
        return reply

    async def _read_reply(self) -> HttpReply:
        status = 0
        headers: dict[str, str] = {}
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._connection.next_event()
            match event:
                case h11.Response():
                    status = event.status_code
                    headers = {
                        name.decode("latin-1"): value.decode("latin-1")
                        for name, value in event.headers
                    }
                case h11.Data():
                    chunks.append(bytes(event.data))
                    size += len(event.data)
                    if size > MAX_BODY_BYTES:
                        raise OSError("response body is too long")
                case h11.EndOfMessage():
                    return HttpReply(status, b"".join(chunks), headers)
                case _ if event is h11.NEED_DATA:
                    self._connection.receive_data(await self._reader.read(READ_CHUNK_BYTES))
                case h11.ConnectionClosed():
                    raise EOFError("connection closed before the response was complete")
