"""Adds up the evidence of a zone and decides which servers are dead; no I/O.

Load pattern: as for `shared_evidence`. A reader of the platform decides for its followers.
"""

import logging
from collections.abc import Callable, Sequence

import msgspec

from ..shared.entry_vms import rendezvous_order
from ..shared.logs import LogEvent, log_event
from .flow_settings import SharedEvidenceSettings
from .shared_evidence import (
    EvidenceMessage,
    PublishedEvidence,
    PublishedSilence,
    ServerKey,
    ServerReport,
    make_age,
    round_age,
)

logger = logging.getLogger(__name__)

# Silent flows and silence that are required, as a multiple of the settings, where packets to living
# servers are being lost; as for the evidence of one entry VM (`failure_detectors.is_dead`).
LOSSY_FACTOR = 2


class _HeldReport(msgspec.Struct, frozen=True):
    """A report as a reader keeps it, with times on its monotonic clock."""

    sender: str
    flows: int
    silent_since: float
    repeated_at: float
    latest_at: float
    link_suspected: bool
    lossy: bool
    decided: bool
    arrived_at: float


class _Condemnation(msgspec.Struct):
    """A verdict; from `until` on the server is on probation for `seconds` more."""

    silent_since: float
    seconds: float
    until: float
    prober: str = ""


class _Case(msgspec.Struct, eq=False):
    """All that a reader knows of one server.

    Attributes:
        answered_at: the last answer that any entry VM reported.
        questioned_at: since when it is in question; None if it is not.
        question_version: the first published version in which it is in question; 0 before that.
        acknowledged_at: when a follower first showed that it has that version.
        last_seconds: length of its latest condemnation; 0 if there was none.
        last_ended_at: when that condemnation and its probation ended.
    """

    reports: dict[str, _HeldReport] = msgspec.field(default_factory=dict)
    answered_at: float = float("-inf")
    answered_by: str = ""
    questioned_at: float | None = None
    question_version: int = 0
    acknowledged_at: float = float("inf")
    condemnation: _Condemnation | None = None
    last_seconds: float = 0.0
    last_ended_at: float = float("-inf")

    def end_question(self) -> None:
        """Puts the server out of question."""
        self.questioned_at = None
        self.question_version = 0
        self.acknowledged_at = float("inf")


class _Silence(msgspec.Struct, frozen=True):
    """The reports about one server that count, added up.

    Attributes:
        since: when its oldest packet without an answer was sent, or its last answer came if later.
        until: when its latest packet without an answer was sent. What came since may yet be
            answered, for example by a server that has paused.
    """

    entry_vms: int
    flows: int
    since: float
    until: float
    lossy: bool
    decided: bool

    @property
    def seconds(self) -> float:
        """How long the server has certainly been silent."""
        return self.until - self.since


