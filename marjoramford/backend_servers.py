"""Backend servers as one entry VM sees them: published records, reports and its own evidence."""

import logging
from collections import defaultdict, deque
from collections.abc import Iterable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from .addresses import Address
from .failure_detectors import Responsiveness
from .logs import LogEvent, log_event
from .records import VmRecord

if TYPE_CHECKING:
    from .events import LoadReported

logger = logging.getLogger(__name__)

FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 5.0
MAX_EJECTED_SHARE = 0.5
COLD_START_SECONDS = 10.0
LIMIT_DECREASE_FACTOR = 0.5
LIMIT_INCREASE = 0.1
MIN_LIMIT = 1.0
DEFAULT_SLOTS = 2
TRUST_DECREASE_FACTOR = 0.5
TRUST_INCREASE = 0.02
TRUST_THRESHOLD = 0.3
DURATION_EWMA_WEIGHT = 0.1
DEFAULT_REQUEST_SECONDS = 0.1
UPPER_BOUND_DEVIATIONS = 3.0
MAX_SHED_DOUBLINGS = 4
MAX_CANDIDATES = 16
IN_PROGRESS_HISTORY_LENGTH = 128


def _make_history() -> deque[tuple[float, int]]:
    return deque(maxlen=IN_PROGRESS_HISTORY_LENGTH)


class RequestDurations(msgspec.Struct, eq=False):
    """How long a service's requests take, as this entry VM saw it, in seconds."""

    mean_seconds: float = DEFAULT_REQUEST_SECONDS
    deviation_seconds: float = 0.0
    count: int = 0

    @property
    def report_lifetime_seconds(self) -> float:
        """How long a load report stays of use, in seconds; forever while nothing has ended."""
        return self.mean_seconds if self.count else float("inf")

    @property
    def upper_bound_seconds(self) -> float:
        """A time within which nearly all requests end."""
        return self.mean_seconds + UPPER_BOUND_DEVIATIONS * self.deviation_seconds

    def record(self, seconds: float) -> None:
        """Counts one request."""
        self.count += 1
        weight = max(DURATION_EWMA_WEIGHT, 1.0 / self.count)
        difference = seconds - self.mean_seconds
        self.mean_seconds += weight * difference
        if self.count > 1:
            self.deviation_seconds += weight * (abs(difference) - self.deviation_seconds)


