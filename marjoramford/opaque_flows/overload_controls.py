"""Admission of new flows while the servers of a service are overloaded.

Load pattern: for some seconds callers ask for more than all slots of a service can do, and the
queues of all servers fill. Servers work first in, first out, so nearly every answer then misses its
target latency although most of the demand would fit. Requests on open flows cannot be refused,
because an open flow must not be reset while its server lives. New flows are refused instead, those
of the least important routes first, at the rate that keeps answers near the target latency.

In a small fleet the requests in progress through all entry VMs are known (`peer_loads`), and with
them the queues of the servers: a flow is refused if it would wait too long at every server.

In a larger fleet a part of the entry VMs reports, and the mean load of the servers is extrapolated
from it: a flow is refused if the mean is too high and answers are slow.

Without reports the evidence is the time until callers acknowledge answers. A full server turns
requests away at once, so quick answers prove nothing: the slowest of the latest answers of each
server counts. The median over the servers is taken, so that a few slow servers are no overload.
Slow answers of a service whose slots are free are no overload either.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from random import Random

import msgspec

from ..shared.backend_servers import BackendServer
from .cold_starts import is_limited
from .flow_settings import OverloadSettings
from .routes import Route

# Answers of one server that count. While a server turns half of its requests away, all of them are
# quick in 1 of 16 cases.
LATEST_ANSWERS = 4
# Work of the longest requests of the deployments (5 to 72 ms). The openings of a limited server
# occupy at most this time each; a longer time counts more slots and so refuses less.
LONGEST_WORK_SECONDS = 0.072
# Share of the target latency that an answer may take with its wait in a queue, for the least
# important routes and for each priority above; the rest is for the spread of the work.
QUEUED_SHARE = 0.3
QUEUED_SHARE_STEP = 0.8
UNLOADED_WEIGHT = 0.05
# Weight of a tick in the moving average of the load; the average covers about three seconds.
LOAD_WEIGHT = 0.03
# Requests per slot by which this average must exceed the limit to count as overload that lasts.
PERSISTENT_MARGIN = 0.1
# Requests per slot by which queues may be longer before: short waves end by themselves.
TRANSIENT_MARGIN = 1.5
# Requests per slot by which the mean of all servers must exceed the limit.
MEAN_MARGIN = 0.25
# Requests per slot by which an extrapolated mean must exceed the limit: servers are less even than
# where all loads are known, and the extrapolation is uncertain.
SAMPLE_MARGIN = 0.5
# Share of the target latency that answers must take besides. Where full queues are worked off
# within it, refusals gain nothing.
SAMPLE_LATENCY_SHARE = 0.7


class Answer(msgspec.Struct, frozen=True):
    """An answer that a caller acknowledged.

    Attributes:
        at: time on the monotonic clock, in seconds.
        latency_share: time until the answer as a share of the target latency of its route.
    """

    at: float
    latency_share: float


def _make_latest_answers() -> deque[Answer]:
    return deque(maxlen=LATEST_ANSWERS)


class RouteActivity:
    """Counts answers by route over the current and the previous interval.

    Only routes with regular traffic are refused. A route that a new catalogue version has just
    added gets a few flows at first; refusing them would look as if the version were not in force.

    Args:
        interval_seconds: length of an interval.
    """

    def __init__(self, interval_seconds: float):
        self._interval_seconds = interval_seconds
        self._interval_end = float("-inf")
        self._current: Counter[tuple[int, int]] = Counter()
        self._previous: Counter[tuple[int, int]] = Counter()
        self._priorities: dict[tuple[int, int], int] = {}

    def record(self, route: Route, now: float) -> None:
        """Counts one answer on a route."""
        self._expire(now)
        address = (route.ip, route.port)
        self._current[address] += 1
        self._priorities[address] = route.priority

    def count(self, route: Route, now: float) -> int:
        """Returns the answers counted on a route."""
        self._expire(now)
        address = (route.ip, route.port)
        return self._current[address] + self._previous[address]

    def count_less_important(self, route: Route, minimum: int, now: float) -> int:
        """Returns the number of lower priorities that routes with `minimum` answers have."""
        self._expire(now)
        lower = {
            priority
            for address, priority in self._priorities.items()
            if priority > route.priority
            and self._current[address] + self._previous[address] >= minimum
        }
        return len(lower)

    def _expire(self, now: float) -> None:
        if now < self._interval_end:
            return
        is_next_interval = now < self._interval_end + self._interval_seconds
        self._previous = self._current if is_next_interval else Counter()
        self._current = Counter()
        self._interval_end = now + self._interval_seconds
        self._priorities = {a: p for a, p in self._priorities.items() if a in self._previous}


class OverloadControl:
    """Decides which new flows of one service are refused, for one entry VM.

    A proportional-integral controller, as in the queue management PIE (RFC 8033), moves the refusal
    level so that answers take `target_share` of their target latency. A level from 0 to 1 is the
    share of refused flows of the least important routes; each further whole number stands for the
    routes of the next priority.
    """

    def __init__(self, settings: OverloadSettings):
        self._settings = settings
        self._answers: defaultdict[str, deque[Answer]] = defaultdict(_make_latest_answers)
        self._activity = RouteActivity(settings.activity_seconds)
        self._latency_share = 0.0
        # Requests per slot; infinity while they are not known.
        self._load = float("inf")
        # Moving average of the share of the target latency that answers take without queues.
        self._unloaded_share = 0.0
        self._level = 0.0

    @property
    def level(self) -> float:
        """The refusal level; 0 while nothing is refused."""
        return self._level

    @property
    def latency_share(self) -> float:
        """Median over servers of their slowest recent answer, as a share of the target latency."""
        return self._latency_share

    def record_answer(self, server: str, route: Route, seconds: float, now: float) -> None:
        """Records the time until an answer to a request that was not retransmitted."""
        latency_share = seconds / route.target_seconds
        self._answers[server].append(Answer(now, latency_share))
        if self._load < 1:
            average = self._unloaded_share or latency_share
            self._unloaded_share = average + UNLOADED_WEIGHT * (latency_share - average)
        self._activity.record(route, now)

    def discard_answers(self) -> None:
        """Discards the recent answers, after this process was stalled."""
        self._answers.clear()

    def update(self, slots_taken: bool, now: float) -> None:
        """Moves the refusal level; must be called several times a second.

        Args:
            slots_taken: whether the slots of the service are taken, see `are_slots_taken`.
            now: time on the monotonic clock, in seconds.
        """
        settings = self._settings
        self._expire_answers(now - settings.window_seconds)
        latency_share = self._measure_latency_share()
        if latency_share >= settings.target_share and not slots_taken:
            latency_share = 0.0
        error = latency_share - settings.target_share
        trend = latency_share - self._latency_share
        level = self._level + settings.error_gain * error + settings.trend_gain * trend
        self._latency_share = latency_share
        self._level = min(max(0.0, level), settings.max_level)

    def refuses(self, route: Route, now: float, random: Random) -> bool:
        """Returns whether a new flow of a route is refused while the slots are taken."""
        if not self._level or not self._is_regular(route, now):
            return False
        return random.random() < self._level - self._rank(route, now)

    def update_by_loads(self, loads: Sequence[float]) -> None:
        """Sets the refusal level to 1 or 0 by the loads of the servers; see `refuses_by_loads`."""
        self._latency_share = 0.0
        if loads:
            self._record_load(_mean(loads))
        else:
            self._load = float("inf")
        self._level = 1.0 if is_queue_full(loads, self._queue_limit(0)) else 0.0

    def update_by_sample(self, mean_load: float, now: float) -> None:
        """Sets the refusal level to 1 or 0 by an extrapolated mean load; see `refuses_by_sample`.

        Args:
            mean_load: requests in progress per slot, of the servers that accept flows.
            now: time on the monotonic clock, in seconds.
        """
        self._expire_answers(now - self._settings.window_seconds)
        self._latency_share = self._measure_latency_share()
        self._record_load(mean_load)
        self._level = 1.0 if self._is_sample_full(mean_load, 0) else 0.0

    def refuses_by_sample(self, route: Route, mean_load: float, now: float) -> bool:
        """Returns whether a new flow of a route is refused, by an extrapolated mean load.

        Args:
            route: the flow's route.
            mean_load: requests in progress per slot, of the servers that accept flows.
            now: time on the monotonic clock, in seconds.
        """
        if not self._is_regular(route, now):
            return False
        return self._is_sample_full(mean_load, self._rank(route, now))

    def _is_sample_full(self, mean_load: float, rank: int) -> bool:
        is_slow = self._latency_share >= SAMPLE_LATENCY_SHARE
        return is_slow and mean_load >= self._queue_limit(rank) + SAMPLE_MARGIN

    def _record_load(self, mean_load: float) -> None:
        if self._load == float("inf"):
            self._load = mean_load
        else:
            self._load += LOAD_WEIGHT * (mean_load - self._load)

    def refuses_by_loads(self, route: Route, loads: Sequence[float], now: float) -> bool:
        """Returns whether a new flow of a route is refused, where the loads of servers are known.

        Each priority that is more important is refused at longer queues.

        Args:
            route: the flow's route.
            loads: requests in progress per slot, of each server that accepts flows.
            now: time on the monotonic clock, in seconds.
        """
        if not self._is_regular(route, now):
            return False
        limit = self._queue_limit(self._rank(route, now))
        if self._load < limit + PERSISTENT_MARGIN:
            limit += TRANSIENT_MARGIN
        return is_queue_full(loads, limit)

    def _queue_limit(self, rank: int) -> float:
        """Returns the requests per slot from which on flows of a route are refused.

        Args:
            rank: number of less important priorities that routes with regular traffic have.
        """
        limit = 1 + self._settings.queued_share * (1 + rank)
        if not self._unloaded_share:
            return limit
        return max(limit, (QUEUED_SHARE + rank * QUEUED_SHARE_STEP) / self._unloaded_share)

    def _is_regular(self, route: Route, now: float) -> bool:
        return self._activity.count(route, now) >= self._settings.min_route_answers

    def _rank(self, route: Route, now: float) -> int:
        return self._activity.count_less_important(route, self._settings.min_route_answers, now)

    def _expire_answers(self, since: float) -> None:
        for server, answers in list(self._answers.items()):
            while answers and answers[0].at < since:
                answers.popleft()
            if not answers:
                del self._answers[server]

    def _measure_latency_share(self) -> float:
        if sum(map(len, self._answers.values())) < self._settings.min_answers:
            return 0.0
        slowest = sorted(
            max(answer.latency_share for answer in answers) for answers in self._answers.values()
        )
        return slowest[len(slowest) // 2]


def is_queue_full(loads: Sequence[float], limit: float) -> bool:
    """Returns whether another request would wait too long at every server.

    The loads change between two reports, so the servers must exceed the limit on average too.

    Args:
        loads: requests in progress per slot, of each server that accepts flows.
        limit: load from which on a request waits too long at a server.
    """
    if not loads:
        return False
    return min(loads) >= limit and _mean(loads) >= limit + MEAN_MARGIN


def are_slots_taken(
    servers: Iterable[BackendServer],
    count_requests: Callable[[BackendServer], float],
    queued_share: float,
    warmup_limit: float = 0.0,
    now: float = 0.0,
) -> bool:
    """Returns whether the slots of a service are taken and requests wait for them.

    Servers of drained zones do not count: their slots are of no use to new flows.

    Args:
        servers: the servers of the service.
        count_requests: returns the requests in progress at a server through all entry VMs.
        queued_share: waiting requests that are required, as a share of the slots.
        warmup_limit: flows per second that may open at a cold server; 0 if there is no limit.
        now: time on the monotonic clock, in seconds.
    """
    listed = [
        server for server in servers if server.unlisted_since is None and not server.zone_drained
    ]
    in_progress = sum(map(count_requests, listed))
    slots = sum(_count_slots(server, warmup_limit, now) for server in listed)
    return in_progress > (1 + queued_share) * slots


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _count_slots(server: BackendServer, warmup_limit: float, now: float) -> float:
    """Returns the slots of a server; of a cold one only as many as its limit can occupy."""
    if not is_limited(server, warmup_limit, now):
        return server.slots
    return min(server.slots, warmup_limit * LONGEST_WORK_SECONDS)
