"""What the decision core asks of the daemon's tasks."""

from dataclasses import dataclass

from .addresses import Address


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Sends a datagram to a caller through the fabric."""

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

    The deadline is checked again by the task that sends, immediately before it does.
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
    """Posts gossip to another entry VM."""

    peer: str
    incarnation: int
    address: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReplyGossip:
    """Answers the gossip being handled."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Posts flows to the successor."""

    batch: int
    peer: str
    address: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReplyHandover:
    """Answers the handover being handled."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """The planned stop is complete; the process may exit."""


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
