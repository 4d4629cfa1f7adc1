"""Datagrams between callers, entry VMs and backend servers.

Each is a MessagePack array that begins with its type's number. Entry VMs number and retransmit
nothing: pieces and acknowledgements of a stream belong to the caller and the backend server.
"""

import msgspec
from result import Err, Ok, Result

from .addresses import Address

MAX_DATAGRAM_BYTES = 1400
MAX_RELAY_BYTES = MAX_DATAGRAM_BYTES + 200
MAX_REQUEST_BODY_BYTES = 1000
ANSWER_PIECE_BYTES = 1000
MAX_ANSWER_PIECES = 64
MAX_NAME_CHARS = 64


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Base of all datagrams."""


# From callers.


class Open(Datagram, tag=1):
    """Asks for a flow to a service; `previous` is the token of a flow to reopen, or empty."""

    service: str
    nonce: int
    previous_token: bytes = b""


class Send(Datagram, tag=2):
    """Carries part of a stream to the flow's backend server; `body` is theirs alone."""

    token: bytes
    body: bytes


class Request(Datagram, tag=3):
    """Asks for one piece of work; `number` rises by one for each request of the flow.

    `deadline` is in epoch seconds. A retransmission is the same datagram again.
    """

    token: bytes
    number: int
    kind: str
    deadline: float
    body: bytes


class Renew(Datagram, tag=4):
    """Asks for a token with a later expiry."""

    token: bytes


class Close(Datagram, tag=5):
    """Ends a flow."""

    token: bytes


# To callers.


class Opened(Datagram, tag=10):
    """Answers `Open` with the flow's token; `expires_at` is in epoch seconds."""

    nonce: int
    flow: int
    stream: int
    token: bytes
    expires_at: float


class OpenRefused(Datagram, tag=11):
    """Answers `Open`: no flow was made; come back at `retry_at` (epoch seconds)."""

    nonce: int
    reason: str
    retry_at: float


class Deliver(Datagram, tag=12):
    """Carries part of a stream from the backend server."""

    stream: int
    body: bytes


class Answer(Datagram, tag=13):
    """One piece of the answer to a request; `piece` counts from 0 to `pieces` - 1."""

    flow: int
    number: int
    piece: int
    pieces: int
    body: bytes


class NotRun(Datagram, tag=14):
    """The request was refused and did not and will not run; come back at `retry_at`."""

    flow: int
    number: int
    reason: str
    retry_at: float


class OutcomeUnknown(Datagram, tag=15):
    """The request may or may not have run; it will not run again."""

    flow: int
    number: int
    reason: str


class CoordinatorLost(Datagram, tag=16):
    """The flow's coordinator is gone: reopen; outcomes of its open requests are unknown."""

    flow: int


class Renewed(Datagram, tag=17):
    """Answers `Renew`, or moves the flow to a successor of its coordinator."""

    flow: int
    token: bytes
    expires_at: float


class TokenRefused(Datagram, tag=18):
    """The datagram's token is expired or belongs elsewhere; open a new flow."""

    reason: str


class ServerLost(Datagram, tag=19):
    """The flow's backend server is gone or is not the one in the token; open a new flow."""

    stream: int
    reason: str


class ServerLeaving(Datagram, tag=20):
    """The flow's backend server is leaving: reopen, and move the stream to the new server."""

    stream: int


# Between entry VMs and backend servers.


class Forward(Datagram, tag=30):
    """Carries part of a stream to a backend server, which echoes `label` in what it returns.

    The server refuses a service, name or incarnation other than its own with `Mismatch`.
    """

    service: str
    server: str
    server_incarnation: int
    stream: int
    label: bytes
    body: bytes


class Return(Datagram, tag=31):
    """Carries part of a stream from a backend server."""

    label: bytes
    body: bytes


class Mismatch(Datagram, tag=32):
    """A backend server's refusal of a `Forward` that was meant for another."""

    label: bytes


# Between entry VMs; sealed with the key ring.


class Relay(Datagram, tag=40):
    """A caller's datagram on its way to the flow's coordinator."""

    caller: Address
    payload: bytes
    hops: int


CallerMessage = Open | Send | Request | Renew | Close
EntryVmMessage = (
    Opened
    | OpenRefused
    | Deliver
    | Answer
    | NotRun
    | OutcomeUnknown
    | CoordinatorLost
    | Renewed
    | TokenRefused
    | ServerLost
    | ServerLeaving
)
ServerMessage = Return | Mismatch

_encoder = msgspec.msgpack.Encoder()
_caller_decoder = msgspec.msgpack.Decoder(CallerMessage)
_entry_vm_decoder = msgspec.msgpack.Decoder(EntryVmMessage)
_server_decoder = msgspec.msgpack.Decoder(ServerMessage)
_forward_decoder = msgspec.msgpack.Decoder(Forward)
_relay_decoder = msgspec.msgpack.Decoder(Relay)


def encode(message: Datagram) -> bytes:
    """Encodes a datagram."""
    return _encoder.encode(message)


def decode_from_caller(payload: bytes) -> Result[CallerMessage, str]:
    """Decodes what a caller sent to an entry VM."""
    return _decode(payload, _caller_decoder)


def decode_from_entry_vm(payload: bytes) -> Result[EntryVmMessage, str]:
    """Decodes what an entry VM sent to a caller."""
    return _decode(payload, _entry_vm_decoder)


def decode_from_server(payload: bytes) -> Result[ServerMessage, str]:
    """Decodes what a backend server sent to an entry VM."""
    return _decode(payload, _server_decoder)


def decode_forward(payload: bytes) -> Result[Forward, str]:
    """Decodes what an entry VM sent to a backend server."""
    return _decode(payload, _forward_decoder)


def decode_relay(payload: bytes) -> Result[Relay, str]:
    """Decodes what an entry VM sent to another, after its seal was opened."""
    return _decode(payload, _relay_decoder, MAX_RELAY_BYTES)


def _decode(
    payload: bytes, decoder: msgspec.msgpack.Decoder, limit: int = MAX_DATAGRAM_BYTES
) -> Result:
    if len(payload) > limit:
        return Err(f"datagram of {len(payload)} bytes is over {limit}")
    try:
        return Ok(decoder.decode(payload))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
