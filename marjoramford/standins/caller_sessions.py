"""Caller without I/O: opens a flow, retransmits, and checks the answers that it receives."""

from dataclasses import dataclass, field
from random import Random
from typing import Literal

import msgspec
from result import Err, Ok

from ..token_flows.messages import (
    Answer,
    Close,
    CoordinatorLost,
    Deliver,
    NotRun,
    Open,
    Opened,
    OpenRefused,
    OutcomeUnknown,
    Renew,
    Renewed,
    Request,
    Send,
    ServerLeaving,
    ServerLost,
    TokenRefused,
    decode_from_entry_vm,
    encode,
)
from .streams import (
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
    upload_piece,
)

RETRANSMIT_INTERVAL_SECONDS = 0.25
STREAM_SEND_INTERVAL_SECONDS = 0.2
BROKEN_AFTER_SECONDS = 6.0
REOPEN_AFTER_SECONDS = 2.0
CONFIRM_AFTER_IDLE_SECONDS = 2.0
RENEW_AT_LIFETIME_SHARE = 0.5

Result = Literal["whole", "not_run", "unknown"]


@dataclass(slots=True)
class PendingRequest:
    """A request without an outcome.

    Attributes:
        was_sent_before: whether it was sent to an earlier coordinator, so that it may have run.
        pieces: pieces of the answer that have arrived, by index.
    """

    work: bytes
    kind: str
    deadline: float
    sent_at: float
    idempotent: bool = False
    was_sent_before: bool = False
    datagram: bytes = b""
    retransmit_at: float = 0.0
    pieces: dict[int, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How a request ended for the caller; `seconds` is the time since the caller made it."""

    work: bytes
    kind: str
    result: Result
    reason: str
    seconds: float


@dataclass(slots=True)
class Board:
    """A board or draft stream that the caller follows.

    Attributes:
        next_index: index of the first piece that has not arrived.
        longest_gap: longest time between two pieces that arrived in order, in seconds.
    """

    started_at: float
    next_index: int = 0
    progressed_at: float = 0.0
    longest_gap: float = 0.0


@dataclass(slots=True)
class Upload:
    """An upload from the caller.

    Attributes:
        number: identifier of the upload.
        total: number of pieces.
        next_index: index of the first piece that the server has not acknowledged.
        restarts: number of times the upload was restarted from its first piece.
    """

    number: int
    total: int
    next_index: int = 0
    restarts: int = 0
    whole: bool = False
    progressed_at: float = 0.0


class CallerSession:
    """One flow of one caller, with its requests and at most one stream.

    After an idle period it renews its token before it sends a request: if the coordinator was lost
    in the meantime, the flow is reopened and the request goes to the new coordinator.

    Attributes:
        outcomes: outcomes of the requests that ended.
        foreign: number of malformed datagrams, and of answers, pieces and upload states of another
            stream or upload, or with unexpected content, such as that of another caller or service.
        reopened: number of times the flow was reopened, by cause.
    """

    def __init__(self, service: str, random: Random, name: str):
        self.service = service
        self.name = name
        self.board: Board | None = None
        self.upload: Upload | None = None
        self.outcomes: list[RequestOutcome] = []
        self.foreign = 0
        self.open_refusals = 0
        self.reopened: dict[str, int] = {}
        self.token = b""
        self._random = random
        self._previous_token = b""
        self._flow = 0
        self._stream = 0
        self._renew_at = float("inf")
        self._last_renew_at = 0.0
        self._last_confirmed_at = 0.0
        self._nonce = random.getrandbits(32)
        self._next_open_at = 0.0
        self._next_stall_reopen_at = 0.0
        self._next_stream_send_at = 0.0
        self._last_number = 0
        self._pending: dict[int, PendingRequest] = {}
        self._unsent: list[PendingRequest] = []
        self._server_lost = False
        self._request_count = 0

    @property
    def is_open(self) -> bool:
        """Whether the flow has a token."""
        return bool(self.token)

    @property
    def pending_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending) + len(self._unsent)

    def request(self, kind: str, deadline: float, now: float, idempotent: bool = False) -> bytes:
        """Queues a request for the next poll and returns the identifier of its work.

        The deadline is in epoch seconds. When the flow is reopened, an idempotent request in flight
        is sent again; any other ends as unknown.
        """
        self._request_count += 1
        work = f"{self.service}:{self.name}-{self._request_count}".encode()
        self._unsent.append(PendingRequest(work, kind, deadline, now, idempotent))
        return work

    def follow_board(self, now: float) -> None:
        """Starts following a board."""
        self.board = Board(started_at=now, progressed_at=now)

    def start_upload(self, total: int, now: float) -> None:
        """Starts an upload of `total` pieces."""
        self.upload = Upload(self._random.getrandbits(32), total, progressed_at=now)

    def close(self) -> list[bytes]:
        """Returns the datagrams that end the flow."""
        return [encode(Close(self.token))] if self.token else []

    def is_stalled(self, now: float) -> bool:
        """Whether the stream has made no progress for so long that it counts as broken."""
        return self._stream_idle_seconds(now) > BROKEN_AFTER_SECONDS

    def was_broken(self, now: float) -> bool:
        """Whether the stream is stalled now, the board ever was, or the upload was restarted."""
        gap = self.board.longest_gap if self.board is not None else 0.0
        restarts = self.upload.restarts if self.upload is not None else 0
        return self.is_stalled(now) or gap > BROKEN_AFTER_SECONDS or restarts > 0

    def poll(self, now: float) -> list[bytes]:
        """Returns the datagrams that are due."""
        self._expire_requests(now)
        self._reopen_if_stalled(now)
        if not self.token:
            return self._due_open(now)
        datagrams = []
        if self._unsent and now - self._last_confirmed_at > CONFIRM_AFTER_IDLE_SECONDS:
            self._renew_at = min(
                self._renew_at, max(now, self._last_renew_at + RETRANSMIT_INTERVAL_SECONDS)
            )
        else:
            datagrams += [self._first_datagram(pending, now) for pending in self._unsent]
            self._unsent.clear()
        for pending in self._pending.values():
            if pending.retransmit_at <= now:
                pending.retransmit_at = now + RETRANSMIT_INTERVAL_SECONDS
                datagrams.append(pending.datagram)
        if self._renew_at <= now:
            self._renew_at = now + RETRANSMIT_INTERVAL_SECONDS
            self._last_renew_at = now
            datagrams.append(encode(Renew(self.token)))
        if self._next_stream_send_at <= now:
            self._next_stream_send_at = now + STREAM_SEND_INTERVAL_SECONDS
            datagrams += [encode(Send(self.token, body)) for body in self._stream_bodies()]
        return datagrams

    def receive(self, payload: bytes, now: float) -> None:
        """Handles a datagram from an entry VM."""
        match decode_from_entry_vm(payload):
            case Ok(message):
                self._handle(message, now)
            case Err():
                self.foreign += 1

    def _handle(self, message, now: float) -> None:
        match message:
            case Opened():
                self._handle_opened(message, now)
            case OpenRefused(nonce=nonce, retry_at=retry_at) if nonce == self._nonce:
                self.open_refusals += 1
                self._next_open_at = max(now + RETRANSMIT_INTERVAL_SECONDS, retry_at)
            case Deliver(stream=stream, body=body):
                self._handle_piece(stream, body, now)
            case Answer():
                self._handle_answer(message, now)
            case NotRun(flow=flow, number=number, reason=reason):
                self._finish_request(flow, number, "not_run", reason, now)
            case OutcomeUnknown(flow=flow, number=number, reason=reason):
                self._finish_request(flow, number, "unknown", reason, now)
            case CoordinatorLost(flow=flow) if flow == self._flow:
                self._reopen("coordinator lost", now)
            case ServerLost(stream=stream) if stream == self._stream:
                self._reopen("server lost", now)
            case ServerLeaving(stream=stream) if stream == self._stream:
                self._move_to_other_server(now)
            case TokenRefused():
                self._previous_token = b""
                self._reopen("token refused", now)
            case Renewed(flow=flow, token=token, expires_at=expires_at) if flow == self._flow:
                self._adopt_token(token, expires_at, now)

    def _stream_idle_seconds(self, now: float) -> float:
        board, upload = self.board, self.upload
        idle_seconds = now - board.progressed_at if board is not None else 0.0
        if upload is not None and not upload.whole:
            idle_seconds = max(idle_seconds, now - upload.progressed_at)
        return idle_seconds

    def _reopen_if_stalled(self, now: float) -> None:
        """Reopens the flow, over another path or server, when the stream makes no progress."""
        if (
            self._stream_idle_seconds(now) > REOPEN_AFTER_SECONDS
            and now >= self._next_stall_reopen_at
        ):
            self._next_stall_reopen_at = now + REOPEN_AFTER_SECONDS
            self._reopen("stalled", now)

    def _due_open(self, now: float) -> list[bytes]:
        if self._next_open_at > now:
            return []
        self._next_open_at = now + RETRANSMIT_INTERVAL_SECONDS
        return [encode(Open(self.service, self._nonce, self._previous_token))]

    def _handle_opened(self, message: Opened, now: float) -> None:
        if message.nonce != self._nonce or self.token:
            return
        has_new_stream = self._stream and message.stream != self._stream
        if has_new_stream and self.board is not None:
            self.board.next_index = 0
            self.board.started_at = now
        if (has_new_stream or self._server_lost) and self.upload is not None:
            self._restart_upload(self.upload)
        self._server_lost = False
        self._flow = message.flow
        self._stream = message.stream
        self._last_number = 0
        self._adopt_token(message.token, message.expires_at, now)
        self._next_stream_send_at = now

    def _adopt_token(self, token: bytes, expires_at: float, now: float) -> None:
        self.token = token
        self._previous_token = token
        self._last_confirmed_at = now
        self._renew_at = now + (expires_at - now) * RENEW_AT_LIFETIME_SHARE

    def _restart_upload(self, upload: Upload) -> None:
        if not upload.whole:
            upload.next_index = 0
            upload.restarts += 1

    def _reopen(self, cause: str, now: float) -> None:
        """Drops the token so that the next poll opens the flow again.

        The old coordinator may have dispatched the requests in flight: idempotent ones are sent
        again, the others end as unknown.
        """
        if not self.token:
            return
        for number, pending in list(self._pending.items()):
            if pending.idempotent:
                del self._pending[number]
                pending.pieces.clear()
                pending.was_sent_before = True
                self._unsent.append(pending)
            else:
                self._finish_request(self._flow, number, "unknown", cause, now)
        self._server_lost = cause == "server lost"
        self.reopened[cause] = self.reopened.get(cause, 0) + 1
        self.token = b""
        self._nonce = self._random.getrandbits(32)
        self._next_open_at = now

    def _move_to_other_server(self, now: float) -> None:
        """Reopens the flow on another server once no upload or request needs the current one."""
        uploading = self.upload is not None and not self.upload.whole
        if not uploading and not self._pending:
            self._reopen("server leaving", now)

    def _first_datagram(self, pending: PendingRequest, now: float) -> bytes:
        self._last_number += 1
        request = Request(
            self.token, self._last_number, pending.kind, pending.deadline, pending.work
        )
        pending.datagram = encode(request)
        pending.retransmit_at = now + RETRANSMIT_INTERVAL_SECONDS
        self._pending[self._last_number] = pending
        return pending.datagram

    def _stream_bodies(self) -> list[bytes]:
        bodies = []
        if self.board is not None:
            bodies.append(
                encode_body(Follow(self.service, self.board.next_index, self.board.started_at))
            )
        upload = self.upload
        if upload is not None and not upload.whole:
            last = min(upload.total, upload.next_index + WINDOW_PIECES)
            indexes = range(min(upload.next_index, upload.total - 1), last)
            bodies += [encode_body(self._upload_piece(upload, index)) for index in indexes]
        return bodies

    def _upload_piece(self, upload: Upload, index: int) -> UploadPiece:
        body = upload_piece(upload.number, index)
        return UploadPiece(self.service, upload.number, index, upload.total, body)

    def _handle_piece(self, stream: int, payload: bytes, now: float) -> None:
        if stream != self._stream:
            self.foreign += 1
            return
        try:
            body = decode_body(payload)
        except msgspec.MsgspecError:
            self.foreign += 1
            return
        match body:
            case BoardPiece(index=index, body=content) if self.board is not None:
                self._handle_board_piece(self.board, index, content, now)
            case UploadState() if self.upload is not None:
                self._handle_upload_state(self.upload, body, now)

    def _handle_board_piece(self, board: Board, index: int, content: bytes, now: float) -> None:
        if content != board_piece(self.service, self._stream, index):
            self.foreign += 1
        elif index == board.next_index:
            board.next_index += 1
            board.longest_gap = max(board.longest_gap, now - board.progressed_at)
            board.progressed_at = now

    def _handle_upload_state(self, upload: Upload, state: UploadState, now: float) -> None:
        if state.upload != upload.number:
            self.foreign += 1
            return
        if state.next_index > upload.next_index:
            upload.next_index = state.next_index
            upload.progressed_at = now
            self._next_stream_send_at = now
        if state.digest and not upload.whole:
            pieces = [upload_piece(upload.number, index) for index in range(upload.total)]
            upload.whole = state.digest == upload_digest(self.service, upload.number, pieces)
            self.foreign += not upload.whole

    def _handle_answer(self, message: Answer, now: float) -> None:
        pending = self._pending.get(message.number) if message.flow == self._flow else None
        if pending is None:
            return
        pending.pieces[message.piece] = message.body
        if len(pending.pieces) < message.pieces:
            return
        body = b"".join(pending.pieces[index] for index in range(message.pieces))
        if body != answer_body(self.service, pending.kind, pending.work):
            self.foreign += 1
        self._finish_request(message.flow, message.number, "whole", "", now)

    def _finish_request(
        self, flow: int, number: int, result: Result, reason: str, now: float
    ) -> None:
        if flow != self._flow:
            return
        self._last_confirmed_at = now
        pending = self._pending.pop(number, None)
        if pending is not None:
            if pending.was_sent_before and result == "not_run":
                result = "unknown"
            seconds = now - pending.sent_at
            self.outcomes.append(
                RequestOutcome(pending.work, pending.kind, result, reason, seconds)
            )

    def _expire_requests(self, now: float) -> None:
        for number, pending in list(self._pending.items()):
            if pending.deadline + 2 * RETRANSMIT_INTERVAL_SECONDS <= now:
                self._finish_request(
                    self._flow, number, "unknown", "no outcome by the deadline", now
                )
        for pending in [p for p in self._unsent if p.deadline <= now]:
            self._unsent.remove(pending)
            seconds = now - pending.sent_at
            was_sent = pending.was_sent_before
            result: Result = "unknown" if was_sent else "not_run"
            reason = "sent to a lost coordinator" if was_sent else "never sent"
            self.outcomes.append(
                RequestOutcome(pending.work, pending.kind, result, reason, seconds)
            )
