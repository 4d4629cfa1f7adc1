"""Protocol that simulated callers and backend servers use inside streams.

Entry VMs forward these bodies without reading them. The two ends number, acknowledge and retransmit
the pieces. Callers name the service they mean, so that a server detects misdirected bodies.
"""

import hashlib

import msgspec

PIECE_BYTES = 400
WINDOW_PIECES = 16


class Follow(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Acknowledges every piece of a board before `next_index`.

    `started_at` is when the caller started to follow the board, in epoch seconds.
    """

    service: str
    next_index: int
    started_at: float


class BoardPiece(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One piece of a board."""

    index: int
    body: bytes


class UploadPiece(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """One piece of an upload of `total` pieces."""

    service: str
    upload: int
    index: int
    total: int
    body: bytes


class UploadState(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Acknowledges every piece of an upload before `next_index`.

    `digest` is set once the upload is whole.
    """

    upload: int
    next_index: int
    digest: bytes = b""


StreamBody = Follow | BoardPiece | UploadPiece | UploadState
encode_body = msgspec.msgpack.Encoder().encode
decode_body = msgspec.msgpack.Decoder(StreamBody).decode


def board_piece(service: str, stream: int, index: int) -> bytes:
    """Returns the content of one piece of a service's board, which differs for each stream."""
    seed = hashlib.blake2b(f"{service}/{stream}/{index}".encode(), digest_size=16).digest()
    return seed * (PIECE_BYTES // len(seed))


def upload_piece(upload: int, index: int) -> bytes:
    """Returns the content of one piece of an upload."""
    return board_piece("upload", upload, index)


def upload_digest(service: str, upload: int, pieces: list[bytes]) -> bytes:
    """Returns the digest with which a service confirms a whole upload."""
    digest = hashlib.blake2b(f"{service}/{upload}/".encode(), digest_size=16)
    for piece in pieces:
        digest.update(piece)
    return digest.digest()


def work_service(work: bytes) -> str:
    """Returns the service that the caller named in the identifier of a piece of work."""
    return work.split(b":", 1)[0].decode()


def answer_body(service: str, kind: str, work: bytes) -> bytes:
    """Returns the expected answer to a request.

    Answers to `seats` and `clause` requests are long enough for two or more pieces.
    """
    head = f"{service}/{kind}/".encode() + work
    repeats = 40 if kind in ("seats", "clause") else 1
    return head * repeats
