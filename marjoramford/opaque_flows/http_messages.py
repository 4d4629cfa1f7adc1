"""HTTP/1.1 messages as bytes: encodes requests and responses, and decodes them with httptools.

No I/O; the connections belong to the callers. A message that ends early never counts as complete.
"""

from collections import deque
from typing import Protocol

import httptools
import msgspec
from result import Result

from ..shared.errors import StepError

# Bounds what a peer can make this process buffer for one head.
MAX_HEAD_BYTES = 65_536
MAX_REPLY_BODY_BYTES = 4 * 1_048_576
FIRST_FINAL_STATUS = 200


class HttpError(Exception):
    """Bytes that are no valid message, or a message that is longer than allowed."""


class HttpRequest(msgspec.Struct, frozen=True):
    """A request with its complete body.

    Attributes:
        keeps_connection: whether another request may follow on the connection.
    """

    method: str
    target: str
    body: bytes
    keeps_connection: bool = True


class HttpReply(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes:
        headers: values by name, in lower case; of a repeated header, the last one.
        keeps_connection: whether another call may be made on the connection.
    """

    status: int
    body: bytes
    headers: dict[str, str] = {}
    keeps_connection: bool = True


class ReplyClient(Protocol):
    """Makes calls to one address, one at a time."""

    async def get(self, target: str, timeout: float) -> Result[HttpReply, StepError]:
        """Sends a GET request; `timeout` covers the whole call, in seconds."""


class _MessageReader:
    """Collects the parts of messages for httptools, which calls the methods `on_...`."""

    def __init__(self, max_body_bytes: int):
        self._max_bytes = max_body_bytes + MAX_HEAD_BYTES
        self._unfinished_bytes = 0
        self._target = b""
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._messages: deque = deque()

    def take(self):
        """Returns the next complete message, or None."""
        return self._messages.popleft() if self._messages else None

    def feed(self, data: bytes) -> None:
        """Decodes bytes from the connection.

        Raises:
            HttpError: they are no valid message, or the message is too long.
        """
        self._unfinished_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete. What follows it could be of the protocol that it asks for.
            self._messages.append(
                msgspec.structs.replace(self._messages.pop(), keeps_connection=False)
            )
        except httptools.HttpParserError as error:
            raise HttpError(str(error)) from error
        if self._unfinished_bytes > self._max_bytes:
            raise HttpError(f"expected a message of at most {self._max_bytes} bytes, got more")

    def on_url(self, part: bytes) -> None:
        """Adds a part of the target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Makes the message available and begins the next one."""
        self._messages.append(self._make_message(b"".join(self._chunks)))
        self._unfinished_bytes = 0
        self._target, self._headers, self._chunks = b"", {}, []


class RequestReader(_MessageReader):
    """Decodes the requests of one connection."""

    def __init__(self, max_body_bytes: int):
        super().__init__(max_body_bytes)
        self._parser = httptools.HttpRequestParser(self)

    def _make_message(self, body: bytes) -> HttpRequest:
        method, target = self._parser.get_method().decode(), self._target.decode("latin-1")
        return HttpRequest(method, target, body, self._parser.should_keep_alive())


class ReplyReader(_MessageReader):
    """Decodes the responses of one connection.

    A response whose body would end with the connection is never complete.
    """

    def __init__(self, max_body_bytes: int):
        super().__init__(max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)

    def take(self) -> HttpReply | None:
        """Returns the next complete response, or None; leaves out interim ones."""
        reply = super().take()
        while reply is not None and reply.status < FIRST_FINAL_STATUS:
            reply = super().take()
        return reply

    def _make_message(self, body: bytes) -> HttpReply:
        status, keeps_connection = self._parser.get_status_code(), self._parser.should_keep_alive()
        return HttpReply(status, body, self._headers, keeps_connection)


def encode_request(method: str, host: str, target: str, body: bytes = b"") -> bytes:
    """Returns a request; a body is announced as JSON.

    Raises:
        ValueError: the host or the target contains a space or a control character.
    """
    if not all(
        part.isascii() and part.isprintable() and " " not in part for part in (host, target)
    ):
        raise ValueError(f"no valid host and target: {host!r}, {target!r}")
    content_type = "Content-Type: application/json\r\n" if body else ""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{content_type}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("ascii") + body


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a response with its body."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} \r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body
