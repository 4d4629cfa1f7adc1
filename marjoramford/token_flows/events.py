"""Events: the input of the decision core, submitted by the daemon's tasks."""

from dataclasses import dataclass

from ..shared.addresses import Address


@dataclass(frozen=True, slots=True)
class CallerDatagram:
    """A datagram from a caller, delivered by the network fabric."""

    caller: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class InnerDatagram:
    """A datagram from a backend server or another entry VM."""

    sender: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The server ran the request and its complete answer was received."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ProvedNotRun:
    """It is proved that the request did not run.

    The proof is the server's refusal, a failure to connect, or a deadline that passed before the
    request was sent.

    Attributes:
        draining: the server refused the request because it is draining.
        unreachable: no connection to the server could be made.
        mismatch: the request was addressed to another server, service or incarnation.
        expired: the deadline passed before the request started, which says nothing about the
            server.
    """

    reason: str
    draining: bool = False
    unreachable: bool = False
    mismatch: bool = False
    expired: bool = False


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The connection broke or timed out, or the status proves nothing; the request may have run."""

    reason: str


DispatchOutcome = AnswerReceived | ProvedNotRun | BrokenOff


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """The outcome of a `Dispatch` action."""

    dispatch: int
    outcome: DispatchOutcome


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server's load endpoint answered; `measured_at` is in epoch seconds."""

    server: str
    incarnation: int
    busy: int
    slots: int
    draining: bool
    measured_at: float


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A backend server's load endpoint gave no valid answer in time."""

    server: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class CatalogueRead:
    """Catalogue entries from the platform as JSON, complete up to revision `through`."""

    records: tuple[bytes, ...]
    through: int


@dataclass(frozen=True, slots=True)
class VmListRead:
    """VM records from the platform as JSON, complete up to revision `through`."""

    records: tuple[bytes, ...]
    through: int


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip request from another entry VM; the core answers with one `ReplyGossip`."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class GossipReplied:
    """The reply to a `SendGossip` action."""

    peer: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class GossipFailed:
    """A `SendGossip` action got no valid reply in time."""

    peer: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """Flows handed over by a leaving coordinator; the core answers with one `ReplyHandover`."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class HandoverReplied:
    """The reply to a `SendHandover` action; `payload` is None if there was no valid reply."""

    batch: int
    payload: bytes | None


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer event, at which the core does what has become due."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """An operator requests a planned stop, to be complete by `deadline` (epoch seconds)."""

    deadline: float


Event = (
    CallerDatagram
    | InnerDatagram
    | DispatchEnded
    | LoadReported
    | ProbeFailed
    | CatalogueRead
    | VmListRead
    | GossipReceived
    | GossipReplied
    | GossipFailed
    | HandoverReceived
    | HandoverReplied
    | Tick
    | DrainRequested
)
