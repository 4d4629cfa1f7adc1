"""The published list of backend servers, and what it means that a server has left it.

Load pattern: entries lapse in numbers while the platform's store is away, though their servers
live; flows to them go on, and only a server that is still missing some time after the store's
return is taken as gone.
"""

import logging
from dataclasses import dataclass

from .backend_servers import BackendServer, BackendServers
from .flow_labels import LabelIndex
from .flow_settings import ListSettings
from .logs import LogEvent, log_event
from .records import VmRecord

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class GoneServer:
    """A server that is gone, kept while packets of its flows may still come."""

    server: BackendServer
    forgotten_at: float


class ServerList:
    """Keeps the servers of all services in step with the published list."""

    def __init__(self, settings: ListSettings):
        self._settings = settings
        self._records: dict[str, VmRecord] = {}
        self._unlisted: dict[str, BackendServer] = {}
        self._gone: list[GoneServer] = []
        self.servers = BackendServers()
        self.labels = LabelIndex()
        self.revision = 0
        self.confirmed_at = float("-inf")
        self._steady_since = float("inf")

    @property
    def loaded(self) -> bool:
        """Whether a whole list was read once."""
        return self.revision > 0

    def records(self) -> tuple[VmRecord, ...]:
        """Returns the entries on the list."""
        return tuple(self._records.values())

    def replace(self, records: tuple[VmRecord, ...], revision: int, now: float) -> None:
        """Takes a whole list, unless it is older than the one held."""
        if revision < self.revision:
            return
        names = {record.name for record in records}
        for record in records:
            self.put(record, now)
        for name in [name for name in self._records if name not in names]:
            self.remove(name, now)
        self.advance(revision, now)

    def put(self, record: VmRecord, now: float) -> None:
        """Takes one entry."""
        held_record = self._records.get(record.name)
        if held_record is not None and record.revision < held_record.revision:
            return
        self._records[record.name] = record
        held = self.servers.get(record.name)
        if held is not None and (held.gone or held.incarnation != record.incarnation):
            self._retire(held, "started again", now)
            held = None
        self.servers.apply_record(record)
        server = self.servers.get(record.name)
        if server is None:
            return
        server.warm_at = record.listed_at
        if server is not held:
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

    def remove(self, name: str, now: float) -> None:
        """Takes an entry off the list; its server is gone if the entry does not come back."""
        self._records.pop(name, None)
        server = self.servers.get(name)
        if server is None or server.unlisted_since is not None or server.gone:
            return
        server.unlisted_since = now
        self._unlisted[name] = server
        log_event(logger, LogEvent.SERVER_UNLISTED, server=name, revision=self.revision)

    def advance(self, revision: int, now: float) -> None:
        """Notes that the platform answered: the list is whole up to `revision`."""
        self.revision = max(self.revision, revision)
        self.confirmed_at = now
        self._steady_since = min(self._steady_since, now)

    def note_unreachable(self) -> None:
        """Notes that the platform does not answer: missing entries prove nothing."""
        self._steady_since = float("inf")

    def settled(self, since: float, now: float) -> bool:
        """Tells whether what was missing at `since` would be listed again by now."""
        return now - max(since, self._steady_since) >= self._settings.relist_seconds

    def expire(self, now: float) -> None:
        """Takes servers as gone that are still missing, and forgets those gone for long."""
        for server in list(self._unlisted.values()):
            if self.settled(server.unlisted_since, now):
                self._retire(server, "left the list", now)
        while self._gone and self._gone[0].forgotten_at <= now:
            self._forget(self._gone.pop(0).server)

    def _retire(self, server: BackendServer, reason: str, now: float) -> None:
        self._unlisted.pop(server.name, None)
        if server.unlisted_since is None:
            server.unlisted_since = now
        if server.gone:
            return
        self.servers.note_gone(server)
        self._gone.append(GoneServer(server, now + self._settings.forget_seconds))
        log_event(
            logger,
            LogEvent.SERVER_GONE,
            server=server.name,
            reason=reason,
            unlisted_seconds=round(now - server.unlisted_since, 2),
            revision=self.revision,
        )

    def _forget(self, server: BackendServer) -> None:
        self.servers.forget(server)
        self.labels.remove(server)
