"""Event scheduler with a virtual clock."""

import heapq
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import TypeVar

T = TypeVar("T")

START_EPOCH_SECONDS = 1_000_000.0


class Schedule:
    """Makes scheduled calls in order of their time on a virtual clock, in epoch seconds."""

    def __init__(self) -> None:
        self.now = START_EPOCH_SECONDS
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Schedules a call for a time in epoch seconds; one in the past is made next."""
        self._sequence += 1
        heapq.heappush(self._queue, (moment, self._sequence, call))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call some seconds from now."""
        self.at(self.now + seconds, call)

    def schedule_random(
        self,
        random: Random,
        choices: Sequence[T],
        first: float,
        end: float,
        interval: float,
        call: Callable[[T], None],
    ) -> None:
        """Schedules calls from `first` until before `end`, each with a random choice.

        The time between two calls is exponentially distributed with the mean `interval`.
        """
        moment = first
        while moment < end:
            self.at(moment, partial(call, random.choice(choices)))
            moment += random.expovariate(1.0 / interval)

    def run_until(self, moment: float) -> None:
        """Makes all calls due up to a time, and moves the clock to it."""
        while self._queue and self._queue[0][0] <= moment:
            due, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            call()
        self.now = max(self.now, moment)
