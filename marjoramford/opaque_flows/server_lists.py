"""The published list of backend servers and the removal of servers that have left it.

Load pattern: while the platform's store is unavailable, many entries expire although their servers
are alive. Flows to these servers continue, and a server is considered removed only if its entry is
still missing some time after the store has recovered.

A server whose entry disappears is at first unlisted, then retired (`gone`) once the absence is
confirmed, and forgotten `forget_seconds` after that. It is listed again if its entry returns before
that. A restart of a server retires its previous incarnation at once.

The platform's store may be restored from a copy some seconds old, which starts a new era. Its first
snapshot replaces the entries of the older era, but proves little about the servers: those that the
copy lacks may have written their entry after it was taken, and those that it has may have left
since. Both are settled by what follows in the new era, as after an outage.
"""

import logging
from collections.abc import Iterable

import msgspec

from ..shared.addresses import Address
from ..shared.backend_servers import BackendServer, BackendServers
from ..shared.logs import LogEvent, log_event
from ..shared.records import VmRecord
from .flow_labels import LabelIndex
from .flow_settings import ListSettings
from .state_versions import NOTHING_READ, StateVersion
from .zone_drains import ZoneDrain, ZoneDrains

logger = logging.getLogger(__name__)

# Removals kept for followers that are behind; a follower further behind gets a snapshot.
MAX_REMOVALS = 1024
# Followers hear of a recovery until it was confirmed for this many times `relist_seconds`. By then
# it no longer decides anything, also where `relist_seconds` is set somewhat longer.
PUBLISHED_RELIST_TIMES = 3


class RemovedServer(msgspec.Struct, frozen=True):
    """A removed server, kept until `forget_at` because packets of its flows may still arrive."""

    server: BackendServer
    forget_at: float


class ListChanges(msgspec.Struct, frozen=True):
    """A delta or a snapshot of the list.

    Attributes:
        records: entries that were written.
        removed: names of removed entries, each with the revision of its removal.
        whole: whether this is a snapshot, so that entries missing from `records` are removed and
            zones missing from `drains` are not drained.
        version: version of the list once these changes are applied.
        drains: drains of zones that began or ended; None if the sender does not know them.
        unverified: names of those in `records` whose servers had left the list before the platform
            was restored from the copy that has them.
    """

    records: tuple[VmRecord, ...]
    removed: tuple[tuple[str, int], ...]
    whole: bool
    version: StateVersion
    drains: tuple[ZoneDrain, ...] | None = ()
    unverified: tuple[str, ...] = ()


