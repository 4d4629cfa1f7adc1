"""The key ring that authenticates tokens, labels and messages between entry VMs."""

import hashlib
import hmac
from collections.abc import Mapping
from enum import Enum

from result import Err, Ok, Result

MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES


class Purpose(Enum):
    """What a sealed payload is used for; a seal made for one purpose fails for any other."""

    TOKEN = b"mf-token"
    LABEL = b"mf-label"
    PEER = b"mf-peer"
    CONTROL = b"mf-control"


class KeyRing:
    """Seals payloads with the current key and verifies them with any key of the ring.

    A sealed payload consists of the key's id (1 byte), a keyed BLAKE2b authentication code (16
    bytes) and the payload itself. Payloads are authenticated, not encrypted.
    """

    def __init__(self, keys: Mapping[int, bytes], current: int):
        self._keys = dict(keys)
        self._current = current

    def seal(self, payload: bytes, purpose: Purpose) -> bytes:
        """Returns the payload, prefixed with key id and authentication code."""
        mac = _compute_mac(self._keys[self._current], payload, purpose)
        return bytes((self._current,)) + mac + payload

    def open(self, sealed: bytes, purpose: Purpose) -> Result[bytes, str]:
        """Verifies a sealed payload; returns the payload, or the reason why it is rejected."""
        if len(sealed) < HEADER_BYTES:
            return Err("sealed payload is too short")
        key = self._keys.get(sealed[0])
        if key is None:
            return Err(f"key {sealed[0]} is not in the key ring")
        payload = sealed[HEADER_BYTES:]
        if not hmac.compare_digest(sealed[1:HEADER_BYTES], _compute_mac(key, payload, purpose)):
            return Err("authentication code does not match")
        return Ok(payload)


def _compute_mac(key: bytes, payload: bytes, purpose: Purpose) -> bytes:
    return hashlib.blake2b(payload, digest_size=MAC_BYTES, key=key, person=purpose.value).digest()
