"""Simulated metadata store of the platform: server entries and versions of the routes.

The store can be restored from a copy. It then lacks what was written after the copy was taken,
assigns the same revisions again, and starts a new era.
"""

from dataclasses import dataclass

from msgspec.structs import replace

from ..records import VmRecord
from ..routes import Route, RouteTable, WeightedService
from ..server_lists import ListChanges
from ..state_versions import StateVersion

IDLE_SECONDS = 15.0
FIRST_ERA = 1


@dataclass(frozen=True, slots=True)
class PublishedRoutes:
    """One version of the routes.

    Attributes:
        services: the service behind each port.
        acked_at: when the store acknowledged this version, in seconds.
    """

    version: int
    services: dict[int, str]
    acked_at: float


@dataclass(frozen=True, slots=True)
class StoreContent:
    """Content of the store after one change.

    Attributes:
        written_at: time of the change, in seconds.
        revision: revision of the change.
        records: the servers' entries, by name.
        removed: revision of the removal of each removed entry, by name.
        routes: the stored version of the routes; None before the first.
    """

    written_at: float
    revision: int
    records: dict[str, VmRecord]
    removed: dict[str, int]
    routes: PublishedRoutes | None


class PacketCatalogue:
    """The simulated store.

    Args:
        route_ip: address of all routes, as a 32-bit number.
        target_seconds: target latency of all routes; 0 if they have none.

    Attributes:
        history: all versions of the routes ever acknowledged, oldest first, including those that
            the store has lost.
        restores: how often the store was restored from a copy.
        down: whether the store answers no requests.
        last_fault_at: when an outage of the store last began or ended, in seconds.
    """

    def __init__(self, route_ip: int, target_seconds: float = 0.0):
        self._route_ip = route_ip
        self._target_seconds = target_seconds
        self._contents = [StoreContent(float("-inf"), 0, {}, {}, None)]
        self._changed_at: dict[str, float] = {}
        self.history: list[PublishedRoutes] = []
        self.restores = 0
        self.down = False
        self.last_fault_at = float("-inf")

    @property
    def era(self) -> int:
        """Number of the store's era, which rises with each restore."""
        return FIRST_ERA + self.restores

    @property
    def version(self) -> StateVersion:
        """Era and revision of the last change."""
        return StateVersion(self.era, self._content.revision)

    @property
    def routes(self) -> RouteTable:
        """The version of the routes that the store holds."""
        stored = self._content.routes
        routes = tuple(
            Route(
                self._route_ip,
                port,
                (WeightedService(service, 1.0),),
                target_seconds=self._target_seconds,
            )
            for port, service in stored.services.items()
        )
        return RouteTable(stored.version, routes, IDLE_SECONDS, self.era)

    @property
    def records(self) -> dict[str, VmRecord]:
        """The servers' entries, by name."""
        return self._content.records

    @property
    def _content(self) -> StoreContent:
        return self._contents[-1]

    def changes_since(self, version: StateVersion) -> ListChanges:
        """Returns the changes after a version of this era, or all entries."""
        content = self._content
        if version.era != self.era or version.revision > content.revision:
            return ListChanges(tuple(content.records.values()), (), True, self.version)
        records = tuple(r for r in content.records.values() if r.revision > version.revision)
        removed = tuple(item for item in content.removed.items() if item[1] > version.revision)
        return ListChanges(records, removed, False, self.version)

    def changed_at(self, name: str) -> float:
        """Returns when a server's entry was last written, removed or restored, in seconds."""
        return self._changed_at.get(name, float("-inf"))

    def publish_routes(self, services: dict[int, str], now: float) -> None:
        """Writes the next version of the routes."""
        version = self.history[-1].version + 2 if self.history else 1
        self.history.append(PublishedRoutes(version, dict(services), now))
        self.publish_routes_again(now)

    def publish_routes_again(self, now: float) -> None:
        """Writes the newest version of the routes, as it was."""
        content = self._content
        self._write(now, content.records, content.removed, self.history[-1])

    def put_server(self, record: VmRecord, now: float) -> None:
        """Writes a server's entry."""
        content = self._content
        record = replace(record, revision=content.revision + 1)
        removed = {name: at for name, at in content.removed.items() if name != record.name}
        self._changed_at[record.name] = now
        self._write(now, content.records | {record.name: record}, removed, content.routes)

    def remove_server(self, name: str, now: float) -> None:
        """Removes a server's entry, if there is one."""
        content = self._content
        if name not in content.records:
            return
        records = {each: record for each, record in content.records.items() if each != name}
        self._changed_at[name] = now
        self._write(now, records, content.removed | {name: content.revision + 1}, content.routes)

    def restore(self, copied_at: float, now: float) -> None:
        """Replaces the content by that of an earlier time and starts a new era.

        Args:
            copied_at: time of the copy; the start of the simulation if it is before that.
            now: the current time.
        """
        copied_at = max(copied_at, self._contents[1].written_at)
        lost = self._content
        copy = next(c for c in reversed(self._contents) if c.written_at <= copied_at)
        for name in lost.records.keys() | copy.records.keys():
            if lost.records.get(name) != copy.records.get(name):
                self._changed_at[name] = now
        self.restores += 1
        self._contents.append(
            StoreContent(now, copy.revision, copy.records, copy.removed, copy.routes)
        )

    def services_since(self, version: int, port: int) -> set[str]:
        """Returns the services that a version of the routes, or any later one, maps a port to."""
        return {
            routes.services[port]
            for routes in self.history
            if routes.version >= version and port in routes.services
        }

    def newest_version_acked_by(self, time: float) -> int:
        """Returns the newest version acknowledged up to a time; 0 if there is none."""
        return max((r.version for r in self.history if r.acked_at <= time), default=0)

    def _write(
        self,
        now: float,
        records: dict[str, VmRecord],
        removed: dict[str, int],
        routes: PublishedRoutes | None,
    ) -> None:
        revision = self._content.revision + 1
        self._contents.append(StoreContent(now, revision, records, removed, routes))
