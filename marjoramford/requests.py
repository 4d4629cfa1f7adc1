"""Requests as their coordinator sees them: states, transitions and the window of numbers.

A flow's window remembers which request numbers were ever seen. A number is dispatched only on the
way from unseen to seen, which makes "at most once" independent of clocks; records of final states
are kept until a deadline only so that a retransmission gets the same answer again.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from .addresses import Address
from .invariants import Invariant, Invariants

WINDOW_SIZE = 64


@dataclass(frozen=True, slots=True)
class Waiting:
    """Nothing runs; the request waits for a server since `since` (epoch seconds)."""

    since: float


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The request was sent to a server at `sent_at` (epoch seconds)."""

    server: str
    dispatch: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Answered:
    """Final: the server's whole answer."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Final: the request did not run and will not."""

    reason: str
    retry_at: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """Final: the request may have run and will not run again."""

    reason: str


FinalState = Answered | Refused | Unknown
State = Waiting | Dispatched | FinalState


@dataclass(slots=True)
class RequestRecord:
    """One request at its coordinator.

    Attributes:
        may_have_run: some dispatch ended without proof that the server did not run it.
        sticky_server: the flow's own server, for a kind that goes there while it takes work.
    """

    flow: int
    number: int
    service: str
    kind: str
    idempotent: bool
    deadline: float
    body: bytes
    caller: Address
    state: State
    sticky_server: str = ""
    priority: int = 5
    may_have_run: bool = False
    attempts: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the request has its final state."""
        return isinstance(self.state, FinalState)

    def dispatch(self, server: str, dispatch: int, now: float, invariants: Invariants) -> None:
        """Moves from waiting to dispatched."""
        invariants.check(
            isinstance(self.state, Waiting), Invariant.ONE_FINAL_STATE, (self.number, self.state)
        )
        invariants.check(
            now < self.deadline, Invariant.DISPATCH_BEFORE_DEADLINE, (self.number, now)
        )
        invariants.check(
            self.idempotent or not self.may_have_run, Invariant.SINGLE_DISPATCH, self.number
        )
        self.state = Dispatched(server, dispatch, now)
        self.attempts += 1

    def requeue(self, now: float) -> None:
        """Moves from dispatched back to waiting: the server proved that it ran nothing."""
        if isinstance(self.state, Dispatched):
            self.state = Waiting(now)

    def requeue_after_break(self, now: float) -> None:
        """Moves an idempotent request back to waiting; the broken dispatch may have run."""
        self.may_have_run = True
        self.state = Waiting(now)

    def finish(self, final: FinalState, invariants: Invariants) -> None:
        """Moves to a final state, once; the request's body is given up."""
        invariants.check(not self.is_final, Invariant.ONE_FINAL_STATE, (self.number, self.state))
        if isinstance(final, Refused):
            is_proved_not_run = not self.may_have_run and isinstance(self.state, Waiting)
            invariants.check(
                is_proved_not_run, Invariant.REFUSED_ONLY_IF_NOT_RUN, (self.number, self.state)
            )
        self.state = final
        self.body = b""

    def give_up(self, reason: str, retry_at: float, invariants: Invariants) -> None:
        """Ends the request truthfully: refused if it never ran, unknown if it may have."""
        match self.state:
            case Waiting() if not self.may_have_run:
                self.finish(Refused(reason, retry_at), invariants)
            case _:
                self.finish(Unknown(reason), invariants)


@dataclass(frozen=True, slots=True)
class NewRequest:
    """The number was never seen; it is now."""


@dataclass(frozen=True, slots=True)
class Retransmission:
    """The number was seen and its record is kept."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class StaleNumber:
    """The number was seen or lies below the window; no record is kept."""


Admission = NewRequest | Retransmission | StaleNumber


_ACTIVE = 0
_FROZEN = 1
_MOVED = 2


class Flow:
    """A flow at its coordinator: its expiry, its window of request numbers and their records."""

    __slots__ = ("service", "server", "expires_at", "_highest", "_seen", "_records", "_stage")

    def __init__(
        self, service: str, server: str, expires_at: float, highest: int = 0, seen: int = 0
    ):
        self.service = service
        self.server = server
        self.expires_at = expires_at
        self._highest = highest
        self._seen = seen
        self._records: dict[int, RequestRecord] | None = None
        self._stage = _ACTIVE

    @property
    def highest(self) -> int:
        """The highest request number seen."""
        return self._highest

    @property
    def seen(self) -> int:
        """Bit i is set when number `highest` - i was seen."""
        return self._seen

    @property
    def is_frozen(self) -> bool:
        """Whether the flow is handed over or being so; it then admits nothing."""
        return self._stage != _ACTIVE

    @property
    def has_moved(self) -> bool:
        """Whether the successor has confirmed that it coordinates the flow now."""
        return self._stage == _MOVED

    @property
    def is_idle(self) -> bool:
        """Whether no request is waiting or with a server."""
        return all(record.is_final for record in self.records())

    def freeze(self) -> None:
        """Admits nothing from now on; there is no way back."""
        self._stage = max(self._stage, _FROZEN)

    def confirm_move(self) -> None:
        """Notes that the successor coordinates the flow."""
        self._stage = _MOVED

    def records(self) -> Iterator[RequestRecord]:
        """Yields the records kept."""
        yield from (self._records or {}).values()

    def get_record(self, number: int) -> RequestRecord | None:
        """Returns the record of a number if it is kept."""
        return self._records.get(number) if self._records else None

    def admit(self, number: int) -> Admission:
        """Marks a number as seen, and tells whether it was so before."""
        record = self.get_record(number)
        if record is not None:
            return Retransmission(record)
        if self.is_frozen or number < 1:
            return StaleNumber()
        if number > self._highest:
            shift = min(number - self._highest, WINDOW_SIZE)
            self._seen = ((self._seen << shift) | 1) & _WINDOW_MASK
            self._highest = number
            return NewRequest()
        offset = self._highest - number
        if offset >= WINDOW_SIZE or self._seen >> offset & 1:
            return StaleNumber()
        self._seen |= 1 << offset
        return NewRequest()

    def add_record(self, record: RequestRecord) -> None:
        """Keeps the record of an admitted number."""
        if self._records is None:
            self._records = {}
        self._records[record.number] = record

    def drop_record(self, number: int) -> None:
        """Drops a record; its number stays seen."""
        if self._records:
            self._records.pop(number, None)
            self._records = self._records or None


_WINDOW_MASK = (1 << WINDOW_SIZE) - 1
