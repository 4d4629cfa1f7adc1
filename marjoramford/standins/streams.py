"""What callers and backend servers say to each other inside streams.

Entry VMs carry these bodies unread. The two ends number the pieces, acknowledge and repeat them.
Callers name the service they mean, so that a server can tell what was never meant for it.
"""

import hashlib

import msgspec

PIECE_BYTES = 400
WINDOW_PIECES = 16


class Follow(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The caller has every piece of a board before `have`; the board began at `began_at`."""

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
    """The server has every piece of an upload before `have`; `digest` is set when it is whole."""

    upload: int
    next_index: int
    digest: bytes = b""


StreamBody = Follow | BoardPiece | UploadPiece | UploadState
encode_body = msgspec.msgpack.Encoder().encode
decode_body = msgspec.msgpack.Decoder(StreamBody).decode


def board_piece(service: str, stream: int, index: int) -> bytes:
    """Returns the content that a service's board has at an index, for one stream."""
    seed = hashlib.blake2b(f"{service}/{stream}/{index}".encode(), digest_size=16).digest()
    return seed * (PIECE_BYTES // len(seed))


def upload_piece(upload: int, index: int) -> bytes:
    """Returns the content of one piece of an upload."""
    return board_piece("upload", upload, index)


def upload_digest(service: str, upload: int, pieces: list[bytes]) -> bytes:
    """Returns what a service answers for a whole upload."""
    digest = hashlib.blake2b(f"{service}/{upload}/".encode(), digest_size=16)
    for piece in pieces:
        digest.update(piece)
    return digest.digest()


def work_service(work: bytes) -> str:
    """Returns the service that a caller meant a piece of work for."""
    return work.split(b":", 1)[0].decode()


def answer_body(service: str, kind: str, work: bytes) -> bytes:
    """Returns the whole answer to a request, over two pieces long for a board's seats."""
    head = f"{service}/{kind}/".encode() + work
    repeats = 40 if kind in ("seats", "clause") else 1
    return head * repeats
