"""Requests at their coordinator: states, transitions and the window of request numbers.

Each flow has a sliding window of the request numbers already seen. A request is accepted for
dispatch only when its number is marked as seen for the first time, so at-most-once execution does
not depend on clocks. Records of final states are kept for a limited time so that a retransmission
gets the same answer again.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from ..shared.addresses import Address
from .invariants import Invariant, Invariants

WINDOW_SIZE = 64


@dataclass(frozen=True, slots=True)
class Waiting:
    """The request has been queued for a server since `since` (epoch seconds)."""

    since: float


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The request was dispatched to a server at `sent_at` (epoch seconds)."""

    server: str
    dispatch: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Answered:
    """Final state: the server returned the complete answer `body`."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Final state: the request did not run and never will."""

    reason: str
    retry_at: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """Final state: the request may have run and will not be dispatched again."""

    reason: str


FinalState = Answered | Refused | Unknown
State = Waiting | Dispatched | FinalState


@dataclass(slots=True)
class RequestRecord:
    """One request at its coordinator.

    Attributes:
        deadline: epoch seconds; the request is never dispatched after it.
        sticky_server: for a sticky kind of request, the server that gets it as long as that
            server accepts work and is not ejected; otherwise empty.
        priority: lower numbers are dispatched first.
        may_have_run: whether an earlier dispatch broke off without proof that the server did not
            run the request. Set only for an idempotent request that is queued again; any other
            request ends as `Unknown` when this happens.
        attempts: number of dispatches.
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
        """Whether the request has reached a final state."""
        return isinstance(self.state, FinalState)

    def dispatch(self, server: str, dispatch: int, now: float, invariants: Invariants) -> None:
        """Changes the state from waiting to dispatched."""
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
        """Changes the state from dispatched to waiting after proof that the request did not run."""
        if isinstance(self.state, Dispatched):
            self.state = Waiting(now)

    def requeue_after_break(self, now: float) -> None:
        """Changes an idempotent request back to waiting; the broken dispatch may have run."""
        self.may_have_run = True
        self.state = Waiting(now)

    def finish(self, final: FinalState, invariants: Invariants) -> None:
        """Sets the final state and releases the request's body; must be called only once.

        A second call violates `Invariant.ONE_FINAL_STATE`. Outside strict mode the violation is
        counted and the new final state replaces the first.
        """
        invariants.check(not self.is_final, Invariant.ONE_FINAL_STATE, (self.number, self.state))
        if isinstance(final, Refused):
            is_proved_not_run = not self.may_have_run and isinstance(self.state, Waiting)
            invariants.check(
                is_proved_not_run, Invariant.REFUSED_ONLY_IF_NOT_RUN, (self.number, self.state)
            )
        self.state = final
        self.body = b""

    def give_up(self, reason: str, retry_at: float, invariants: Invariants) -> None:
        """Ends the request as refused if it has certainly not run, otherwise as unknown."""
        match self.state:
            case Waiting() if not self.may_have_run:
                self.finish(Refused(reason, retry_at), invariants)
            case _:
                self.finish(Unknown(reason), invariants)


@dataclass(frozen=True, slots=True)
class NewRequest:
    """The number had not been seen before; it is marked as seen now."""


@dataclass(frozen=True, slots=True)
class Retransmission:
    """The number was seen before and its record still exists."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class StaleNumber:
    """The number cannot be accepted and has no record.

    It was seen before, is below the window or below 1, or the flow is frozen.
    """


Admission = NewRequest | Retransmission | StaleNumber


_ACTIVE = 0
_FROZEN = 1
_MOVED = 2
_ABANDONED = 3


class Flow:
    """A flow at its coordinator: expiry, window of request numbers, records and hand-over stage."""

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
        """Bit mask of the window: bit i is set if the number `highest` - i was seen."""
        return self._seen

    @property
    def is_frozen(self) -> bool:
        """Whether new requests are not accepted because of the hand-over of the flow."""
        return self._stage != _ACTIVE

    @property
    def has_moved(self) -> bool:
        """Whether the successor has confirmed that it now coordinates the flow."""
        return self._stage == _MOVED

    @property
    def is_abandoned(self) -> bool:
        """Whether it is not known, and never will be, which entry VM coordinates the flow."""
        return self._stage == _ABANDONED

    @property
    def is_idle(self) -> bool:
        """Whether all requests of the flow have a final state."""
        return all(record.is_final for record in self.records())

    def freeze(self) -> None:
        """Stops accepting new requests."""
        self._stage = max(self._stage, _FROZEN)

    def unfreeze(self) -> None:
        """Accepts new requests again, after proof that no successor has adopted the flow."""
        if self._stage == _FROZEN:
            self._stage = _ACTIVE

    def abandon(self) -> None:
        """Records that the hand-over failed and that a successor may have adopted the flow."""
        if self._stage == _FROZEN:
            self._stage = _ABANDONED

    def confirm_move(self) -> None:
        """Records that the successor has taken over the flow."""
        self._stage = _MOVED

    def records(self) -> Iterator[RequestRecord]:
        """Yields the existing records."""
        yield from (self._records or {}).values()

    def get_record(self, number: int) -> RequestRecord | None:
        """Returns the record of a request number, or None if it has none."""
        return self._records.get(number) if self._records else None

    def admit(self, number: int) -> Admission:
        """Returns whether a request number is new, repeated or stale; marks a new one as seen."""
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
        """Adds the record of an admitted request."""
        if self._records is None:
            self._records = {}
        self._records[record.number] = record

    def drop_record(self, number: int) -> None:
        """Removes a record; its number remains marked as seen."""
        if self._records:
            self._records.pop(number, None)
            self._records = self._records or None


_WINDOW_MASK = (1 << WINDOW_SIZE) - 1