class BackendServer(msgspec.Struct, eq=False):
    """One incarnation of a backend server.

    Attributes:
        in_progress: requests that this entry VM has dispatched and that have not ended.
        limit: how many of its own requests this entry VM lets run there at a time.
        sheds: how many it shed in a row, up to a bound.
        closed_until: no dispatch before this time after the server shed one, in epoch seconds.
        ejected_until: not chosen before this time unless every server is bad, in epoch seconds.
        warm_at: when its cold start is over, in epoch seconds.
        trust: how far its load reports agree with what it answers, 0 to 1.
        open_flows: opaque flows of this entry VM that are open there.
        unlisted_since: when its entry left the published list; None while it is listed.
        separable: whether the label of its flows is its own.
    """

    name: str
    incarnation: int
    zone: str
    service: str
    data_address: Address
    http_address: Address
    slots: int = DEFAULT_SLOTS
    warm_at: float = 0.0
    leaving: bool = False
    gone: bool = False
    in_progress: int = 0
    limit: float = DEFAULT_SLOTS
    closed_until: float = 0.0
    ejected_until: float = 0.0
    failures: int = 0
    sheds: int = 0
    trust: float = 1.0
    reported_busy: int = 0
    reported_at: float = 0.0
    own_when_reported: int = 0
    open_flows: int = 0
    unlisted_since: float | None = None
    separable: bool = True
    responsiveness: Responsiveness = msgspec.field(default_factory=Responsiveness)
    _in_progress_history: deque[tuple[float, int]] = msgspec.field(default_factory=_make_history)

    @property
    def accepts_work(self) -> bool:
        """Whether it may get new work at all."""
        return self.separable and not self.leaving and not self.gone

    def is_open(self, now: float) -> bool:
        """Whether another request may be dispatched to it now."""
        return self.accepts_work and now >= self.closed_until and self.in_progress < int(self.limit)

    def start_request(self, now: float) -> None:
        """Counts a request of this entry VM that begins there."""
        self.in_progress += 1
        self._in_progress_history.append((now, self.in_progress))

    def end_request(self, now: float) -> None:
        """Counts a request of this entry VM that ended there."""
        self.in_progress -= 1
        self._in_progress_history.append((now, self.in_progress))

    def _in_progress_at(self, moment: float) -> int:
        """Returns how many own requests were there at a moment, as far as is remembered."""
        for at, count in reversed(self._in_progress_history):
            if at <= moment:
                return count
        return 0

    def apply_report(self, report: "LoadReported") -> None:
        """Takes what its load endpoint said."""
        if report.slots > 0:
            self.slots = report.slots
        if report.measured_at < self.reported_at:
            return
        self.reported_at = report.measured_at
        self.reported_busy = report.busy
        self.own_when_reported = self._in_progress_at(report.measured_at)
        if report.draining:
            self.start_leaving("load report")
        if self.own_when_reported:
            self._update_trust(agrees=report.busy >= self.own_when_reported)

    def record_answer(self) -> None:
        """Notes a request that it answered."""
        self.failures = 0
        self.sheds = 0
        self.limit = min(float(max(self.slots, MIN_LIMIT)), self.limit + LIMIT_INCREASE)

    def record_shed(self, closed_until: float, report_is_current: bool) -> None:
        """Notes a request that it refused, for want of a slot, without running it."""
        self.failures = 0
        self.sheds = min(self.sheds + 1, MAX_SHED_DOUBLINGS)
        self.closed_until = closed_until
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
        if report_is_current:
            self._update_trust(agrees=self.reported_busy >= self.slots - 1)

    def record_failure(self) -> None:
        """Notes a connection that failed or broke."""
        self.failures += 1

    def start_leaving(self, signal: str) -> None:
        """Gives it no new work from now on; the first signal of any kind is enough."""
        if not self.leaving:
            self.leaving = True
            log_event(logger, LogEvent.SERVER_LEAVING, server=self.name, signal=signal)

    def _update_trust(self, agrees: bool) -> None:
        trusted = self.trust >= TRUST_THRESHOLD
        if agrees:
            self.trust = min(1.0, self.trust + TRUST_INCREASE)
        else:
            self.trust *= TRUST_DECREASE_FACTOR
        if trusted and self.trust < TRUST_THRESHOLD:
            log_event(logger, LogEvent.SERVER_REPORT_DISTRUSTED, server=self.name)


