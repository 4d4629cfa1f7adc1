"""A reader's position in the platform's changes, and whether it may use an answer.

Load pattern: the platform's store is restored from a copy while entry VMs watch it. Revisions go
back and are assigned again, so a watch from an earlier revision can succeed and silently miss
changes. Every answer names the store's era, which rises with each restore: an answer of a new era
is worth only the news that everything must be read again.
"""

import logging
from enum import Enum

import msgspec

from ..shared.logs import LogEvent, log_event
from .state_versions import NOTHING_READ, StateVersion

logger = logging.getLogger(__name__)


class AnswerKind(Enum):
    """What an answer of the platform holds."""

    FIRST_PAGE = "first page"
    NEXT_PAGE = "next page"
    CHANGES = "changes"
    HISTORY_GONE = "history gone"
    REFUSAL = "refusal"


class UseAnswer(msgspec.Struct, frozen=True):
    """The answer belongs to the era that is being read."""


class ReadEverything(msgspec.Struct, frozen=True):
    """The answer must not be used; a whole read follows at once, from its first page."""


class RejectAnswer(msgspec.Struct, frozen=True):
    """The answer must not be used, and the read has failed."""

    reason: str


Verdict = UseAnswer | ReadEverything | RejectAnswer


class ReadCursor:
    """Tracks the version up to which the platform was read, and the newest era seen."""

    def __init__(self) -> None:
        self._version = NOTHING_READ
        # The latest version after which the platform had no history.
        self._history_gone_at = NOTHING_READ

    @property
    def version(self) -> StateVersion:
        """The newest era seen, and the revision read in it; revision 0: a whole read is due."""
        return self._version

    @property
    def whole_read_due(self) -> bool:
        """Whether everything must be read before changes can be watched."""
        return not self._version.revision

    def advance(self, revision: int) -> None:
        """Records that everything up to a revision of the current era was read."""
        self._version = StateVersion(self._version.era, revision)

    def adopt(self, version: StateVersion) -> None:
        """Records that everything up to a version came from a peer.

        It is ignored if it is of another era, or if the platform has no history since then.
        """
        is_known = version.era == self._version.era and version > self._version
        if is_known and version > self._history_gone_at:
            self._version = version

    def learn_era(self, era: int) -> bool:
        """Records an era; returns whether it is new, so that a whole read is due."""
        known = self._version
        if era <= known.era:
            return False
        self._version = StateVersion(era, 0)
        if known > NOTHING_READ:
            log_event(logger, LogEvent.PLATFORM_RESTORED, era=era, read=known)
        return True

    def judge(self, kind: AnswerKind, era: int) -> Verdict:
        """Returns what to do with an answer, and records its era.

        A refusal is never used. One that shows a new era makes a whole read due, but not at once:
        a store that refuses would refuse that too.
        """
        known = self._version.era
        if era < known:
            return self.reject(kind, f"era went back from {known} to {era}")
        is_new = self.learn_era(era)
        match kind:
            case AnswerKind.FIRST_PAGE:
                return UseAnswer()
            case AnswerKind.REFUSAL:
                return RejectAnswer("refused")
            case AnswerKind.HISTORY_GONE if not is_new:
                self._history_gone_at = self._version
                self._version = StateVersion(era, 0)
                return RejectAnswer("history is gone")
        return ReadEverything() if is_new else UseAnswer()

    def reject(self, kind: AnswerKind, reason: str) -> RejectAnswer:
        """Logs that an answer is not used, because its era went back or cannot be read."""
        log_event(
            logger,
            LogEvent.PLATFORM_ANSWER_IGNORED,
            answer=kind.value,
            reason=reason,
            read=self._version,
        )
        return RejectAnswer(reason)
