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

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from .flow_settings import Name, SharedEvidenceSettings

# Older ages are sent as this one; a message with a longer one would be malformed.
MAX_AGE_SECONDS = 86_400.0
Age = Annotated[float, Meta(ge=0, le=MAX_AGE_SECONDS)]
Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Version = Annotated[int, Meta(ge=0)]
# More servers than a service of the platform has; bounds what a sender can make a reader keep.
MAX_REPORTS = 1024
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
            make_age(self.silent_since, now),
            make_age(self.repeated_at, now),
            make_age(self.latest_at, now),
            make_age(self.answered_at, now),
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
            answered_seconds = make_age(find_answer(key), now)
            reports.append(ServerReport(*key, answered_seconds=answered_seconds))
        for key, answered_at in objections.items():
            if self._objected.get(key) != answered_at and key not in silences:
                reports.append(ServerReport(*key, answered_seconds=make_age(answered_at, now)))
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


def make_age(moment: float, now: float) -> float | None:
    """Returns an age that a message may carry, in seconds; None if the moment is unknown."""
    if moment == float("-inf"):
        return None
    return min(MAX_AGE_SECONDS, max(0.0, now - moment))


def round_age(age: float | None) -> float | None:
    """Returns an age rounded to milliseconds, for messages and logs."""
    return None if age is None else round(age, 3)
