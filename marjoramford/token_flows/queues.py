"""Priority queue of the requests that wait for a backend server.

It estimates waiting times and removes requests that cannot be answered before their deadline. The
coordinator limits its length.
"""

import heapq
import math
from collections import Counter
from collections.abc import Iterator

from .requests import RequestRecord, Waiting

RATE_DECAY_SECONDS = 2.0
CLASS_RANKS = {"critical": 0, "standard": 1, "bulk": 2}


class WaitingQueue:
    """Queued requests of one service: lowest priority number first, then in order of arrival.

    Attributes:
        class_rank: rank of the service class; when the entry VM is overloaded, requests of the
            highest rank are refused first.
    """

    def __init__(self, class_rank: int):
        self.class_rank = class_rank
        self._heap: list[tuple[int, int, RequestRecord]] = []
        self._push_count = 0
        self._answers_per_second = 0.0
        self._rate_updated_at = 0.0
        self._count_by_priority: Counter[int] = Counter()

    def __len__(self) -> int:
        return sum(self._count_by_priority.values())

    def push(self, record: RequestRecord, at_front: bool = False) -> None:
        """Adds a waiting request behind all others of its priority, or in front of them."""
        self._push_count += 1
        self._count_by_priority[record.priority] += 1
        order = -self._push_count if at_front else self._push_count
        heapq.heappush(self._heap, (record.priority, order, record))

    def pop(self) -> RequestRecord | None:
        """Removes and returns the first request, or None if the queue is empty."""
        self._drop_ended()
        if not self._heap:
            return None
        record = heapq.heappop(self._heap)[2]
        self._count_by_priority[record.priority] -= 1
        return record

    def waiting(self) -> Iterator[RequestRecord]:
        """Yields the waiting requests, the first one first and the others in no order."""
        return (item[2] for item in self._heap if isinstance(item[2].state, Waiting))

    def drop_last(self) -> RequestRecord | None:
        """Removes and returns the last request, or None if the queue is empty."""
        self._drop_ended()
        if not self._heap:
            return None
        last = max(self._heap)
        self._heap.remove(last)
        heapq.heapify(self._heap)
        self._count_by_priority[last[2].priority] -= 1
        return last[2]

    def drop_late(self, max_duration_seconds: float, now: float) -> list[RequestRecord]:
        """Removes the requests whose deadline is less than `max_duration_seconds` away.

        Returns the removed requests, except those that had already ended.
        """
        min_deadline = now + max_duration_seconds
        late = [item[2] for item in self._heap if item[2].deadline < min_deadline]
        if late:
            self._heap = [item for item in self._heap if item[2].deadline >= min_deadline]
            heapq.heapify(self._heap)
            self._count_by_priority.subtract(record.priority for record in late)
        return [record for record in late if isinstance(record.state, Waiting)]

    def record_completion(self, now: float) -> None:
        """Records one answered request of the service, whether or not it had been queued.

        The rate of answers is the estimate of how fast the queue can move.
        """
        self._answers_per_second = self._answers_per_second_at(now) + 1.0 / RATE_DECAY_SECONDS
        self._rate_updated_at = now

    def expected_wait_seconds(
        self, priority: int, mean_duration_seconds: float, now: float
    ) -> float:
        """Estimates how long a new request of a priority would wait, in seconds.

        Args:
            priority: priority of the new request.
            mean_duration_seconds: mean execution time of a request.
            now: epoch seconds.
        """
        ahead = sum(
            count
            for waiting_priority, count in self._count_by_priority.items()
            if waiting_priority <= priority
        )
        return self._seconds_to_serve(ahead + 1, mean_duration_seconds, now)

    def drop_infeasible(
        self, max_duration_seconds: float, mean_duration_seconds: float, now: float
    ) -> list[RequestRecord]:
        """Removes requests from the end of the queue that cannot be dispatched in time.

        Args:
            max_duration_seconds: time to reserve for the execution before the deadline.
            mean_duration_seconds: mean execution time of a request.
            now: epoch seconds.

        Returns:
            The removed requests, except those that had already ended.
        """
        dropped = []
        while self._heap:
            last = max(self._heap)[2]
            wait_seconds = self._seconds_to_serve(len(self), mean_duration_seconds, now)
            if now + wait_seconds <= last.deadline - max_duration_seconds:
                break
            self.drop_last()
            if isinstance(last.state, Waiting):
                dropped.append(last)
        return dropped

    def _seconds_to_serve(self, count: int, mean_duration_seconds: float, now: float) -> float:
        return count / max(self._answers_per_second_at(now), 1.0 / mean_duration_seconds)

    def _answers_per_second_at(self, now: float) -> float:
        return self._answers_per_second * math.exp(
            -max(0.0, now - self._rate_updated_at) / RATE_DECAY_SECONDS
        )

    def _drop_ended(self) -> None:
        while self._heap and not isinstance(self._heap[0][2].state, Waiting):
            ended = heapq.heappop(self._heap)[2]
            self._count_by_priority[ended.priority] -= 1
