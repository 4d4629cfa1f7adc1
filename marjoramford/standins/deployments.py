"""The two reference deployments: zones, services, servers, slots, latencies and traffic."""

from collections.abc import Callable
from dataclasses import dataclass

from ..shared.records import CatalogueEntry, KindRules


@dataclass(frozen=True, slots=True)
class Traffic:
    """One kind of traffic that callers offer.

    Attributes:
        shape: ``request``, ``board`` (a stream to the caller) or ``upload`` (one from it).
        share: share of this kind in the offered requests, or in the flows for a stream.
        work_seconds: mean time that a request holds a slot.
        weight: weight of one whole delivery in the weighted service.
    """

    service: str
    kind: str
    shape: str
    share: float
    work_seconds: float = 0.3
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service and its backend servers; `slots` and `connections` are limits per server."""

    name: str
    servers: int
    slots: int
    connections: int
    service_class: str
    kinds: tuple[KindRules, ...]

    def entry(self, owner: str, revision: int, added_at: int) -> CatalogueEntry:
        """Returns the initial catalogue entry of the service."""
        return CatalogueEntry(
            self.name,
            revision,
            added_at,
            owner,
            self.service_class,
            self.servers * self.connections,
            self.servers * self.slots * 2,
            self.kinds,
        )


@dataclass(frozen=True, slots=True)
class Deployment:
    """The region of one operating company."""

    name: str
    owner: str
    region: str
    zones: tuple[str, ...]
    entry_vms: int
    zone_latency_seconds: float
    caller_latency_seconds: float
    services: tuple[ServiceShape, ...]
    traffic: tuple[Traffic, ...]

    def service(self, name: str) -> ServiceShape:
        """Returns a service by name."""
        return next(service for service in self.services if service.name == name)

    def is_idempotent(self, traffic: Traffic) -> bool:
        """Whether requests of the traffic's kind may safely run twice."""
        rules = self.service(traffic.service).kinds
        return any(rule.name == traffic.kind and rule.idempotent for rule in rules)

    def request_rates(
        self, load: float, slots: Callable[[ServiceShape], int], work_seconds: float
    ) -> dict[Traffic, float]:
        """Returns the request rate of each kind that results in a load.

        Args:
            load: offered work as a share of the capacity of all slots.
            slots: returns the slots of one server of a service.
            work_seconds: time that a request holds a slot.

        Returns:
            Requests per second, by kind of traffic.
        """
        requests = [traffic for traffic in self.traffic if traffic.shape == "request"]
        rates = {}
        for traffic in requests:
            service = self.service(traffic.service)
            service_share = sum(t.share for t in requests if t.service == traffic.service)
            capacity = service.servers * slots(service) / work_seconds
            rates[traffic] = load * capacity * traffic.share / service_share
        return rates


HERITAGE = Deployment(
    name="heritage",
    owner="Sahel Vapeur Billetterie",
    region="tn-nord",
    zones=("tunis-ville", "sousse-depot", "metlaoui-hall", "bizerte-annex"),
    entry_vms=8,
    zone_latency_seconds=0.0015,
    caller_latency_seconds=0.003,
    services=(
        ServiceShape(
            "booking",
            servers=7,
            slots=2,
            connections=2000,
            service_class="critical",
            kinds=(
                KindRules("seats", idempotent=True, priority=6),
                KindRules("hold", priority=4),
                KindRules("confirm", priority=2),
            ),
        ),
        ServiceShape(
            "manifest",
            servers=4,
            slots=2,
            connections=2000,
            service_class="bulk",
            kinds=(KindRules("register", priority=5),),
        ),
    ),
    traffic=(
        Traffic("booking", "seats", "request", 0.45, work_seconds=0.3, weight=1.0),
        Traffic("booking", "hold", "request", 0.3, work_seconds=0.3, weight=5.0),
        Traffic("booking", "confirm", "request", 0.1, work_seconds=0.3, weight=8.0),
        Traffic("manifest", "register", "request", 0.15, work_seconds=0.3, weight=4.0),
        Traffic("booking", "board", "board", 0.7, weight=1.0),
        Traffic("manifest", "upload", "upload", 0.3, weight=8.0),
    ),
)

GRIEVANCE = Deployment(
    name="grievance",
    owner="Schreibwerk Lechner GmbH",
    region="bayern",
    zones=("muc-a", "nue-b", "aug-c"),
    entry_vms=7,
    zone_latency_seconds=0.0015,
    caller_latency_seconds=0.001,
    services=(
        ServiceShape(
            "drafting",
            servers=7,
            slots=3,
            connections=2000,
            service_class="critical",
            kinds=(
                KindRules("clause", idempotent=True, priority=4),
                KindRules("submit", priority=2),
            ),
        ),
        ServiceShape(
            "evidence",
            servers=3,
            slots=3,
            connections=2000,
            service_class="standard",
            kinds=(KindRules("attach", priority=5),),
        ),
    ),
    traffic=(
        Traffic("drafting", "clause", "request", 0.65, work_seconds=0.3, weight=1.0),
        Traffic("drafting", "submit", "request", 0.15, work_seconds=0.3, weight=8.0),
        Traffic("evidence", "attach", "request", 0.2, work_seconds=0.3, weight=4.0),
        Traffic("drafting", "draft", "board", 0.75, weight=3.0),
        Traffic("evidence", "upload", "upload", 0.25, weight=6.0),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (HERITAGE, GRIEVANCE)}
