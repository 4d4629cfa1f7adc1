"""Routes: map public addresses to the services at which their flows open."""

from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route and its weight in the split of new flows."""

    name: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A public address and the services behind it.

    Attributes:
        ip: the address as a 32-bit number.
        services: at least one service.
        priority: class of the route; 0 is the highest.
        target_seconds: latency objective of its requests, in seconds; 0 if there is none.
    """

    ip: int
    port: int
    services: tuple[WeightedService, ...]
    priority: int = 0
    target_seconds: float = 0.0

    def leads_to(self, service: str) -> bool:
        """Returns whether flows of the route may open at a service."""
        return any(part.name == service and part.weight > 0 for part in self.services)

    def choose_service(self, random: Random) -> str:
        """Returns a service drawn at random by weight."""
        if len(self.services) == 1:
            return self.services[0].name
        weights = [service.weight for service in self.services]
        return random.choices(self.services, weights)[0].name


class WarmupLimit(msgspec.Struct, frozen=True):
    """The flows per second that may open at each cold server of a service."""

    service: str
    flows_per_second: Annotated[float, Meta(gt=0)]


class RouteChanges(msgspec.Struct, frozen=True, omit_defaults=True):
    """A delta between two versions of the routes, or a whole table.

    Attributes:
        version: the version that the changes lead to.
        base: the version that they apply to; 0 if `routes` is the whole table.
        idle_timeout: idle timeout of flows in the new version, in seconds.
        routes: routes that were added or changed.
        removed: addresses (IP and port) whose routes were removed.
        era: era in which the platform held the version.
        base_era: era of the base.
        warmup_limits: all limits of the new version if they differ from those of the base, else
            None; a whole table has no base limits.
    """

    version: int
    base: int
    idle_timeout: float
    routes: tuple[Route, ...]
    removed: tuple[tuple[int, int], ...] = ()
    era: Annotated[int, Meta(ge=0)] = 0
    base_era: Annotated[int, Meta(ge=0)] = 0
    warmup_limits: tuple[WarmupLimit, ...] | None = None


class RouteTable:
    """All routes of one version of the catalogue.

    After the platform was restored from a copy, the operator may write a version again with other
    content; the era tells the two apart.

    Args:
        version: increases with each change.
        routes: all routes, at most one for each public address.
        idle_timeout: a flow that is idle for longer may be forgotten, in seconds.
        era: era in which the platform held this version.
        warmup_limits: limits for cold servers, at most one for each service.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        idle_timeout: float,
        era: int = 0,
        warmup_limits: tuple[WarmupLimit, ...] = (),
    ):
        self.version = version
        self.era = era
        self.idle_timeout = idle_timeout
        self.warmup_limits = warmup_limits
        self._by_address = {(route.ip, route.port): route for route in routes}
        self._limits = {limit.service: limit.flows_per_second for limit in warmup_limits}

    def __len__(self) -> int:
        return len(self._by_address)

    @property
    def order(self) -> tuple[int, int]:
        """Version, then era: routes in force are only replaced by those of a higher order."""
        return self.version, self.era

    def has_content_of(self, other: "RouteTable") -> bool:
        """Returns whether both tables hold the same routes, idle timeout and limits."""
        same_timeout = self.idle_timeout == other.idle_timeout
        same_limits = self._limits == other._limits
        return same_timeout and same_limits and self._by_address == other._by_address

    def find(self, ip: int, port: int) -> Route | None:
        """Returns the route of a public address, or None."""
        return self._by_address.get((ip, port))

    def warmup_limit(self, service: str) -> float:
        """Returns the flows per second that may open at a cold server; 0 if there is no limit."""
        return self._limits.get(service, 0.0)

    def routes(self) -> tuple[Route, ...]:
        """Returns all routes."""
        return tuple(self._by_address.values())

    def diff_from(self, base: "RouteTable") -> RouteChanges:
        """Returns the delta from an earlier table to this one."""
        new_routes, old_routes = self._by_address, base._by_address
        changed = tuple(
            route for address, route in new_routes.items() if old_routes.get(address) != route
        )
        removed = tuple(address for address in old_routes if address not in new_routes)
        return RouteChanges(
            self.version,
            base.version,
            self.idle_timeout,
            changed,
            removed,
            self.era,
            base.era,
            None if self._limits == base._limits else self.warmup_limits,
        )

    def with_changes(self, changes: RouteChanges) -> "RouteTable":
        """Returns a new table: this one with a delta applied."""
        removed = set(changes.removed)
        routes = {
            address: route for address, route in self._by_address.items() if address not in removed
        }
        routes |= {(route.ip, route.port): route for route in changes.routes}
        limits = changes.warmup_limits
        return RouteTable(
            changes.version,
            tuple(routes.values()),
            changes.idle_timeout,
            changes.era,
            self.warmup_limits if limits is None else limits,
        )


class RouteHistory:
    """The newest route tables, kept to send deltas instead of whole tables to followers.

    Many followers on narrow links read a burst of changes from one entry VM; whole tables would
    crowd out callers' packets.

    Args:
        max_tables: versions kept; a follower further behind gets the whole table.
    """

    def __init__(self, max_tables: int):
        self._max_tables = max_tables
        self._tables: dict[tuple[int, int], RouteTable] = {}

    def add(self, table: RouteTable) -> None:
        """Adds the newest table and evicts the oldest beyond `max_tables`."""
        self._tables[table.order] = table
        if len(self._tables) > self._max_tables:
            del self._tables[next(iter(self._tables))]

    def changes_since(self, version: int, era: int | None = 0) -> RouteChanges | None:
        """Returns the delta from a version; the whole table if unknown; None if current.

        Args:
            version: version that the follower has.
            era: era of that version; None for a follower of an older build, which knows none and
                compares versions alone.
        """
        if not self._tables:
            return None
        newest = next(reversed(self._tables.values()))
        known = (version, newest.era if era is None else era)
        if known >= newest.order:
            return None
        # Without its era, the content of the follower's version is known only if there is one era.
        base = None if era is None and newest.era else self._tables.get(known)
        if base is None:
            return RouteChanges(
                newest.version,
                0,
                newest.idle_timeout,
                newest.routes(),
                era=newest.era,
                warmup_limits=newest.warmup_limits or None,
            )
        return newest.diff_from(base)
