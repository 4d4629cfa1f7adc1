"""Datagrams exchanged between callers, entry VMs and backend servers.

Each is a MessagePack array that begins with the tag of its type. Entry VMs neither number nor
retransmit datagrams: sequencing and acknowledgement of a stream are up to the caller and the
backend server.
"""

import msgspec
from result import Err, Ok, Result

from ..shared.addresses import Address

MAX_DATAGRAM_BYTES = 1400
MAX_RELAY_BYTES = MAX_DATAGRAM_BYTES + 200
MAX_REQUEST_BODY_BYTES = 1000
ANSWER_PIECE_BYTES = 1000
MAX_ANSWER_PIECES = 64
MAX_NAME_CHARS = 64


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all datagrams."""


# Sent by callers.


class Open(Datagram, tag=1):
    """Opens a flow to a service; `previous_token` is the token of a flow to reopen, or empty."""

    service: str
    nonce: int
    previous_token: bytes = b""


class Send(Datagram, tag=2):
    """Carries part of a stream to the flow's backend server; entry VMs do not interpret `body`."""

    token: bytes
    body: bytes


class Request(Datagram, tag=3):
    """Requests one unit of work; `number` rises by one for each request of the flow.

    `deadline` is in epoch seconds. A retransmission is an identical datagram.
    """

    token: bytes
    number: int
    kind: str
    deadline: float
    body: bytes


class Renew(Datagram, tag=4):
    """Requests a token with a later expiry."""

    token: bytes


class Close(Datagram, tag=5):
    """Closes a flow."""

    token: bytes


# Sent to callers.


class Opened(Datagram, tag=10):
    """Answers `Open` with the flow's token; `expires_at` is in epoch seconds."""

    nonce: int
    flow: int
    stream: int
    token: bytes
    expires_at: float


class OpenRefused(Datagram, tag=11):
    """Answers `Open`: no flow was opened; retry at `retry_at` (epoch seconds) or later."""

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
    """The request was refused; it has not run and will not run.

    The caller may retry at `retry_at` (epoch seconds) or later.
    """

    flow: int
    number: int
    reason: str
    retry_at: float


class OutcomeUnknown(Datagram, tag=15):
    """It is unknown whether the request has run; it will not be started again."""

    flow: int
    number: int
    reason: str


class CoordinatorLost(Datagram, tag=16):
    """The flow's coordinator is gone, so the outcomes of the flow's open requests are unknown.

    The caller should reopen the flow.
    """

    flow: int


class Renewed(Datagram, tag=17):
    """Answers `Renew`, or carries the new token of a flow that another coordinator has adopted."""

    flow: int
    token: bytes
    expires_at: float


class TokenRefused(Datagram, tag=18):
    """The token is expired or not valid for this datagram; the caller should open a new flow."""

    reason: str


class ServerLost(Datagram, tag=19):
    """The flow's backend server is gone or is not the one named in the token.

    The caller should open a new flow.
    """

    stream: int
    reason: str


class ServerLeaving(Datagram, tag=20):
    """The flow's backend server is draining.

    The caller should reopen the flow and continue the stream on the new server.
    """

    stream: int


# Exchanged between entry VMs and backend servers.


class Forward(Datagram, tag=30):
    """Carries part of a stream to a backend server, which echoes `label` in what it returns.

    The server answers `Mismatch` if the service, name or incarnation is not its own.
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
    """A backend server's refusal of a `Forward` that was addressed to another server."""

    label: bytes


# Exchanged between entry VMs; authenticated with the key ring.


class Relay(Datagram, tag=40):
    """A caller's datagram that is relayed to the flow's coordinator."""

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
    """Encodes a datagram as MessagePack."""
    return _encoder.encode(message)


def decode_from_caller(payload: bytes) -> Result[CallerMessage, str]:
    """Decodes a datagram from a caller to an entry VM."""
    return _decode(payload, _caller_decoder)


def decode_from_entry_vm(payload: bytes) -> Result[EntryVmMessage, str]:
    """Decodes a datagram from an entry VM to a caller."""
    return _decode(payload, _entry_vm_decoder)


def decode_from_server(payload: bytes) -> Result[ServerMessage, str]:
    """Decodes a datagram from a backend server to an entry VM."""
    return _decode(payload, _server_decoder)


def decode_forward(payload: bytes) -> Result[Forward, str]:
    """Decodes a datagram from an entry VM to a backend server."""
    return _decode(payload, _forward_decoder)


def decode_relay(payload: bytes) -> Result[Relay, str]:
    """Decodes a datagram between entry VMs, after its seal was verified and removed."""
    return _decode(payload, _relay_decoder, MAX_RELAY_BYTES)


def _decode(
    payload: bytes, decoder: msgspec.msgpack.Decoder, limit: int = MAX_DATAGRAM_BYTES
) -> Result:
    if len(payload) > limit:
        return Err(f"datagram of {len(payload)} bytes exceeds the limit of {limit}")
    try:
        return Ok(decoder.decode(payload))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
