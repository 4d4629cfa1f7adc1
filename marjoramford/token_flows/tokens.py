"""Authenticated flow tokens, which callers send, and return labels, which backend servers echo."""

import msgspec
from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.entry_vms import Coordinator
from .keys import KeyRing, Purpose


class Token(msgspec.Struct, frozen=True, array_like=True):
    """Everything that an entry VM needs to forward a flow's datagrams without per-flow state.

    Attributes:
        flow: random number chosen by the coordinator, a new one for each open.
        stream: the flow number of the first open; it stays the same when the caller reopens.
        service_incarnation: revision at which the service was added to the catalogue.
        peer_address: where the coordinator receives relayed datagrams.
        issued_at: epoch seconds.
        expires_at: epoch seconds.
    """

    flow: int
    stream: int
    service: str
    service_incarnation: int
    server: str
    server_incarnation: int
    server_address: Address
    coordinator: Coordinator
    peer_address: Address
    caller: Address
    issued_at: float
    expires_at: float


class Label(msgspec.Struct, frozen=True, array_like=True):
    """The return path to the caller, which the backend server echoes as opaque, signed bytes.

    The entry VM that receives the reply needs no per-flow state to return it to the caller.
    """

    caller: Address
    stream: int
    service: str
    server: str
    server_incarnation: int
    expires_at: float


_encode = msgspec.msgpack.Encoder().encode
_decode_token = msgspec.msgpack.Decoder(Token).decode
_decode_label = msgspec.msgpack.Decoder(Label).decode


def seal_token(token: Token, keys: KeyRing) -> bytes:
    """Returns a token as authenticated bytes."""
    return keys.seal(_encode(token), Purpose.TOKEN)


def verify_token(sealed: bytes, keys: KeyRing) -> Result[Token, str]:
    """Authenticates and decodes a token; the function's caller must check expiry and owner."""
    match keys.open(sealed, Purpose.TOKEN):
        case Ok(payload):
            return _try_decode(payload, _decode_token)
        case Err() as failure:
            return failure


def seal_label(label: Label, keys: KeyRing) -> bytes:
    """Returns a label as authenticated bytes."""
    return keys.seal(_encode(label), Purpose.LABEL)


def verify_label(sealed: bytes, keys: KeyRing, now: float) -> Result[Label, str]:
    """Authenticates and decodes a label; fails if it has expired at `now` (epoch seconds)."""
    match keys.open(sealed, Purpose.LABEL):
        case Ok(payload):
            decoded = _try_decode(payload, _decode_label)
            if decoded.is_ok() and decoded.ok().expires_at <= now:
                return Err("label has expired")
            return decoded
        case Err() as failure:
            return failure


def _try_decode(payload: bytes, decode) -> Result:
    try:
        return Ok(decode(payload))
    except msgspec.MsgspecError as error:
        return Err(str(error))
