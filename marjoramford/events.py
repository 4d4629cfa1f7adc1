"""What the daemon's tasks tell the decision core."""

from dataclasses import dataclass

from .addresses import Address


@dataclass(frozen=True, slots=True)
class CallerDatagram:
    """A datagram that the fabric brought from a caller."""

    caller: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class InnerDatagram:
    """A datagram from a backend server or another entry VM."""

    sender: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """The server ran the request and gave its whole answer."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ProvedNotRun:
    """The server, or the failure to reach it, proves that the request did not run."""

    reason: str
    draining: bool = False
    unreachable: bool = False
    mismatch: bool = False


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The connection broke or timed out; the request may have run."""

    reason: str


DispatchOutcome = AnswerReceived | ProvedNotRun | BrokenOff


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """The outcome of a `Dispatch` action."""

    dispatch: int
    outcome: DispatchOutcome


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server's load endpoint answered; `measured_at` is when, in epoch seconds."""

    server: str
    incarnation: int
    busy: int
    slots: int
    draining: bool
    measured_at: float


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A backend server's load endpoint did not answer."""

    server: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class CatalogueRead:
    """Catalogue entries from the platform, each as JSON; none is missing up to `through`."""

    records: tuple[bytes, ...]
    through: int


@dataclass(frozen=True, slots=True)
class VmListRead:
    """VM records from the platform, each as JSON; none is missing up to `through`."""

    records: tuple[bytes, ...]
    through: int


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Another entry VM's gossip; the core answers with one `ReplyGossip`."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class GossipReplied:
    """The reply to a `SendGossip` action."""

    peer: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class GossipFailed:
    """A `SendGossip` action got no reply."""

    peer: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """A leaving coordinator's flows; the core answers with one `ReplyHandover`."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class HandoverReplied:
    """The reply to a `SendHandover` action; `payload` is None when none came."""

    batch: int
    payload: bytes | None


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """An operator asks for a planned stop, to be finished by `deadline` (epoch seconds)."""

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
