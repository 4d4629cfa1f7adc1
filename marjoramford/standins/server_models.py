"""Backend server without I/O: slots, draining, cold start, load shedding, streams, ledger."""

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

import msgspec

from ..token_flows.messages import Forward, Mismatch, Return
from .streams import (
    PIECE_BYTES,
    WINDOW_PIECES,
    BoardPiece,
    Follow,
    UploadPiece,
    UploadState,
    answer_body,
    board_piece,
    decode_body,
    encode_body,
    upload_digest,
    work_service,
)

BOARD_PIECES_PER_SECOND = 5.0
STREAM_IDLE_SECONDS = 2.0
LOAD_HISTORY_ENTRIES = 2000


@dataclass(slots=True)
class Ledger:
    """Record of what ran, kept outside the system under test to check its guarantees.

    Attributes:
        started: number of times each piece of work was started, by its identifier.
        finished: number of times each piece of work ended, by its identifier.
        foreign: number of requests and stream bodies accepted by a server of a service other than
            the one the caller meant.
        late_work: number of requests that a server started too long after it began to leave.
        misdirected: number of requests and datagrams that servers refused because they named
            another service, server or incarnation.
        work_seconds: total duration of all started work.
    """

    started: Counter[bytes] = field(default_factory=Counter)
    finished: Counter[bytes] = field(default_factory=Counter)
    foreign: int = 0
    late_work: int = 0
    misdirected: int = 0
    work_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """The request holds a slot for `seconds` and is then answered with `answer`."""

    seconds: float
    answer: bytes


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The request did not run; the reason is ``shed``, ``draining`` or ``mismatch``."""

    reason: str


@dataclass(slots=True)
class _Upload:
    total: int
    pieces: dict[int, bytes] = field(default_factory=dict)

    def next_index(self) -> int:
        """Returns the index of the first missing piece."""
        index = 0
        while index in self.pieces:
            index += 1
        return index


class ServerModel:
    """One incarnation of a backend server.

    Args:
        report_lag_seconds: age of its load reports.
        reports_idle: whether its load reports always say that no slot is busy.
        cold_until: end of the cold start, in epoch seconds; until then work takes twice as long.
        work_seconds: mean duration of work by kind.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        service: str,
        slots: int,
        random: Random,
        ledger: Ledger,
        work_seconds: dict[str, float],
        report_lag_seconds: float = 0.0,
        reports_idle: bool = False,
        cold_until: float = 0.0,
    ):
        self.name = name
        self.incarnation = incarnation
        self.service = service
        self.slots = slots
        self.reports_idle = reports_idle
        self.report_lag_seconds = report_lag_seconds
        self.ledger = ledger
        self.busy = 0
        self.draining_since: float | None = None
        self._random = random
        self._work_seconds = work_seconds
        self._cold_until = cold_until
        self._uploads: dict[tuple[int, int], _Upload] = {}
        self._streams: dict[int, float] = {}
        self._busy_history: deque[tuple[float, int]] = deque(
            [(0.0, 0)], maxlen=LOAD_HISTORY_ENTRIES
        )
        self._busy_seconds = 0.0
        self._busy_changed_at: float | None = None

    def submit(
        self, service: str, server: str, incarnation: int, kind: str, work: bytes, now: float
    ) -> RequestStarted | RequestRejected:
        """Starts a request, or rejects it: misdirected, the server drains, or no slot is free."""
        if not self._is_addressed_here(service, server, incarnation):
            self.ledger.misdirected += 1
            return RequestRejected("mismatch")
        if self.draining_since is not None:
            return RequestRejected("draining")
        if self.busy >= self.slots:
            return RequestRejected("shed")
        self.ledger.foreign += work_service(work) != self.service
        self._set_busy(self.busy + 1, now)
        self.ledger.started[work] += 1
        mean = self._work_seconds.get(kind, 0.3) * (2.0 if now < self._cold_until else 1.0)
        seconds = self._random.expovariate(1.0 / mean)
        self.ledger.work_seconds += seconds
        return RequestStarted(seconds, answer_body(service, kind, work))

    def finish(self, work: bytes, now: float) -> None:
        """Frees the slot of a request that ended."""
        self._set_busy(self.busy - 1, now)
        self.ledger.finished[work] += 1

    def drain(self, now: float) -> None:
        """Starts draining: new requests are rejected, running ones continue."""
        if self.draining_since is None:
            self.draining_since = now

    def is_drained(self, now: float) -> bool:
        """Whether draining has ended.

        It has when no request runs and no stream has received a datagram within
        `STREAM_IDLE_SECONDS`.
        """
        streams_idle = all(
            now - received_at > STREAM_IDLE_SECONDS for received_at in self._streams.values()
        )
        return self.draining_since is not None and self.busy == 0 and streams_idle

    def load(self, now: float) -> tuple[int, int, bool, float]:
        """Returns the load report: busy slots, slots, whether it drains, and when it was measured.

        The report is `report_lag_seconds` old, and wrong if the server always reports idle.
        """
        reported_at = now - self.report_lag_seconds
        busy = 0
        for at, count in reversed(self._busy_history):
            if at <= reported_at:
                busy = count
                break
        draining = self.draining_since is not None and self.draining_since <= reported_at
        return (0 if self.reports_idle else busy), self.slots, draining, max(0.0, reported_at)

    def busy_seconds(self, now: float) -> float:
        """Returns the total time that slots have been busy, summed over the slots."""
        since = self._busy_changed_at if self._busy_changed_at is not None else now
        return self._busy_seconds + self.busy * (now - since)

    def receive(self, message: Forward, now: float) -> list[Return | Mismatch]:
        """Handles a datagram of a stream and returns the replies.

        A datagram that names another service, server or incarnation is answered by a mismatch.
        """
        if not self._is_addressed_here(message.service, message.server, message.server_incarnation):
            self.ledger.misdirected += 1
            return [Mismatch(message.label)]
        self._streams[message.stream] = now
        try:
            body = decode_body(message.body)
        except msgspec.MsgspecError:
            return []
        replies = self._handle_stream_body(message.stream, body, now)
        return [Return(message.label, encode_body(reply)) for reply in replies]

    def _is_addressed_here(self, service: str, server: str, incarnation: int) -> bool:
        return (service, server, incarnation) == (self.service, self.name, self.incarnation)

    def _handle_stream_body(self, stream: int, body, now: float) -> list[BoardPiece | UploadState]:
        if isinstance(body, Follow | UploadPiece):
            self.ledger.foreign += body.service != self.service
        match body:
            case Follow(next_index=next_index, started_at=started_at):
                produced = int((now - started_at) * BOARD_PIECES_PER_SECOND)
                indexes = range(next_index, min(produced, next_index + WINDOW_PIECES))
                return [BoardPiece(i, board_piece(self.service, stream, i)) for i in indexes]
            case UploadPiece(upload=number, index=index, total=total, body=content):
                upload = self._uploads.setdefault((stream, number), _Upload(total))
                upload.pieces[index] = content[:PIECE_BYTES]
                return [self._upload_state(number, upload)]
            case _:
                return []

    def _upload_state(self, number: int, upload: _Upload) -> UploadState:
        next_index = upload.next_index()
        if next_index < upload.total:
            return UploadState(number, next_index)
        pieces = [upload.pieces[index] for index in range(upload.total)]
        return UploadState(number, next_index, upload_digest(self.service, number, pieces))

    def _set_busy(self, busy: int, now: float) -> None:
        self._busy_seconds = self.busy_seconds(now)
        self._busy_changed_at = now
        self.busy = busy
        self._busy_history.append((now, busy))