class ServerList:
    """Keeps the servers of all services in step with the published list.

    Changes may be duplicated, delayed and come from several sources, so an entry is only ever
    replaced by one with a higher revision of the same era, or by the snapshot of a newer era.

    Attributes:
        drains: the drains of zones, which the version covers too.
    """

    def __init__(self, settings: ListSettings):
        self._settings = settings
        self._records: dict[str, VmRecord] = {}
        self._removed: dict[str, int] = {}
        self._removals_known_since = 0
        self._unlisted: dict[str, BackendServer] = {}
        self._gone: list[RemovedServer] = []
        # Entries of a restored copy whose servers had left the list before.
        self._awaiting: dict[str, VmRecord] = {}
        # Servers by label until the first list is complete.
        self._preloaded = LabelIndex()
        self.servers = BackendServers()
        self.labels = LabelIndex()
        self.drains = ZoneDrains()
        self.version = NOTHING_READ
        self.confirmed_at = float("-inf")
        self._lost_at = float("-inf")
        self._reachable_since = float("inf")
        self._peer_recovered_at = float("-inf")
        self._is_lost_at_peer = False
        self._era_began_at = float("-inf")

    @property
    def loaded(self) -> bool:
        """Whether a list has been read at least once."""
        return self.version > NOTHING_READ

    @property
    def known_version(self) -> StateVersion:
        """The version up to which both the entries and the drains are known.

        It is below `version` while the drains are missing from the state of an older build.
        """
        return min(self.version, self.drains.version)

    @property
    def are_drains_current(self) -> bool:
        """Whether the drains are known as of `version`."""
        return self.drains.version == self.version

    @property
    def recovered_at(self) -> float | None:
        """When the platform last recovered here or at a peer, as far as it matters.

        Infinity while it does not answer; None if it was never lost or has been confirmed for long
        since.
        """
        own = self._reachable_since if self._lost_at > float("-inf") else float("-inf")
        recovered_at = max(own, self._peer_recovered_at)
        published_until = recovered_at + PUBLISHED_RELIST_TIMES * self._settings.relist_seconds
        if recovered_at == float("-inf") or self.confirmed_at >= published_until:
            return None
        return recovered_at

    @property
    def is_platform_lost(self) -> bool:
        """Whether the platform does not answer, by the last news from it or from a peer."""
        return self._lost_at > self.confirmed_at or self._is_lost_at_peer

    def preload(self, records: Iterable[VmRecord]) -> None:
        """Makes servers known by label while the first list is still being read.

        Open flows are forwarded to them meanwhile; no flow is placed there.
        """
        if self.loaded:
            return
        servers = BackendServers()
        for record in records:
            servers.apply_record(record)
        self._preloaded = LabelIndex()
        for server in servers.values():
            self._preloaded.add(server)

    def find_label(self, label: int) -> BackendServer | None:
        """Returns the server with a label, listed or preloaded, or None."""
        return self.labels.find(label) or self._preloaded.find(label)

    def changes_since(self, version: StateVersion) -> ListChanges:
        """Returns the delta from a follower's version, or a snapshot.

        A snapshot is returned if removals since that version are not known, or if the follower's
        version is of another era or ahead of this list. Drains are not passed on while they are
        known only in part.
        """
        revision = version.revision
        known_since = max(self._removals_known_since, self.drains.known_since)
        known = known_since <= revision <= self.version.revision
        drains = None
        if version.era != self.version.era or not known:
            if self.are_drains_current:
                drains = self.drains.snapshot()
            records = tuple(self._records.values())
            return ListChanges(records, (), True, self.version, drains, tuple(self._awaiting))
        if self.are_drains_current:
            drains = self.drains.changes_since(revision)
        records = tuple(r for r in self._records.values() if r.revision > revision)
        removed = tuple(item for item in self._removed.items() if item[1] > revision)
        unverified = tuple(r.name for r in records if r.name in self._awaiting)
        return ListChanges(records, removed, False, self.version, drains, unverified)

    def apply(self, changes: ListChanges, now: float) -> bool:
        """Applies a delta or a snapshot.

        Returns:
            Whether it was applied: not if it is older than this list, or a delta of a newer era.
        """
        if changes.version < self.version:
            return False
        self._preloaded = LabelIndex()
        if changes.version.era > self.version.era:
            if not changes.whole:
                return False
            if self.loaded:
                self._replace(changes, now)
                self._apply_drains(changes, now)
                return True
            self.version = StateVersion(changes.version.era, 0)
        unverified = set(changes.unverified)
        for record in changes.records:
            self._put(record, record.name not in unverified, now)
        for name, revision in changes.removed:
            self._remove(name, revision, now)
        if changes.whole:
            names = {record.name for record in changes.records}
            for name in [name for name in self._records if name not in names]:
                self._remove(name, changes.version.revision, now)
            self._removals_known_since = self._removals_known_since or changes.version.revision
        self.version = changes.version
        self._apply_drains(changes, now)
        return True

    def _apply_drains(self, changes: ListChanges, now: float) -> None:
        if changes.drains is not None:
            changed = self.drains.apply(changes.drains, changes.whole, changes.version, now)
            self._update_zones(changed, now)

    def _update_zones(self, zones: list[str], now: float) -> None:
        """Updates the servers of zones whose drain began or ended."""
        for zone in zones:
            is_drained = self.drains.is_drained(zone)
            # An end may be forgotten at once, to make room for the start of another drain.
            state = self.drains.find(zone)
            version = self.version if state is None else state.version
            count = 0
            for server in self.servers.values():
                if server.zone == zone:
                    server.zone_drained = is_drained
                    count += not server.gone
            log_event(
                logger,
                LogEvent.ZONE_DRAIN_BEGAN if is_drained else LogEvent.ZONE_DRAIN_ENDED,
                zone=zone,
                servers=count,
                has_servers=count > 0,
                era=version.era,
                revision=version.revision,
                list_age=self._age(now),
            )

    def _age(self, now: float) -> float | None:
        """Returns the age of the known state in seconds; None if nothing was confirmed yet."""
        if self.confirmed_at == float("-inf"):
            return None
        return round(now - self.confirmed_at, 2)

    def _replace(self, changes: ListChanges, now: float) -> None:
        """Replaces all entries by the first snapshot of a newer era; see the module's comment."""
        previous, removed = self.version, self._removed
        self.version = changes.version
        self._records = {record.name: record for record in changes.records}
        self._removed = {}
        self._removals_known_since = changes.version.revision
        self._awaiting = {}
        self._era_began_at = now
        self._reachable_since = float("inf")
        missing = [s for s in self.servers.values() if s.name not in self._records and not s.gone]
        for server in missing:
            self._unlist(server, changes.version.revision, now)
        ignored = 0
        for record in changes.records:
            current = self.servers.get(record.name)
            if current is not None and record.incarnation < current.incarnation:
                ignored += 1
                self._unlist(current, changes.version.revision, now)
            elif self._was_missing(record, removed) or self._is_address_taken(record):
                self._await(record)
            else:
                self._list(record, now)
        log_event(
            logger,
            LogEvent.LIST_REPLACED,
            version=changes.version,
            previous=previous,
            entries=len(self._records),
            missing=len(missing),
            awaiting=len(self._awaiting),
            ignored=ignored,
        )

    def _was_missing(self, record: VmRecord, removed: dict[str, int]) -> bool:
        """Whether the incarnation had left the list of the older era."""
        current = self.servers.get(record.name)
        if current is None:
            return record.name in removed
        same = current.incarnation == record.incarnation
        return same and current.unlisted_since is not None

    def _is_address_taken(self, record: VmRecord) -> bool:
        """Whether another server was listed at the address later, unless it is gone as well."""
        occupant = self.servers.at(Address(record.host, record.data_port))
        if occupant is None or occupant.name == record.name or occupant.gone:
            return False
        current = self.servers.get(record.name)
        return current is None or current.unlisted_since is not None

    def _await(self, record: VmRecord) -> None:
        """Leaves a server unlisted although the copy has it, until its entry is verified.

        If it was gone, its flows continue, unless its address may belong to another server by now.
        """
        self._awaiting[record.name] = record
        server = self.servers.get(record.name)
        if server is None or self._is_address_taken(record):
            return
        self._unlisted.pop(server.name, None)
        if server.gone:
            self._restore(server)
            server.unverified = True

    def _put(self, record: VmRecord, is_verified: bool, now: float) -> None:
        current_record = self._records.get(record.name)
        newest = current_record.revision if current_record else self._removed.get(record.name, 0)
        if record.revision <= newest:
            return
        self._records[record.name] = record
        self._removed.pop(record.name, None)
        if is_verified or self._runs(record):
            self._list(record, now)
            return
        self._await(record)
        if self._era_began_at == float("-inf"):
            # A start knows of the restore from its peer alone.
            self._era_began_at = now

    def _runs(self, record: VmRecord) -> bool:
        """Whether this incarnation of a server is listed here."""
        server = self.servers.get(record.name)
        is_same = server is not None and server.incarnation == record.incarnation
        return is_same and server.unlisted_since is None

    def _list(self, record: VmRecord, now: float) -> None:
        self._awaiting.pop(record.name, None)
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
        server.unverified = False
        server.zone_drained = self.drains.is_drained(server.zone)
        if server is not current:
            server.separable = self.labels.add(server)
            log_event(
                logger,
                LogEvent.SERVER_LISTED,
                server=server.name,
                service=server.service,
                zone=server.zone,
                era=self.version.era,
                revision=record.revision,
                separable=server.separable,
            )
        if server.unlisted_since is not None:
            log_event(logger, LogEvent.SERVER_LISTED, server=server.name, again=True)
            server.unlisted_since = None
            server.may_have_restarted = False
            self._unlisted.pop(server.name, None)

    def _remove(self, name: str, revision: int, now: float) -> None:
        """Removes an entry; `expire` retires its server if the entry does not come back."""
        record = self._records.get(name)
        if record is None:
            # Followers may have an entry that a whole read here found removed already.
            if self._removed.get(name, 0) < revision:
                self._record_removal(name, revision)
            return
        if record.revision > revision:
            return
        del self._records[name]
        self._record_removal(name, revision)
        server = self.servers.get(name)
        was_awaiting = self._awaiting.pop(name, None) is not None
        if server is None or server.gone:
            return
        if was_awaiting:
            # Its absence before the copy does not count: the copy listed it meanwhile.
            server.unlisted_since = None
        if server.unlisted_since is None:
            self._unlist(server, revision, now)

    def _unlist(self, server: BackendServer, revision: int, now: float) -> None:
        if server.gone:
            return
        self._unlisted[server.name] = server
        if server.unlisted_since is not None:
            return
        server.unlisted_since = now
        # While the platform answers, an entry expires only after its server was silent for long; a
        # restored copy may lack those of servers that live.
        is_restored = self._era_began_at == now
        server.may_have_restarted = self.recovered_at is None and not is_restored
        log_event(
            logger,
            LogEvent.SERVER_UNLISTED,
            server=server.name,
            era=self.version.era,
            revision=revision,
        )

    def _record_removal(self, name: str, revision: int) -> None:
        self._removed.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > MAX_REMOVALS:
            oldest = next(iter(self._removed))
            self._removals_known_since = max(self._removals_known_since, self._removed.pop(oldest))

    def confirm(
        self,
        confirmed_at: float,
        recovered_at: float = float("-inf"),
        is_lost_at_peer: bool = False,
    ) -> None:
        """Records that the list matched the platform's at a time on the monotonic clock.

        A confirmation from before the last failed read here, which a peer may pass on during an
        outage, does not show that the platform answers again.

        Args:
            confirmed_at: time of the confirmation.
            recovered_at: when the peer that passes it on had the platform again after an
                interruption.
            is_lost_at_peer: whether the platform does not answer that peer.
        """
        self._is_lost_at_peer = is_lost_at_peer
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._peer_recovered_at = max(self._peer_recovered_at, recovered_at)
        if confirmed_at > self._lost_at:
            reachable_since = max(confirmed_at, self._era_began_at)
            self._reachable_since = min(self._reachable_since, reachable_since)

    def mark_unreachable(self, now: float) -> None:
        """Records that the platform does not answer, so that missing entries prove nothing."""
        self._lost_at = now
        self._reachable_since = float("inf")

    def absence_confirmed(self, since: float) -> bool:
        """Whether the platform has confirmed that an entry missing at `since` stays missing.

        The same holds for an entry that a restored copy has and that stays.

        The confirmation must come `relist_seconds` after `since` and after the platform's last
        recovery, here or at a peer whose state was used, which gives entries that expired during an
        outage the time to be written again.
        """
        began_at = max(since, self._reachable_since, self._peer_recovered_at)
        return self.confirmed_at - began_at >= self._settings.relist_seconds

    def is_missing(self, seen_at: float) -> bool:
        """Whether a server that is not listed has left, given that a packet of its flow arrived.

        A flow opens at a server only after an entry VM has read its entry. So a list that was read
        after the packet has the server, unless its entry has expired since then: in an outage of
        the platform, or because the server is gone.

        Args:
            seen_at: when the packet arrived, on the monotonic clock in seconds.
        """
        recovered_at = max(self._reachable_since, self._peer_recovered_at)
        was_well = self.confirmed_at - recovered_at >= self._settings.relist_seconds
        return was_well and self.confirmed_at >= seen_at

    def expire(self, now: float) -> None:
        """Acts on confirmed entries and absences, and forgets servers `forget_seconds` later."""
        self._update_zones(self.drains.expire(self.absence_confirmed, now), now)
        for server in list(self._unlisted.values()):
            if self.absence_confirmed(server.unlisted_since):
                self._retire(server, "left the list", now)
        if self._awaiting and self.absence_confirmed(self._era_began_at):
            for record in list(self._awaiting.values()):
                if not self._is_address_taken(record):
                    self._list(record, now)
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
            era=self.version.era,
            revision=self.version.revision,
        )

    def _restore(self, server: BackendServer) -> None:
        """Undoes a wrong retirement: the server is listed again and its flows still exist."""
        self.servers.mark_present(server)
        self._gone = [gone for gone in self._gone if gone.server is not server]

    def _forget(self, server: BackendServer) -> None:
        self.servers.remove(server)
        self.labels.remove(server)
