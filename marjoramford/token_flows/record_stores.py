"""A replicated store of published records, one copy per entry VM, synchronised by deltas.

A store that has every change up to revision `through` can receive the later changes from any store
that has more of them. Applying a record has no effect if the same or a newer record of its key is
known, so stores converge whatever the order of the changes.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from sortedcontainers import SortedDict


class Record(Protocol):
    """The attributes that a record store requires of its records."""

    revision: int

    @property
    def key(self) -> str:
        """The record's key in its collection."""


R = TypeVar("R", bound=Record)


@dataclass(frozen=True, slots=True)
class ChangeBatch(Generic[R]):
    """Records in order of revision; a store that applies them has every change up to `through`."""

    records: tuple[R, ...]
    through: int


class RecordStore(Generic[R]):
    """Holds the newest known record of each key; the revision of a key never decreases."""

    def __init__(self) -> None:
        self._through = 0
        self._by_key: dict[str, R] = {}
        self._by_revision: SortedDict = SortedDict()

    @property
    def through(self) -> int:
        """The revision up to which the store has every change."""
        return self._through

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: str) -> R | None:
        """Returns the newest record of a key, or None if there is none."""
        return self._by_key.get(key)

    def values(self) -> Iterable[R]:
        """Returns the newest record of every key, including tombstones and retired entries."""
        return self._by_key.values()

    def apply(self, record: R) -> bool:
        """Stores a record if it is newer than the known one of its key.

        Returns:
            Whether the record was stored.
        """
        known = self._by_key.get(record.key)
        if known is not None:
            if record.revision <= known.revision:
                return False
            del self._by_revision[known.revision]
        self._by_key[record.key] = record
        self._by_revision[record.revision] = record
        return True

    def advance(self, through: int) -> None:
        """Raises the revision up to which the store has every change to `through`."""
        self._through = max(self._through, through)

    def changes_after(self, after: int, limit: int) -> ChangeBatch[R]:
        """Returns at most `limit` records changed after revision `after`, in order of revision.

        Records beyond the store's own `through` are left out, because the store may lack changes
        before them and the receiver could not detect the gap.
        """
        selected = []
        for revision in self._by_revision.irange(after + 1, self._through):
            if len(selected) == limit:
                return ChangeBatch(tuple(selected), selected[-1].revision)
            selected.append(self._by_revision[revision])
        return ChangeBatch(tuple(selected), self._through)
