"""The published list of backend servers and the removal of servers that have left it.

Load pattern: while the platform's store is unavailable, many entries expire although their servers
are alive. Flows to these servers continue, and a server is considered removed only if its entry is
still missing some time after the store has recovered.

A server whose entry disappears is at first unlisted, then retired (`gone`) once the absence is
confirmed, and forgotten `forget_seconds` after that. It is listed again if its entry returns before
that. A restart of a server retires its previous incarnation at once.
"""

import logging

import msgspec

from .backend_servers import BackendServer, BackendServers
from .flow_labels import LabelIndex
from .flow_settings import ListSettings
from .logs import LogEvent, log_event
from .records import VmRecord
from .state_versions import NOTHING_READ, StateVersion

logger = logging.getLogger(__name__)

# Removals kept for followers that are behind; a follower further behind gets a snapshot.
MAX_REMOVALS = 1024


class RemovedServer(msgspec.Struct, frozen=True):
    """A removed server, kept until `forget_at` because packets of its flows may still arrive."""

    server: BackendServer
    forget_at: float


class ListChanges(msgspec.Struct, frozen=True):
    """A delta or a snapshot of the list.

    Attributes:
        records: entries that were written.
        removed: names of removed entries, each with the revision of its removal.
        whole: whether this is a snapshot, so that entries missing from `records` are removed.
        version: version of the list once these changes are applied.
    """

    records: tuple[VmRecord, ...]
    removed: tuple[tuple[str, int], ...]
    whole: bool
    version: StateVersion


class ServerList:
    """Keeps the servers of all services in step with the published list.

    Changes may be duplicated, delayed and come from several sources, so an entry is only ever
    replaced by one with a higher revision.
    """

    def __init__(self, settings: ListSettings):
        self._settings = settings
        self._records: dict[str, VmRecord] = {}
        self._removed: dict[str, int] = {}
        self._removals_known_since = 0
        self._unlisted: dict[str, BackendServer] = {}
        self._gone: list[RemovedServer] = []
        self.servers = BackendServers()
        self.labels = LabelIndex()
        self.version = NOTHING_READ
        self.confirmed_at = float("-inf")
        self._reachable_since = float("inf")

    @property
    def loaded(self) -> bool:
        """Whether a list has been read at least once."""
        return self.version > NOTHING_READ

    def changes_since(self, version: StateVersion) -> ListChanges:
        """Returns the delta from a follower's version, or a snapshot.

        A snapshot is returned if removals since that version are not known, or if the follower's
        version is ahead of this list.
        """
        revision = version.revision
        if not self._removals_known_since <= revision <= self.version.revision:
            return ListChanges(tuple(self._records.values()), (), True, self.version)
        records = tuple(r for r in self._records.values() if r.revision > revision)
        removed = tuple(item for item in self._removed.items() if item[1] > revision)
        return ListChanges(records, removed, False, self.version)

    def apply(self, changes: ListChanges, now: float) -> None:
        """Applies a delta or a snapshot; ignored if it is older than this list."""
        if changes.version < self.version:
            return
        for record in changes.records:
            self._put(record, now)
        for name, revision in changes.removed:
            self._remove(name, revision, now)
        if changes.whole:
            names = {record.name for record in changes.records}
            for name in [name for name in self._records if name not in names]:
                self._remove(name, changes.version.revision, now)
            self._removals_known_since = self._removals_known_since or changes.version.revision
        self.version = changes.version

    def _put(self, record: VmRecord, now: float) -> None:
        current_record = self._records.get(record.name)
        newest = current_record.revision if current_record else self._removed.get(record.name, 0)
        if record.revision <= newest:
            return
        self._records[record.name] = record
        self._removed.pop(record.name, None)
        current = self.servers.get(record.name)
        if current is not None and current.incarnation != record.incarnation:
            # Any earlier answer came from the previous incarnation, which will never answer again.
            current.responsiveness.answered_at = float("-inf")
            self._retire(current, "started again", now)
            self.servers.remove(current)
            current = None
        elif current is not None and current.gone:
            self._restore(current)
        self.servers.apply_record(record)
        server = self.servers.get(record.name)
        if server is None:
            return
        server.warm_at = record.warm_at
        if server is not current:
            server.separable = self.labels.add(server)
            log_event(
                logger,
                LogEvent.SERVER_LISTED,
                server=server.name,
                service=server.service,
                zone=server.zone,
                revision=record.revision,
                separable=server.separable,
            )
        if server.unlisted_since is not None:
            log_event(logger, LogEvent.SERVER_LISTED, server=server.name, again=True)
            server.unlisted_since = None
            self._unlisted.pop(server.name, None)

    def _remove(self, name: str, revision: int, now: float) -> None:
        """Removes an entry; `expire` retires its server if the entry does not come back."""
        record = self._records.get(name)
        if record is None or record.revision > revision:
            return
        del self._records[name]
        self._record_removal(name, revision)
        server = self.servers.get(name)
        if server is None or server.unlisted_since is not None or server.gone:
            return
        server.unlisted_since = now
        self._unlisted[name] = server
        log_event(logger, LogEvent.SERVER_UNLISTED, server=name, revision=revision)

    def _record_removal(self, name: str, revision: int) -> None:
        self._removed.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > MAX_REMOVALS:
            oldest = next(iter(self._removed))
            self._removals_known_since = max(self._removals_known_since, self._removed.pop(oldest))

    def confirm(self, confirmed_at: float) -> None:
        """Records that the list matched the platform's at a time on the monotonic clock."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._reachable_since = min(self._reachable_since, confirmed_at)

    def mark_unreachable(self) -> None:
        """Records that the platform does not answer, so that missing entries prove nothing."""
        self._reachable_since = float("inf")

    def absence_confirmed(self, since: float) -> bool:
        """Whether the platform has confirmed that an entry missing at `since` stays missing.

        The confirmation must come `relist_seconds` after `since` and after the platform's last
        recovery, which gives entries that expired during an outage the time to be written again.
        """
        return (
            self.confirmed_at - max(since, self._reachable_since) >= self._settings.relist_seconds
        )

    def expire(self, now: float) -> None:
        """Retires servers confirmed as missing and forgets those retired `forget_seconds` ago."""
        for server in list(self._unlisted.values()):
            if self.absence_confirmed(server.unlisted_since):
                self._retire(server, "left the list", now)
        while self._gone and self._gone[0].forget_at <= now:
            self._forget(self._gone.pop(0).server)

    def _retire(self, server: BackendServer, reason: str, now: float) -> None:
        self._unlisted.pop(server.name, None)
        if server.unlisted_since is None:
            server.unlisted_since = now
        if server.gone:
            return
        self.servers.mark_gone(server)
        self._gone.append(RemovedServer(server, now + self._settings.forget_seconds))
        log_event(
            logger,
            LogEvent.SERVER_GONE,
            server=server.name,
            reason=reason,
            unlisted_seconds=round(now - server.unlisted_since, 2),
            revision=self.version.revision,
        )

    def _restore(self, server: BackendServer) -> None:
        """Undoes a wrong retirement: the server is listed again and its flows still exist."""
        self.servers.mark_present(server)
        self._gone = [gone for gone in self._gone if gone.server is not server]

    def _forget(self, server: BackendServer) -> None:
        self.servers.remove(server)
        self.labels.remove(server)
