"""Evidence of dead servers that the entry VMs of an availability zone share; no I/O.

Load pattern: a quarter of the servers, all of one zone, stop responding at once under steady load.
Each of tens of entry VMs has only a few flows to each of them, so on its own it finds a dead server
only when one flow has been retransmitted three times. Together they see enough after the first
retransmissions.

Entry VMs report silent servers to readers of their zone (`peer_groups`), each of which decides for
its followers. A verdict resets flows, so a false one is worse than a late one: an answer that any
entry VM has seen since the silence began prevents it, and a server is in question for some time,
in which all can object, before it is condemned. That time begins when a follower has the question.
Reports carry ages, since clocks differ. A delayed report makes silence and answers seem later than
they were.
"""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from ..shared.entry_vms import rendezvous_order
from ..shared.logs import LogEvent, log_event
from .flow_settings import Name, SharedEvidenceSettings

logger = logging.getLogger(__name__)

# Older ages are sent as this one; a message with a longer one would be malformed.
MAX_AGE_SECONDS = 86_400.0
Age = Annotated[float, Meta(ge=0, le=MAX_AGE_SECONDS)]
Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Version = Annotated[int, Meta(ge=0)]
# More servers than a service of the platform has; bounds what a sender can make a reader keep.
MAX_REPORTS = 1024
# Silent flows and silence that are required, as a multiple of the settings, where packets to living
# servers are being lost; as for the evidence of one entry VM (`failure_detectors.is_dead`).
LOSSY_FACTOR = 2
# A server's name and incarnation.
ServerKey = tuple[str, int]


class ServerReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one entry VM knows of one server; ages in seconds.

    Attributes:
        silent_flows: flows with a retransmission since the server's last answer seen there; 0
            withdraws an earlier report.
        silent_seconds: age of the oldest packet without an answer.
        repeated_seconds: each silent flow was retransmitted at this age or later; `silent_seconds`
            if left out.
        latest_seconds: age of the latest retransmission; `repeated_seconds` if left out.
        answered_seconds: age of the server's last answer; left out if none was seen.
        link_suspected: whether the silence may be that of the sender's own link.
        lossy: whether the sender's packets to living servers are being lost.
        decided: whether the sender's own evidence suffices to reset flows of the server.
    """

    server: Name
    incarnation: Version
    silent_flows: Count = 0
    silent_seconds: Age = 0.0
    repeated_seconds: Age | None = None
    latest_seconds: Age | None = None
    answered_seconds: Age | None = None
    link_suspected: bool = False
    lossy: bool = False
    decided: bool = False

    @property
    def key(self) -> ServerKey:
        """The server's name and incarnation."""
        return self.server, self.incarnation


class EvidenceMessage(msgspec.Struct, frozen=True):
    """Reports that changed since the sender's last message; `sequence` rises with each one."""

    sender: Name
    incarnation: Version
    sequence: Version
    reports: Annotated[tuple[ServerReport, ...], Meta(max_length=MAX_REPORTS)]


class PublishedSilence(msgspec.Struct, frozen=True, omit_defaults=True):
    """A server in question, condemned or on probation.

    Attributes:
        since: age of the beginning of its silence, in seconds.
        prober: on probation, the one entry VM that may place a flow there; otherwise empty.
    """

    server: Name
    incarnation: Version
    since: Age
    prober: str = ""


class PublishedEvidence(msgspec.Struct, frozen=True, omit_defaults=True):
    """The decisions of one reader; complete, so that they replace those it published before.

    Attributes:
        version: identifies the decisions.
        unchanged: whether they are those that the follower has, and are left out.
    """

    version: Version
    unchanged: bool = False
    questioned: tuple[PublishedSilence, ...] = ()
    condemned: tuple[PublishedSilence, ...] = ()


