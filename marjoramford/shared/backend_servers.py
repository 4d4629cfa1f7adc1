"""Backend servers known to one entry VM, with their health and load.

The state combines the platform's records, the servers' load reports and this entry VM's own
observations: in-flight requests, failures and refusals.
"""

import logging
from collections import defaultdict, deque
from collections.abc import Iterable
from random import Random

import msgspec

from .addresses import Address
from .logs import LogEvent, log_event
from .records import VmRecord
from .responsiveness import Responsiveness

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
    """Moving average of how long a service's requests take, as observed by this entry VM."""

    mean_seconds: float = DEFAULT_REQUEST_SECONDS
    deviation_seconds: float = 0.0
    count: int = 0

    @property
    def report_lifetime_seconds(self) -> float:
        """How long a load report stays useful: the mean duration, infinite without samples.

        The choice of a server uses it as the time constant with which a report loses weight. The
        comparison of a refusal with the latest report uses it as the limit of the report's age.
        """
        return self.mean_seconds if self.count else float("inf")

    @property
    def upper_bound_seconds(self) -> float:
        """A duration within which nearly all requests end."""
        return self.mean_seconds + UPPER_BOUND_DEVIATIONS * self.deviation_seconds

    def record(self, seconds: float) -> None:
        """Adds the duration of one request."""
        self.count += 1
        weight = max(DURATION_EWMA_WEIGHT, 1.0 / self.count)
        difference = seconds - self.mean_seconds
        self.mean_seconds += weight * difference
        if self.count > 1:
            self.deviation_seconds += weight * (abs(difference) - self.deviation_seconds)


