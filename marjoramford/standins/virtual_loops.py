"""An asyncio event loop with a virtual clock, for code that waits but does no real I/O."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

T = TypeVar("T")


class VirtualTimeLoop(asyncio.BaseEventLoop):
    """Advances its clock to the next timer whenever no callback is ready."""

    def __init__(self, start: float = 1000.0):
        super().__init__()
        self._now = start
        self._selector = self

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._now

    def select(self, timeout: float | None) -> list:
        """Takes the place of a selector without files: lets the time until the next timer pass.

        Raises:
            RuntimeError: no callback is ready and no timer is set, so nothing can ever happen.
        """
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self._now += timeout
        return []

    def _process_events(self, event_list: list) -> None:
        """There are no files, so there are no events."""


def run_virtually(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a virtual clock, which `time.monotonic` follows meanwhile."""
    loop = VirtualTimeLoop()
    with mock.patch.object(time, "monotonic", loop.time):
        try:
            return loop.run_until_complete(main)
        finally:
            tasks = asyncio.all_tasks(loop)
            for task in tasks:
                task.cancel()
            if tasks:
                loop.run_until_complete(asyncio.wait(tasks))
            loop.close()
