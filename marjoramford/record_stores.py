"""The monotonic store that every entry VM keeps of published records.

A store that has taken every change up to `through` can be brought up to date by any other store,
and applying a change twice or late has no effect.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedDict


class Record(Protocol):
    """What a record store needs of a record."""

    revision: int

    @property
    def key(self) -> str:
        """The record's key in its collection."""


R = TypeVar("R", bound=Record)


@dataclass(frozen=True, slots=True)
class ChangeBatch(Generic[R]):
    """Records in order of revision; with them a store has every change up to `through`."""

    records: tuple[R, ...]
    through: int


class RecordStore(Generic[R]):
    """The newest known record of each key; a key's revision never falls."""

    def __init__(self) -> None:
        self._through = 0
        self._by_key: dict[str, R] = {}
        self._by_revision: SortedDict = SortedDict()

    @property
    def through(self) -> int:
        """The revision up to which no change is missing."""
        return self._through

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: str) -> R | None:
        """Returns the newest record of a key."""
        return self._by_key.get(key)

    def values(self) -> Iterable[R]:
        """Returns the newest record of every key, retired ones included."""
        return self._by_key.values()

    def apply(self, record: R) -> bool:
        """Takes a record if it is newer than the one held; tells whether it was."""
        known = self._by_key.get(record.key)
        if known is not None:
            if record.revision <= known.revision:
                return False
            del self._by_revision[known.revision]
        self._by_key[record.key] = record
        self._by_revision[record.revision] = record
        return True

    def advance(self, through: int) -> None:
        """Notes that no change up to `through` is missing."""
        self._through = max(self._through, through)

    def changes_after(self, after: int, limit: int) -> ChangeBatch[R]:
        """Returns at most `limit` records changed after revision `after`.

        Records beyond `through` are left out: the receiver could not tell what is missing between.
        """
        selected = []
        for revision in self._by_revision.irange(after + 1, self._through):
            if len(selected) == limit:
                return ChangeBatch(tuple(selected), selected[-1].revision)
            selected.append(self._by_revision[revision])
        return ChangeBatch(tuple(selected), self._through)
