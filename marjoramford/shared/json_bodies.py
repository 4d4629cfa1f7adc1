"""Decoding and validation of JSON from outside."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


def decode_json(body: bytes | msgspec.Raw, expected_type: type[T]) -> Result[T, str]:
    """Decodes and validates JSON; any defect, including too deep nesting, gives an error."""
    try:
        return Ok(msgspec.json.decode(body, type=expected_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
