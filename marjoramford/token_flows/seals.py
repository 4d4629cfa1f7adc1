"""The header that authenticates HTTP bodies between entry VMs."""

from result import Result

from .keys import HEADER_BYTES, KeyRing, Purpose

SEAL_HEADER = "X-Marjoramford-Seal"


def seal_header(body: bytes, keys: KeyRing) -> dict[str, str]:
    """Returns the header that authenticates a body."""
    return {SEAL_HEADER: keys.seal(body, Purpose.CONTROL)[:HEADER_BYTES].hex()}


def verify_body(header: str, body: bytes, keys: KeyRing) -> Result[bytes, str]:
    """Returns the body if the header's value authenticates it, else the reason for rejection."""
    try:
        prefix = bytes.fromhex(header)
    except ValueError:
        prefix = b""
    return keys.open(prefix + body, Purpose.CONTROL)
