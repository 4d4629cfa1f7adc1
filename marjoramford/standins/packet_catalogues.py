"""Simulated metadata store of the platform: server entries, versions of the routes, zone drains.

The store can be restored from a copy. It then lacks what was written after the copy was taken,
assigns the same revisions again, and starts a new era.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

import msgspec

from ..opaque_flows.routes import Route, RouteTable, WarmupLimit, WeightedService
from ..opaque_flows.server_lists import ListChanges
from ..opaque_flows.state_versions import StateVersion
from ..opaque_flows.zone_drains import ZoneDrain
from ..shared.records import VmRecord

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
        drained: revision of the drain of each drained zone.
        returned: revision of the end of the last drain of each zone that is not drained.
    """

    written_at: float
    revision: int
    records: dict[str, VmRecord]
    removed: dict[str, int]
    routes: PublishedRoutes | None
    drained: dict[str, int]
    returned: dict[str, int]


class PacketCatalogue:
    """The simulated store.

    Args:
        route_ip: address of all routes, as a 32-bit number.
        target_seconds: target latency of all routes; 0 if they have none.
        warmup_per_s: requests per second that a cold server of any service can handle; 0 if the
            operator has set no limit.

    Attributes:
        history: all versions of the routes ever acknowledged, oldest first, including those that
            the store has lost.
        restores: how often the store was restored from a copy.
        down: whether the store answers no requests.
        last_fault_at: when an outage of the store last began or ended, in seconds.
    """

    def __init__(self, route_ip: int, target_seconds: float = 0.0, warmup_per_s: float = 0.0):
        self._route_ip = route_ip
        self._target_seconds = target_seconds
        self._contents = [StoreContent(float("-inf"), 0, {}, {}, None, {}, {})]
        self._changed_at: dict[str, float] = {}
        self._drain_changed_at: dict[str, float] = {}
        self.warmup_per_s = warmup_per_s
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
        services = sorted(set(stored.services.values())) if self.warmup_per_s else ()
        limits = tuple(WarmupLimit(service, self.warmup_per_s) for service in services)
        return RouteTable(stored.version, routes, IDLE_SECONDS, self.era, limits)

    @property
    def records(self) -> dict[str, VmRecord]:
        """The servers' entries, by name."""
        return self._content.records

    @property
    def drained_zones(self) -> Collection[str]:
        """The zones that the store holds as drained."""
        return self._content.drained.keys()

    @property
    def _content(self) -> StoreContent:
        return self._contents[-1]

    def changes_since(self, version: StateVersion) -> ListChanges:
        """Returns the changes after a version of this era, or all entries."""
        content = self._content
        if version.era != self.era or version.revision > content.revision:
            drains = tuple(ZoneDrain(zone, at, True) for zone, at in content.drained.items())
            return ListChanges(tuple(content.records.values()), (), True, self.version, drains)
        records = tuple(r for r in content.records.values() if r.revision > version.revision)
        removed = tuple(item for item in content.removed.items() if item[1] > version.revision)
        drains = tuple(
            ZoneDrain(zone, at, zone in content.drained)
            for zone, at in (content.drained | content.returned).items()
            if at > version.revision
        )
        return ListChanges(records, removed, False, self.version, drains)

    def changed_at(self, name: str) -> float:
        """Returns when a server's entry was last written, removed or restored, in seconds."""
        return self._changed_at.get(name, float("-inf"))

    def drain_changed_at(self, zone: str) -> float:
        """Returns when a zone's drain was last written, removed or restored, in seconds."""
        return self._drain_changed_at.get(zone, float("-inf"))

    def publish_routes(self, services: dict[int, str], now: float) -> None:
        """Writes the next version of the routes."""
        version = self.history[-1].version + 2 if self.history else 1
        self.history.append(PublishedRoutes(version, dict(services), now))
        self.publish_routes_again(now)

    def publish_routes_again(self, now: float) -> None:
        """Writes the newest version of the routes, as it was."""
        self._write(now, routes=self.history[-1])

    def put_server(self, record: VmRecord, now: float) -> None:
        """Writes a server's entry."""
        content = self._content
        record = msgspec.structs.replace(record, revision=content.revision + 1)
        removed = {name: at for name, at in content.removed.items() if name != record.name}
        self._changed_at[record.name] = now
        self._write(now, records=content.records | {record.name: record}, removed=removed)

    def remove_server(self, name: str, now: float) -> None:
        """Removes a server's entry, if there is one."""
        content = self._content
        if name not in content.records:
            return
        records = {each: record for each, record in content.records.items() if each != name}
        self._changed_at[name] = now
        removed = content.removed | {name: content.revision + 1}
        self._write(now, records=records, removed=removed)

    def drain_zone(self, zone: str, now: float) -> None:
        """Writes the drain of a zone, also if there is one already."""
        content = self._content
        drained = content.drained | {zone: content.revision + 1}
        returned = {name: at for name, at in content.returned.items() if name != zone}
        if zone not in content.drained:
            self._drain_changed_at[zone] = now
        self._write(now, drained=drained, returned=returned)

    def return_zone(self, zone: str, now: float) -> None:
        """Removes the drain of a zone, if there is one."""
        content = self._content
        if zone not in content.drained:
            return
        drained = {name: at for name, at in content.drained.items() if name != zone}
        self._drain_changed_at[zone] = now
        returned = content.returned | {zone: content.revision + 1}
        self._write(now, drained=drained, returned=returned)

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
        for zone in lost.drained.keys() ^ copy.drained.keys():
            self._drain_changed_at[zone] = now
        self.restores += 1
        self._contents.append(replace(copy, written_at=now))

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

    def _write(self, now: float, **changes: object) -> None:
        """Appends the content with some fields of `StoreContent` changed."""
        revision = self._content.revision + 1
        self._contents.append(replace(self._content, written_at=now, revision=revision, **changes))
