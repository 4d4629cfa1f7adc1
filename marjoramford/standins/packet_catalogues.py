"""Simulated content of the platform's metadata store: server list and versions of the routes."""

from dataclasses import dataclass

from msgspec.structs import replace

from ..flow_settings import ListSettings
from ..records import VmRecord
from ..routes import Route, RouteTable, WeightedService
from ..server_lists import ListChanges, ServerList
from ..state_versions import StateVersion

IDLE_SECONDS = 15.0


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


class PacketCatalogue:
    """Content of the simulated store.

    Args:
        route_ip: address of all routes, as a 32-bit number.
        target_seconds: target latency of all routes; 0 if they have none.

    Attributes:
        servers: the published server list.
        history: all published versions of the routes, oldest first.
        down: whether the store answers no requests.
        last_fault_at: when an outage of the store last began or ended, in seconds.
    """

    def __init__(self, route_ip: int, target_seconds: float = 0.0):
        self._route_ip = route_ip
        self._target_seconds = target_seconds
        self._revision = 0
        self.servers = ServerList(ListSettings())
        self.history: list[PublishedRoutes] = []
        self.down = False
        self.last_fault_at = float("-inf")

    @property
    def routes(self) -> RouteTable:
        """The latest version of the routes."""
        newest = self.history[-1]
        routes = tuple(
            Route(
                self._route_ip,
                port,
                (WeightedService(service, 1.0),),
                target_seconds=self._target_seconds,
            )
            for port, service in newest.services.items()
        )
        return RouteTable(newest.version, routes, IDLE_SECONDS)

    def publish_routes(self, services: dict[int, str], now: float) -> None:
        """Publishes the next version of the routes."""
        version = self.history[-1].version + 2 if self.history else 1
        self.history.append(PublishedRoutes(version, dict(services), now))

    def put_server(self, record: VmRecord, now: float) -> None:
        """Writes a server's entry at a new revision."""
        self._revision += 1
        self._apply((replace(record, revision=self._revision),), (), now)

    def remove_server(self, name: str, now: float) -> None:
        """Removes a server's entry at a new revision."""
        self._revision += 1
        self._apply((), ((name, self._revision),), now)

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

    def _apply(
        self, records: tuple[VmRecord, ...], removed: tuple[tuple[str, int], ...], now: float
    ) -> None:
        self.servers.apply(
            ListChanges(records, removed, False, StateVersion(0, self._revision)), now
        )