class BackendServer(msgspec.Struct, eq=False):
    """One incarnation of a backend server.

    Attributes:
        in_progress: this entry VM's requests in flight to the server; for opaque flows, the flows
            that await an answer from it.
        limit: concurrency limit for this entry VM's requests (additive increase, multiplicative
            decrease).
        sheds: calls of `record_shed` since its last answer, at most `MAX_SHED_DOUBLINGS`.
        closed_until: no dispatch before this time, after the server shed a request (see
            `record_shed`) or could not be reached, in epoch seconds.
        ejected_until: outlier ejection: not chosen before this time unless every server that is
            considered for the same choice is ejected, in epoch seconds. If the service has many
            servers, those considered are a random sample.
        warm_at: when its cold start is over, on the clock of the core that uses the server: epoch
            seconds for requests, monotonic seconds for opaque flows.
        failures: failures since its last answer, last shed request or last ejection; failed probes
            only since its last successful probe.
        failed_probes: how many of `failures` are failed probes.
        trust: how well its load reports agree with its observed behaviour, from 0 to 1.
        reported_busy: requests in progress according to its latest load report.
        own_when_reported: this entry VM's requests in flight when that report was measured.
        open_flows: open opaque flows of this entry VM on the server.
        unlisted_since: when its entry was removed from the published list or replaced by that of
            another incarnation, in seconds on the monotonic clock; None while listed. Set only for
            opaque flows.
        separable: whether the label of its flows is used by no other server.
        unverified: whether it was gone before the platform was restored from a copy that lists it;
            its flows continue, but only a later entry or time shows that it runs.
        may_have_restarted: whether its entry expired while the platform was well, so that it may
            have started again under its name and be cold; set only for opaque flows.
        zone_drained: whether its zone is drained, so that no new flow opens here; set only for
            opaque flows.
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
    failed_probes: int = 0
    sheds: int = 0
    trust: float = 1.0
    reported_busy: int = 0
    reported_at: float = 0.0
    own_when_reported: int = 0
    open_flows: int = 0
    unlisted_since: float | None = None
    separable: bool = True
    unverified: bool = False
    may_have_restarted: bool = False
    zone_drained: bool = False
    responsiveness: Responsiveness = msgspec.field(default_factory=Responsiveness)
    _in_progress_history: deque[tuple[float, int]] = msgspec.field(default_factory=_make_history)

    @property
    def accepts_work(self) -> bool:
        """Whether it may receive new requests or flows, regardless of its load and ejection."""
        return self.accepts_work_if_drained and not self.zone_drained

    @property
    def accepts_work_if_drained(self) -> bool:
        """Whether it may receive new flows, regardless also of a drain of its zone."""
        return self.separable and not (self.leaving or self.gone or self.unverified)

    def is_open(self, now: float) -> bool:
        """Returns whether another request may be dispatched to it now."""
        return self.accepts_work and now >= self.closed_until and self.in_progress < int(self.limit)

    def start_request(self, now: float) -> None:
        """Counts a request of this entry VM as in flight."""
        self.in_progress += 1
        self._in_progress_history.append((now, self.in_progress))

    def end_request(self, now: float) -> None:
        """Removes a request of this entry VM from those in flight."""
        self.in_progress -= 1
        self._in_progress_history.append((now, self.in_progress))

    def _in_progress_at(self, moment: float) -> int:
        """Returns how many of this entry VM's requests were in flight at a moment.

        Returns 0 for a moment before the recorded history.
        """
        for at, count in reversed(self._in_progress_history):
            if at <= moment:
                return count
        return 0

    def apply_report(self, busy: int, slots: int, draining: bool, measured_at: float) -> None:
        """Applies a load report; of a report older than the latest one, only `slots`.

        It clears failed probes, but not other failures: a server that answers probes may still
        break every request.

        Args:
            busy: requests in progress at the server.
            slots: requests that it processes at once; 0 if it does not say.
            draining: whether it takes no new work.
            measured_at: when it measured them, in epoch seconds.
        """
        self.failures -= self.failed_probes
        self.failed_probes = 0
        if slots > 0:
            self.slots = slots
        if measured_at < self.reported_at:
            return
        self.reported_at = measured_at
        self.reported_busy = busy
        self.own_when_reported = self._in_progress_at(measured_at)
        if draining:
            self.start_leaving("load report")
        if self.own_when_reported:
            self._update_trust(agrees=busy >= self.own_when_reported)

    def record_answer(self) -> None:
        """Records a request that it answered, and raises its concurrency limit."""
        self.clear_failures()
        self.sheds = 0
        self.limit = min(float(max(self.slots, MIN_LIMIT)), self.limit + LIMIT_INCREASE)

    def record_shed(self, closed_until: float, report_is_current: bool) -> None:
        """Records a request that the server refused, and lowers the concurrency limit.

        Usually the server had no free slot. Not recorded here are a refusal because the server
        drains or is not the one addressed, a server that could not be reached, and a deadline that
        passed before the request started.

        Args:
            closed_until: no dispatch to the server before this time, in epoch seconds.
            report_is_current: whether the latest load report is recent enough to be compared with
                the refusal. If so, `trust` rises when the report shows at most one free slot, and
                falls otherwise.
        """
        self.clear_failures()
        self.sheds = min(self.sheds + 1, MAX_SHED_DOUBLINGS)
        self.closed_until = closed_until
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
        if report_is_current:
            self._update_trust(agrees=self.reported_busy >= self.slots - 1)

    def record_failure(self) -> None:
        """Records a failure of the server.

        A failure is a connection that could not be made, broke or timed out, an HTTP error status
        that does not prove that the request was not run, or a failed load probe.
        """
        self.failures += 1

    def record_failed_probe(self) -> None:
        """Records a failure that the next successful probe clears."""
        self.record_failure()
        self.failed_probes += 1

    def clear_failures(self) -> None:
        """Starts the count of failures anew."""
        self.failures = 0
        self.failed_probes = 0

    def start_leaving(self, signal: str) -> None:
        """Starts connection draining: it gets no new work. The first signal of any kind suffices.

        Args:
            signal: what announced that the server is leaving, for the log.
        """
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
    """All known backend servers, indexed by name, service and data address."""

    def __init__(self) -> None:
        self._by_name: dict[str, BackendServer] = {}
        self._by_service: defaultdict[str, dict[str, BackendServer]] = defaultdict(dict)
        self._version = 0
        self._list_cache: dict[str, list[BackendServer]] = {}
        self._by_address: dict[Address, BackendServer] = {}
        self._request_durations: defaultdict[str, RequestDurations] = defaultdict(RequestDurations)

    @property
    def version(self) -> int:
        """A number that rises when the list of servers changes.

        It rises when a record is applied and when a server is marked gone, marked present or
        removed. It does not rise when a server starts leaving because of a load report or a
        refusal.
        """
        return self._version

    def at(self, address: Address) -> BackendServer | None:
        """Returns the server most recently listed at a data address, or None."""
        return self._by_address.get(address)

    def get(self, name: str) -> BackendServer | None:
        """Returns the newest incarnation of a server, or None if it is not known."""
        return self._by_name.get(name)

    def values(self) -> Iterable[BackendServer]:
        """Returns all known servers."""
        return self._by_name.values()

    def of_service(self, service: str) -> Iterable[BackendServer]:
        """Returns the known servers of a service, including leaving, gone and ejected ones."""
        return self._by_service[service].values() if service in self._by_service else ()

    def request_durations(self, service: str) -> RequestDurations:
        """Returns the observed request durations of a service."""
        return self._request_durations[service]

    def apply_record(self, record: VmRecord) -> None:
        """Applies a backend server's record from the platform's VM list.

        A new incarnation or a changed service replaces the known server.
        """
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
        """Marks an incarnation as no longer running at its address."""
        server.gone = True
        self._version += 1

    def mark_present(self, server: BackendServer) -> None:
        """Marks an incarnation as running after it was wrongly marked gone."""
        server.gone = False
        self._version += 1

    def remove(self, server: BackendServer) -> None:
        """Removes an incarnation, after it was marked gone, from all indexes."""
        if self._by_address.get(server.data_address) is server:
            del self._by_address[server.data_address]
        if self._by_name.get(server.name) is server:
            del self._by_name[server.name]
            self._by_service[server.service].pop(server.name, None)
            self._list_cache.pop(server.service, None)
        self._version += 1

    def eject_if_failing(self, server: BackendServer, now: float) -> None:
        """Ejects a server after `FAILURES_TO_EJECT` failures with no answer or refusal between.

        At most `MAX_EJECTED_SHARE` of the servers of a service that accept work are ejected at a
        time.
        """
        if server.failures < FAILURES_TO_EJECT or server.ejected_until > now:
            return
        pool = [peer for peer in self.of_service(server.service) if peer.accepts_work]
        ejected = sum(peer.ejected_until > now for peer in pool)
        if ejected + 1 > len(pool) * MAX_EJECTED_SHARE:
            return
        server.clear_failures()
        server.ejected_until = now + EJECTION_SECONDS
        log_event(logger, LogEvent.SERVER_EJECTED, server=server.name)

    def candidates(self, service: str, now: float) -> list[BackendServer]:
        """Returns the servers that accept work: those not ejected, or all if all are ejected."""
        return _prefer_not_ejected(self.of_service(service), now)

    def sample_candidates(self, service: str, random: Random, now: float) -> list[BackendServer]:
        """Returns the candidates for one choice, a random sample if the service has many servers.

        Ejected servers are left out unless the whole sample is ejected. If none of the sample
        accepts work, the candidates are those of all servers.
        """
        servers = self._cached_servers(service)
        if len(servers) <= MAX_CANDIDATES:
            return _prefer_not_ejected(servers, now)
        sample = _prefer_not_ejected(random.sample(servers, MAX_CANDIDATES), now)
        return sample or self.candidates(service, now)

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
