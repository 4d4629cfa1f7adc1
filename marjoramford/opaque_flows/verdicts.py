"""The verdicts on dead servers that are in force at one entry VM; no I/O.

Load pattern: as for `shared_evidence`. Verdicts come late or not at all from a reader that is cut
off, so they lapse, and an answer seen here since the silence began makes one void.
"""

from collections.abc import Iterable

import msgspec

from .flow_settings import SharedEvidenceSettings
from .shared_evidence import LocalSilence, PublishedEvidence, PublishedSilence, ServerKey


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