class LocalSilence(msgspec.Struct, eq=False):
    """An entry VM's own evidence of a silent server; see `ServerReport`. Monotonic times."""

    flows: int
    silent_since: float
    repeated_at: float
    latest_at: float
    answered_at: float
    link_suspected: bool = False
    lossy: bool = False
    decided: bool = False

    def to_report(self, key: ServerKey, now: float) -> ServerReport:
        """Returns the report about this server."""
        return ServerReport(
            *key,
            self.flows,
            _make_age(self.silent_since, now),
            _make_age(self.repeated_at, now),
            _make_age(self.latest_at, now),
            _make_age(self.answered_at, now),
            self.link_suspected,
            self.lossy,
            self.decided,
        )


class _SentReport(msgspec.Struct, frozen=True):
    silence: LocalSilence
    sent_at: float


class ReportLog:
    """Selects the reports that one reader must get: changes, objections and, rarely, the rest."""

    def __init__(self, settings: SharedEvidenceSettings):
        self._settings = settings
        self._sent: dict[ServerKey, _SentReport] = {}
        self._objected: dict[ServerKey, float] = {}

    def select(
        self,
        silences: dict[ServerKey, LocalSilence],
        objections: dict[ServerKey, float],
        find_answer: Callable[[ServerKey], float],
        now: float,
    ) -> tuple[ServerReport, ...]:
        """Returns the reports that are due; they count as sent.

        Args:
            silences: the servers that are silent here.
            objections: servers that answered here after the reader saw their silence begin, with
                the time of the answer.
            find_answer: returns the time of a server's last answer here; minus infinity if none.
            now: time on the monotonic clock, in seconds.
        """
        reports = []
        for key, silence in silences.items():
            if self._is_due(key, silence, now):
                self._sent[key] = _SentReport(silence, now)
                reports.append(silence.to_report(key, now))
        for key in [key for key in self._sent if key not in silences]:
            del self._sent[key]
            answered_seconds = _make_age(find_answer(key), now)
            reports.append(ServerReport(*key, answered_seconds=answered_seconds))
        for key, answered_at in objections.items():
            if self._objected.get(key) != answered_at and key not in silences:
                reports.append(ServerReport(*key, answered_seconds=_make_age(answered_at, now)))
        self._objected = dict(objections)
        return tuple(reports[:MAX_REPORTS])

    @property
    def is_empty(self) -> bool:
        """Whether no silence has been reported that is not withdrawn yet."""
        return not self._sent

    def discard(self) -> None:
        """Forgets what was sent, after a call that may not have arrived."""
        self._sent.clear()
        self._objected.clear()

    def _is_due(self, key: ServerKey, silence: LocalSilence, now: float) -> bool:
        sent = self._sent.get(key)
        if sent is None or now - sent.sent_at >= self._settings.refresh_seconds:
            return True
        last = sent.silence
        changed = last.flows != silence.flows or last.latest_at != silence.latest_at
        flags = (last.link_suspected, last.lossy, last.decided)
        return changed or flags != (silence.link_suspected, silence.lossy, silence.decided)


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
                since = _round(_make_age(case.condemnation.silent_since, now))
                condemned.append(PublishedSilence(*key, since, case.condemnation.prober))
            elif case.questioned_at is not None:
                silence = self._add_up(case)
                since = case.questioned_at if silence is None else silence.since
                questioned.append(PublishedSilence(*key, _round(_make_age(since, now))))
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
            answered_seconds_ago=_round(_make_age(case.answered_at, now)),
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
            answered_seconds_ago=_round(_make_age(case.answered_at, now)),
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


class _KnownSilence(msgspec.Struct, frozen=True):
    since: float
    prober: str = ""


