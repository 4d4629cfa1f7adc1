"""Versions of the state that the platform publishes."""

import msgspec


class StateVersion(msgspec.Struct, frozen=True, order=True):
    """A version of the published state: a revision within an era of the platform's store.

    The store starts a new era when it is restored from a copy. Its revisions then go back, and the
    same numbers are assigned to other changes, so revisions are comparable within one era only.

    Attributes:
        era: number of the era; 0 for a store that names none.
        revision: revision of the last change within the era; 0 if nothing has been read yet.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}"


NOTHING_READ = StateVersion()
