"""Calls that wait until the whole command line was understood.

`fire` calls a method as soon as its own arguments are there and looks at the rest of the line only
afterwards. A deferred command runs after that, so a mistyped flag never starts it.
"""

from collections.abc import Callable
from functools import partial, wraps

_deferred_calls: list[Callable[[], None]] = []


def deferred(method: Callable[..., None]) -> Callable[..., None]:
    """Makes a command's method note its call instead of running."""

    @wraps(method)
    def record_call(*args, **options) -> None:
        _deferred_calls.append(partial(method, *args, **options))

    return record_call


def run_deferred() -> None:
    """Runs the calls that were noted."""
    while _deferred_calls:
        _deferred_calls.pop(0)()
