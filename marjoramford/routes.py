"""Routes: which service the flows to a public address open at."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of new flows."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A public address and the services behind it.

    Attributes:
        ip: the address as a 32-bit number.
        services: at least one service.
        priority: 0 is the highest.
    """

    ip: int
    port: int
    services: tuple[WeightedService, ...]
    priority: int = 0

    def choose_service(self, random: Random) -> str:
        """Draws a service by weight."""
        if len(self.services) == 1:
            return self.services[0].name
        weights = [service.weight for service in self.services]
        return random.choices(self.services, weights)[0].name


class RouteTable:
    """All routes of one version of the catalogue.

    Args:
        version: rises with each change.
        idle_timeout: a flow that is silent for longer may be forgotten, in seconds.
    """

    def __init__(self, version: int, routes: tuple[Route, ...], idle_timeout: float):
        self.version = version
        self.idle_timeout = idle_timeout
        self._by_address = {(route.ip, route.port): route for route in routes}

    def __len__(self) -> int:
        return len(self._by_address)

    def find(self, ip: int, port: int) -> Route | None:
        """Returns the route of a public address."""
        return self._by_address.get((ip, port))

    def routes(self) -> tuple[Route, ...]:
        """Returns all routes."""
        return tuple(self._by_address.values())