class BackendServers:
    """Every backend server known, by name and by service."""

    def __init__(self) -> None:
        self._by_name: dict[str, BackendServer] = {}
        self._by_service: defaultdict[str, dict[str, BackendServer]] = defaultdict(dict)
        self._version = 0
        self._list_cache: dict[str, list[BackendServer]] = {}
        self._by_address: dict[Address, BackendServer] = {}
        self._request_durations: defaultdict[str, RequestDurations] = defaultdict(RequestDurations)

    @property
    def version(self) -> int:
        """Rises whenever a server appears, changes or goes."""
        return self._version

    def at(self, address: Address) -> BackendServer | None:
        """Returns the server listed last at a data address."""
        return self._by_address.get(address)

    def get(self, name: str) -> BackendServer | None:
        """Returns the newest incarnation of a server."""
        return self._by_name.get(name)

    def values(self) -> Iterable[BackendServer]:
        """Returns all servers known."""
        return self._by_name.values()

    def of_service(self, service: str) -> Iterable[BackendServer]:
        """Returns the servers of a service, leaving and ejected ones included."""
        return self._by_service[service].values() if service in self._by_service else ()

    def request_durations(self, service: str) -> RequestDurations:
        """Returns how long a service's requests take."""
        return self._request_durations[service]

    def apply_record(self, record: VmRecord) -> None:
        """Takes a backend server's record from the platform's list."""
        if record.role != "server":
            return
        known = self._by_name.get(record.name)
        if known is not None and record.incarnation < known.incarnation:
            return
        if (
            known is None
            or record.incarnation > known.incarnation
            or record.service != known.service
        ):
            known = self._replace_incarnation(known, record)
        if record.state != "live":
            known.start_leaving("VM list")
        if record.state == "gone":
            known.gone = True
        self._version += 1

    def mark_gone(self, server: BackendServer) -> None:
        """Notes that an incarnation is no longer at its address."""
        server.gone = True
        self._version += 1

    def mark_present(self, server: BackendServer) -> None:
        """Notes that an incarnation taken as gone is there after all."""
        server.gone = False
        self._version += 1

    def remove(self, server: BackendServer) -> None:
        """Drops an incarnation that is gone."""
        if self._by_address.get(server.data_address) is server:
            del self._by_address[server.data_address]
        if self._by_name.get(server.name) is server:
            del self._by_name[server.name]
            self._by_service[server.service].pop(server.name, None)
            self._list_cache.pop(server.service, None)
        self._version += 1

    def eject_if_failing(self, server: BackendServer, now: float) -> None:
        """Ejects a server after repeated failures, unless too many of its service are out."""
        if server.failures < FAILURES_TO_EJECT or server.ejected_until > now:
            return
        pool = [peer for peer in self.of_service(server.service) if peer.accepts_work]
        ejected = sum(peer.ejected_until > now for peer in pool)
        if ejected + 1 > len(pool) * MAX_EJECTED_SHARE:
            return
        server.failures = 0
        server.ejected_until = now + EJECTION_SECONDS
        log_event(logger, LogEvent.SERVER_EJECTED, server=server.name)

    def candidates(self, service: str, now: float) -> list[BackendServer]:
        """Returns the servers that may get new work; all that take work if every one is bad."""
        return _prefer_not_ejected(self.of_service(service), now)

    def draw(self, service: str, random: Random, now: float) -> list[BackendServer]:
        """Returns candidates for one decision: of many servers, a few drawn at random."""
        servers = self._cached_servers(service)
        if len(servers) <= MAX_CANDIDATES:
            return _prefer_not_ejected(servers, now)
        drawn = _prefer_not_ejected(random.sample(servers, MAX_CANDIDATES), now)
        return drawn or self.candidates(service, now)

    def _cached_servers(self, service: str) -> list[BackendServer]:
        cached = self._list_cache.get(service)
        if cached is None:
            cached = list(self.of_service(service))
            self._list_cache[service] = cached
        return cached

    def _replace_incarnation(self, known: BackendServer | None, record: VmRecord) -> BackendServer:
        self._list_cache.pop(record.service, None)
        if known is not None:
            known.gone = True
            self._list_cache.pop(known.service, None)
            self._by_service[known.service].pop(known.name, None)
        slots = record.slots or DEFAULT_SLOTS
        server = BackendServer(
            record.name,
            record.incarnation,
            record.zone,
            record.service,
            Address(record.host, record.data_port),
            Address(record.host, record.http_port),
            slots=slots,
            limit=float(slots),
            warm_at=record.listed_at + COLD_START_SECONDS if record.listed_at else 0.0,
        )
        self._by_name[record.name] = server
        self._by_address[server.data_address] = server
        self._by_service[record.service][record.name] = server
        return server


def _prefer_not_ejected(servers: Iterable[BackendServer], now: float) -> list[BackendServer]:
    pool = [server for server in servers if server.accepts_work]
    not_ejected = [server for server in pool if server.ejected_until <= now]
    return not_ejected or pool