class Verdicts:
    """The decisions of the reader that this entry VM follows, or of itself if it is one.

    They lapse unless the reader repeats them.
    """

    def __init__(self, own_name: str, settings: SharedEvidenceSettings):
        self._own_name = own_name
        self._settings = settings
        self._questioned: dict[ServerKey, _KnownSilence] = {}
        self._condemned: dict[ServerKey, _KnownSilence] = {}
        self._valid_until = float("-inf")
        self._silent_openings: dict[ServerKey, tuple[float, float]] = {}
        self.version = 0

    def apply(self, evidence: PublishedEvidence | None, now: float) -> None:
        """Replaces the decisions by those that the reader now has; None if it has none."""
        if evidence is not None and evidence.unchanged and evidence.version == self.version:
            self._valid_until = now + self._settings.verdict_ttl_seconds
            return
        known = self._questioned | self._condemned
        self.discard()
        if evidence is None or evidence.unchanged:
            return
        self.version = evidence.version
        self._valid_until = now + self._settings.verdict_ttl_seconds
        self._questioned = _index(evidence.questioned, known, now)
        self._condemned = _index(evidence.condemned, known, now)

    def discard(self) -> None:
        """Forgets all decisions."""
        self.version = 0
        self._questioned = {}
        self._condemned = {}

    def are_empty(self, now: float) -> bool:
        """Whether no decision is in force."""
        return now > self._valid_until or not (self._condemned or self._questioned)

    def is_condemned(self, key: ServerKey, answered_at: float, now: float) -> bool:
        """Whether flows of a server may be reset, given its last answer seen here."""
        silence = self._find_condemned(key, answered_at, now)
        return silence is not None and not silence.prober

    def is_avoided(self, key: ServerKey, answered_at: float, now: float) -> bool:
        """Whether new flows go to other servers: it is condemned, or on probation elsewhere."""
        silence = self._find_condemned(key, answered_at, now)
        return silence is not None and silence.prober != self._own_name

    def record_silent_opening(self, key: ServerKey, waiting_since: float, now: float) -> None:
        """Records an opening packet without an answer; it counts if this VM tests the server.

        Otherwise it proves nothing: a full server does not answer opening packets either.
        """
        silence = self._condemned.get(key)
        if silence is not None and silence.prober == self._own_name:
            self._silent_openings[key] = (waiting_since, now)

    def find_silent_openings(self, now: float) -> dict[ServerKey, LocalSilence]:
        """Returns the servers that this entry VM tested lately and that did not answer."""
        oldest = now - self._settings.report_ttl_seconds
        self._silent_openings = {
            key: times for key, times in self._silent_openings.items() if times[1] >= oldest
        }
        return {
            key: LocalSilence(1, waiting_since, repeated_at, repeated_at, float("-inf"))
            for key, (waiting_since, repeated_at) in self._silent_openings.items()
        }

    def find_objections(
        self, answers: Iterable[tuple[ServerKey, float]], now: float
    ) -> dict[ServerKey, float]:
        """Returns the servers that answered after their silence began, with the answer's time.

        Args:
            answers: servers with their last answer seen here.
            now: time on the monotonic clock, in seconds.
        """
        if self.are_empty(now):
            return {}
        silences = self._questioned | self._condemned
        return {
            key: answered_at
            for key, answered_at in answers
            if key in silences and answered_at > silences[key].since
        }

    def _find_condemned(
        self, key: ServerKey, answered_at: float, now: float
    ) -> _KnownSilence | None:
        if now > self._valid_until:
            return None
        silence = self._condemned.get(key)
        return silence if silence is not None and answered_at <= silence.since else None


def _index(
    silences: Iterable[PublishedSilence], known: dict[ServerKey, _KnownSilence], now: float
) -> dict[ServerKey, _KnownSilence]:
    """Returns silences by server, each with the earliest beginning known so far.

    A delayed message makes a silence begin later, and so after answers that contradict it.
    """
    indexed = {}
    for silence in silences:
        key = silence.server, silence.incarnation
        since = now - silence.since
        if key in known:
            since = min(since, known[key].since)
        indexed[key] = _KnownSilence(since, silence.prober)
    return indexed


def _make_age(moment: float, now: float) -> float | None:
    """Returns an age that a message may carry, in seconds; None if the moment is unknown."""
    if moment == float("-inf"):
        return None
    return min(MAX_AGE_SECONDS, max(0.0, now - moment))


def _round(age: float | None) -> float | None:
    return None if age is None else round(age, 3)