class EvidenceCollector:
    """Adds up the reports of a zone and decides which servers are dead, for a reader's followers.

    Args:
        settings: thresholds.
        stall_seconds: after a longer pause between two calls of `evaluate`, in seconds, all
            evidence is void, as are reports that arrive soon after: their ages are those at which
            they were sent.
        version: the version before the first change; differs between runs of the process.
        now: time on the monotonic clock, in seconds.
    """

    def __init__(
        self, settings: SharedEvidenceSettings, stall_seconds: float, version: int, now: float
    ):
        self._settings = settings
        self._stall_seconds = stall_seconds
        self._version = version
        self._evaluated_at = now
        self._void_until = now
        self._senders: dict[str, tuple[int, int]] = {}
        self._cases: dict[ServerKey, _Case] = {}

    @property
    def version(self) -> int:
        """The version of the published decisions; 0 while there are none."""
        return self._version if self._has_decisions() else 0

    def record(self, message: EvidenceMessage, now: float) -> bool:
        """Records reports; returns whether the message was newer than the sender's last one."""
        order = (message.incarnation, message.sequence)
        last = self._senders.get(message.sender)
        if last is not None and order <= last:
            return False
        self._senders[message.sender] = order
        if last is not None and last[0] != message.incarnation:
            for case in self._cases.values():
                case.reports.pop(message.sender, None)
        if now < self._void_until or now - self._evaluated_at > self._stall_seconds:
            return True
        for report in message.reports:
            self._record_report(message.sender, report, now)
        return True

    def evaluate(
        self, is_running: Callable[[ServerKey], bool], members: Sequence[str], now: float
    ) -> bool:
        """Decides anew; returns whether what is published has changed.

        Args:
            is_running: whether the list has this incarnation of a server, and it is not gone.
            members: the entry VMs of the zone, one of which may test a condemned server.
            now: time on the monotonic clock, in seconds.
        """
        before = self._describe()
        if now - self._evaluated_at > self._stall_seconds:
            self._cases.clear()
            self._void_until = now + self._settings.report_ttl_seconds
        self._evaluated_at = now
        for key, case in list(self._cases.items()):
            if not is_running(key):
                self._clear(key, case, "removed", now)
                del self._cases[key]
                continue
            self._drop_lapsed(case, now)
            self._decide(key, case, members, now)
            if not case.reports and case.condemnation is None and not self._remembers(case, now):
                del self._cases[key]
        changed = self._describe() != before
        if changed:
            self._version += 1
            for case in self._cases.values():
                if case.questioned_at is not None and not case.question_version:
                    case.question_version = self._version
        return changed

    def discard(self) -> bool:
        """Forgets all evidence and decisions; returns whether what is published has changed."""
        had_decisions = self._has_decisions()
        self._cases.clear()
        self._version += had_decisions
        return had_decisions

    def acknowledge(self, version: int, now: float) -> None:
        """Records that a follower has a version, so that it can object to what is in question.

        Over a full link of the reader neither the question nor objections would arrive in time.
        """
        if not 0 < version <= self._version:
            return
        for case in self._cases.values():
            if 0 < case.question_version <= version:
                case.acknowledged_at = min(case.acknowledged_at, now)

    def publish(self, now: float, known_version: int = 0) -> PublishedEvidence | None:
        """Returns the decisions for a follower that has a version; None if there are none."""
        if not self._has_decisions():
            return None
        if known_version == self._version:
            return PublishedEvidence(self._version, True)
        questioned, condemned = [], []
        for key, case in self._cases.items():
            if case.condemnation is not None:
                since = round_age(make_age(case.condemnation.silent_since, now))
                condemned.append(PublishedSilence(*key, since, case.condemnation.prober))
            elif case.questioned_at is not None:
                silence = self._add_up(case)
                since = case.questioned_at if silence is None else silence.since
                questioned.append(PublishedSilence(*key, round_age(make_age(since, now))))
        return PublishedEvidence(self._version, False, tuple(questioned), tuple(condemned))

    def _record_report(self, sender: str, report: ServerReport, now: float) -> None:
        case = self._cases.setdefault(report.key, _Case())
        if report.answered_seconds is not None:
            answered_at = now - report.answered_seconds
            if answered_at > case.answered_at:
                case.answered_at, case.answered_by = answered_at, sender
        if not report.silent_flows:
            case.reports.pop(sender, None)
            return
        silent, repeated, latest = (
            report.silent_seconds,
            report.repeated_seconds,
            report.latest_seconds,
        )
        repeated = silent if repeated is None else repeated
        case.reports[sender] = _HeldReport(
            sender,
            report.silent_flows,
            now - silent,
            now - repeated,
            now - (repeated if latest is None else latest),
            report.link_suspected,
            report.lossy,
            report.decided,
            now,
        )

    def _drop_lapsed(self, case: _Case, now: float) -> None:
        oldest = now - self._settings.report_ttl_seconds
        lapsed = [report.sender for report in case.reports.values() if report.arrived_at < oldest]
        for sender in lapsed:
            del case.reports[sender]

    def _add_up(self, case: _Case, after: float = float("-inf")) -> _Silence | None:
        """Adds up the reports that count; None if there are none.

        A report counts if all its flows were retransmitted after `after` and after the last answer
        that anyone has seen. Those of a suspected link count only beside one of another.
        """
        latest = max(case.answered_at, after)
        counted = [report for report in case.reports.values() if report.repeated_at > latest]
        if all(report.link_suspected for report in counted):
            return None
        return _Silence(
            len(counted),
            sum(report.flows for report in counted),
            max(min(report.silent_since for report in counted), case.answered_at),
            max(report.latest_at for report in counted),
            any(report.lossy for report in counted),
            any(report.decided and not report.link_suspected for report in counted),
        )

    def _decide(self, key: ServerKey, case: _Case, members: Sequence[str], now: float) -> None:
        condemnation = case.condemnation
        if condemnation is not None:
            if case.answered_at > condemnation.silent_since:
                self._clear(key, case, "answer", now)
            elif condemnation.prober:
                self._continue_probation(key, case, condemnation, now)
            elif now >= condemnation.until:
                candidates = rendezvous_order(key[0], members)
                condemnation.prober = candidates[0] if candidates else "none"
            return
        silence = self._add_up(case)
        if silence is None or silence.flows < self._settings.question_flows:
            case.end_question()
            return
        if case.questioned_at is None:
            case.questioned_at = now
        if self._is_dead(silence, case.acknowledged_at, now):
            self._condemn(key, case, silence, now)

    def _is_dead(self, silence: _Silence, acknowledged_at: float, now: float) -> bool:
        settings = self._settings
        # One flow may be silent because of its caller's path, so `decided` does not suffice.
        enough = silence.decided or silence.entry_vms >= settings.min_entry_vms
        factor = LOSSY_FACTOR if silence.lossy else 1
        enough = enough and silence.flows >= factor * settings.min_flows
        silent_long = silence.seconds >= factor * settings.silent_seconds
        return enough and silent_long and now - acknowledged_at >= settings.objection_seconds

    def _continue_probation(
        self, key: ServerKey, case: _Case, condemnation: _Condemnation, now: float
    ) -> None:
        """Condemns the server again if it is silent on a flow of the probation, or clears it."""
        silence = self._add_up(case, after=condemnation.until)
        if silence is not None and now - silence.since >= self._settings.silent_seconds:
            self._condemn(key, case, silence, now)
        elif now >= condemnation.until + condemnation.seconds:
            self._clear(key, case, "expired", now)

    def _condemn(self, key: ServerKey, case: _Case, silence: _Silence, now: float) -> None:
        settings = self._settings
        seconds = settings.condemned_seconds
        if case.last_seconds and case.answered_at <= case.last_ended_at:
            seconds = min(settings.max_condemned_seconds, 2 * case.last_seconds)
        questioned_at = now if case.questioned_at is None else case.questioned_at
        case.end_question()
        case.last_seconds = seconds
        case.condemnation = _Condemnation(silence.since, seconds, now + seconds)
        log_event(
            logger,
            LogEvent.SERVER_CONDEMNED,
            server=key[0],
            incarnation=key[1],
            entry_vms=silence.entry_vms,
            flows=silence.flows,
            silent_seconds=round(silence.seconds, 3),
            lossy=silence.lossy,
            answered_seconds_ago=round_age(make_age(case.answered_at, now)),
            questioned_seconds=round(now - questioned_at, 3),
            decided=silence.decided,
            seconds=seconds,
        )

    def _clear(self, key: ServerKey, case: _Case, reason: str, now: float) -> None:
        condemnation = case.condemnation
        case.condemnation = None
        case.last_ended_at = now
        if condemnation is None:
            return
        log_event(
            logger,
            LogEvent.SERVER_CLEARED,
            server=key[0],
            incarnation=key[1],
            reason=reason,
            answered_seconds_ago=round_age(make_age(case.answered_at, now)),
            answered_by=case.answered_by,
            silent_seconds=round(now - condemnation.silent_since, 3),
        )

    def _remembers(self, case: _Case, now: float) -> bool:
        """Whether an answer or an earlier verdict may still matter for reports that come later."""
        latest = max(case.answered_at, case.last_ended_at)
        return now - latest <= self._settings.max_condemned_seconds

    def _has_decisions(self) -> bool:
        return any(
            case.condemnation is not None or case.questioned_at is not None
            for case in self._cases.values()
        )

    def _describe(self) -> list[tuple[ServerKey, bool, str | None]]:
        """Returns what followers must hear of when it changes."""
        return [
            (key, case.questioned_at is not None, case.condemnation and case.condemnation.prober)
            for key, case in self._cases.items()
            if case.condemnation is not None or case.questioned_at is not None
        ]
