"""JSON from outside, decoded and checked."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


def decode_json(body: bytes | msgspec.Raw, expected_type: type[T]) -> Result[T, str]:
    """Decodes and checks JSON; whatever is wrong with it is an error, also deep nesting."""
    try:
        return Ok(msgspec.json.decode(body, type=expected_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
