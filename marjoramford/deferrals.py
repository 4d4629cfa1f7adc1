"""Defers commands until the whole command line has been parsed.

`fire` calls a method as soon as it has its arguments, and rejects unknown flags only afterwards.
A deferred command runs after that check, so a mistyped flag never starts it.
"""

from collections.abc import Callable
from functools import partial, wraps

_deferred_calls: list[Callable[[], None]] = []


def deferred(method: Callable[..., None]) -> Callable[..., None]:
    """Decorator that makes a command's method record its call instead of running."""

    @wraps(method)
    def record_call(*args, **options) -> None:
        _deferred_calls.append(partial(method, *args, **options))

    return record_call


def run_deferred() -> None:
    """Runs the recorded calls in order."""
    while _deferred_calls:
        _deferred_calls.pop(0)()
