"""Actions: the output of the decision core, carried out by the daemon's tasks."""

from dataclasses import dataclass

from ..shared.addresses import Address


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Sends a datagram to a caller through the network fabric."""

    caller: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class SendInner:
    """Sends a datagram to a backend server or another entry VM."""

    address: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Sends a request to a backend server over HTTP; `deadline` is in epoch seconds.

    The sending task checks the deadline again immediately before it sends.
    """

    dispatch: int
    address: Address
    service: str
    server: str
    server_incarnation: int
    flow: int
    number: int
    kind: str
    deadline: float
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Closes the connection of a dispatch whose outcome no longer matters."""

    dispatch: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Posts a gossip request to another entry VM."""

    peer: str
    incarnation: int
    address: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReplyGossip:
    """Replies to the gossip request being handled."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Posts a batch of flows to the entry VM that takes them over."""

    batch: int
    peer: str
    address: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReplyHandover:
    """Replies to the handover request being handled."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """The planned stop is complete and the linger time is over; the process may exit."""


Action = (
    SendToCaller
    | SendInner
    | Dispatch
    | CancelDispatch
    | SendGossip
    | ReplyGossip
    | SendHandover
    | ReplyHandover
    | DrainFinished
)
