"""Requests that wait for a backend server, in order of priority, bounded in number."""

import heapq
from collections import Counter

from .requests import RequestRecord, Waiting

CLASS_RANKS = {"critical": 0, "standard": 1, "bulk": 2}


class WaitingQueue:
    """One service's waiting requests: lower priority numbers first, then first come first served.

    Attributes:
        class_rank: 0 for the service class that is refused last.
    """

    def __init__(self, class_rank: int):
        self.class_rank = class_rank
        self._heap: list[tuple[int, int, RequestRecord]] = []
        self._arrivals = 0
        self._by_priority: Counter[int] = Counter()

    def __len__(self) -> int:
        return sum(self._by_priority.values())

    def push(self, record: RequestRecord, first: bool = False) -> None:
        """Adds a waiting request, behind or before all others of its priority."""
        self._arrivals += 1
        self._by_priority[record.priority] += 1
        order = -self._arrivals if first else self._arrivals
        heapq.heappush(self._heap, (record.priority, order, record))

    def pop(self) -> RequestRecord | None:
        """Removes and returns the first request."""
        self._drop_ended()
        if not self._heap:
            return None
        record = heapq.heappop(self._heap)[2]
        self._by_priority[record.priority] -= 1
        return record

    def drop_last(self) -> RequestRecord | None:
        """Removes and returns the request that would be served last."""
        self._drop_ended()
        if not self._heap:
            return None
        last = max(self._heap)
        self._heap.remove(last)
        heapq.heapify(self._heap)
        self._by_priority[last[2].priority] -= 1
        return last[2]

    def drop_overdue(self, now: float) -> list[RequestRecord]:
        """Removes and returns the requests whose deadline has passed."""
        overdue = [item[2] for item in self._heap if item[2].deadline <= now]
        if overdue:
            self._heap = [item for item in self._heap if item[2].deadline > now]
            heapq.heapify(self._heap)
            self._by_priority.subtract(record.priority for record in overdue)
        return [record for record in overdue if isinstance(record.state, Waiting)]

    def expected_wait(self, priority: int, running: int, mean_work: float) -> float:
        """Estimates how long a new request of a priority would wait.

        Args:
            priority: the new request's priority.
            running: how many of the service's requests this entry VM has with servers.
            mean_work: how long one takes, in seconds.
        """
        ahead = sum(count for rank, count in self._by_priority.items() if rank <= priority)
        return (ahead + 1) * mean_work / max(1, running)

    def _drop_ended(self) -> None:
        while self._heap and not isinstance(self._heap[0][2].state, Waiting):
            ended = heapq.heappop(self._heap)[2]
            self._by_priority[ended.priority] -= 1
