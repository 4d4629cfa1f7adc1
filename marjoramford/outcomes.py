"""Datagrams that tell a caller how its request ended."""

from .messages import ANSWER_PIECE_BYTES, Answer, NotRun, OutcomeUnknown, encode
from .requests import Answered, Refused, RequestRecord, Unknown


def final_datagrams(record: RequestRecord) -> list[bytes]:
    """Returns the datagrams for a final state; none while the request has none."""
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
