"""Encodes the final state of a request as datagrams for the caller."""

from .messages import ANSWER_PIECE_BYTES, Answer, NotRun, OutcomeUnknown, encode
from .requests import Answered, Refused, RequestRecord, Unknown


def final_datagrams(record: RequestRecord) -> list[bytes]:
    """Returns the datagrams for a request's final state; an empty list if it is not final."""
    match record.state:
        case Answered(body=body):
            return _answer_pieces(record, body)
        case Refused(reason=reason, retry_at=retry_at):
            return [encode(NotRun(record.flow, record.number, reason, retry_at))]
        case Unknown(reason=reason):
            return [encode(OutcomeUnknown(record.flow, record.number, reason))]
        case _:
            return []


def _answer_pieces(record: RequestRecord, body: bytes) -> list[bytes]:
    starts = range(0, max(len(body), 1), ANSWER_PIECE_BYTES)
    return [
        encode(
            Answer(
                record.flow,
                record.number,
                piece,
                len(starts),
                body[start : start + ANSWER_PIECE_BYTES],
            )
        )
        for piece, start in enumerate(starts)
    ]
