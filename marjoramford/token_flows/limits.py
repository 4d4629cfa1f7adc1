"""Local shares of the catalogue's limits, which enforce a limit on the fleet without shared state.

A limit is split evenly over availability zones, then over the entry VMs of a zone. Every entry VM
computes the same split from the same list of entry VMs. A share shrinks at once, but grows only
when every view in which it was smaller was superseded at least `hold_seconds` and the length of a
lease ago, or when a view that is settled (see `LimitShares.set_fleet`) replaces all earlier ones.
So the shares never add up to more than the limit, even while entry VMs have different views of the
fleet and while what was lent in an earlier view is still used.

Entry VMs lend unused parts of their shares to each other. The borrower stops admitting under a
lease before `expires_at`, and the lender counts it as lent until after `expires_at`, both by the
error bound of the clocks, so a lease never counts for both at once. What the borrower admitted
earlier may still run while the lender admits again, so use can exceed the limit for that time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from ..shared.entry_vms import rendezvous_order


class Resource(StrEnum):
    """What a limit applies to."""

    CONNECTIONS = "connections"
    LOAD = "load"


# Length of the leases of each resource, in seconds, where the settings name no other.
LEASE_SECONDS = {Resource.CONNECTIONS: 60.0, Resource.LOAD: 2.0}


class LimitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to other entry VMs to lend a part of a service's limit."""

    service: str
    resource: Resource
    amount: int


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """A part of a limit that is lent until `expires_at` (epoch seconds)."""

    service: str
    resource: Resource
    amount: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class FleetView:
    """The entry VMs that share the limits, by availability zone.

    Attributes:
        superseded_at: when a newer view replaced this one, in epoch seconds; infinity for the
            newest view.
    """

    zones: Mapping[str, tuple[str, ...]]
    superseded_at: float = float("inf")


@dataclass(slots=True)
class _Leases:
    lent: list[Lease] = field(default_factory=list)
    borrowed: list[Lease] = field(default_factory=list)


class LimitShares:
    """This entry VM's share of every limit.

    Args:
        hold_seconds: time within which all entry VMs know of a join.
        clock_error_seconds: upper bound of the difference between the clocks of two entry VMs.
        lease_seconds: length of the leases of each resource; a smaller share from a superseded view
            stays in force for this much longer than `hold_seconds`.
    """

    def __init__(
        self,
        own_name: str,
        zone: str,
        hold_seconds: float,
        clock_error_seconds: float,
        lease_seconds: Mapping[Resource, float] = LEASE_SECONDS,
    ):
        self._own_name = own_name
        self._zone = zone
        self._hold_seconds = {
            resource: hold_seconds + seconds for resource, seconds in lease_seconds.items()
        }
        self._clock_error_seconds = clock_error_seconds
        self._views: list[FleetView] = [FleetView({})]
        self._leases: dict[tuple[str, Resource], _Leases] = {}
        self._base_shares: dict[tuple[str, Resource, int], int] = {}
        self._next_hold_ends_at = float("inf")

    def set_fleet(self, zones: Mapping[str, Iterable[str]], settled: bool, now: float) -> None:
        """Applies a new view of the fleet.

        Args:
            zones: names of the entry VMs by availability zone.
            now: epoch seconds.
            settled: whether all entry VMs have had this view for long enough; it then replaces
                earlier views at once.
        """
        view = FleetView({zone: tuple(sorted(names)) for zone, names in sorted(zones.items())})
        if view.zones == self._views[-1].zones:
            return
        earlier = [] if settled else self._supersede_newest(now)
        self._views = [*earlier, view]
        self._refresh(now)

    def available(self, service: str, resource: Resource, limit: int, now: float) -> int:
        """Returns the part of a limit that this entry VM may use now.

        This is its share, minus what it has lent, plus what it has borrowed. It is negative while
        more is lent than the share and the borrowed parts add up to, because the share has shrunk
        since.
        """
        own = self._unlent_share(service, resource, limit, now)
        leases = self._leases.get((service, resource))
        if leases is None:
            return own
        grace = self._clock_error_seconds
        return own + sum(
            lease.amount for lease in leases.borrowed if lease.expires_at - grace > now
        )

    def lend(
        self, request: LimitRequest, limit: int, in_use: int, expires_at: float, now: float
    ) -> Lease:
        """Lends up to half of the own share that is neither lent nor in use.

        Borrowed parts are not lent on, since the new lease would outlast the one that they came
        with. The amount of the returned lease may be 0.
        """
        spare = self._unlent_share(request.service, request.resource, limit, now) - in_use
        amount = max(0, min(request.amount, spare // 2))
        lease = Lease(request.service, request.resource, amount, expires_at)
        if amount:
            self._leases.setdefault((request.service, request.resource), _Leases()).lent.append(
                lease
            )
        return lease

    def borrow(self, lease: Lease, now: float) -> None:
        """Adds a lease granted by another entry VM, unless it is empty or has expired."""
        if lease.amount > 0 and lease.expires_at > now:
            leases = self._leases.setdefault((lease.service, lease.resource), _Leases())
            leases.borrowed.append(lease)

    def expire(self, now: float) -> None:
        """Removes leases that can no longer count for the lender or the borrower."""
        grace = self._clock_error_seconds
        for key, leases in list(self._leases.items()):
            leases.lent = [lease for lease in leases.lent if lease.expires_at + grace > now]
            leases.borrowed = [lease for lease in leases.borrowed if lease.expires_at > now]
            if not leases.lent and not leases.borrowed:
                del self._leases[key]

    def _unlent_share(self, service: str, resource: Resource, limit: int, now: float) -> int:
        share = self._base_share(service, resource, limit, now)
        leases = self._leases.get((service, resource))
        if leases is None:
            return share
        grace = self._clock_error_seconds
        return share - sum(lease.amount for lease in leases.lent if lease.expires_at + grace > now)

    def _supersede_newest(self, now: float) -> list[FleetView]:
        *earlier, newest = self._views
        return [*earlier, FleetView(newest.zones, superseded_at=now)]

    def _refresh(self, now: float) -> None:
        hold_cutoff = now - max(self._hold_seconds.values())
        self._views = [view for view in self._views if view.superseded_at > hold_cutoff]
        hold_ends = (
            view.superseded_at + seconds
            for view in self._views
            for seconds in self._hold_seconds.values()
        )
        self._next_hold_ends_at = min((end for end in hold_ends if end > now), default=float("inf"))
        self._base_shares.clear()

    def _base_share(self, service: str, resource: Resource, limit: int, now: float) -> int:
        if now >= self._next_hold_ends_at:
            self._refresh(now)
        key = (service, resource, limit)
        share = self._base_shares.get(key)
        if share is None:
            hold_cutoff = now - self._hold_seconds[resource]
            views = [view for view in self._views if view.superseded_at > hold_cutoff]
            share = min(self._share_in(view, service, limit) for view in views)
            self._base_shares[key] = share
        return share

    def _share_in(self, view: FleetView, service: str, limit: int) -> int:
        names = view.zones.get(self._zone, ())
        if self._own_name not in names:
            return 0
        zone_share = member_share(limit, service, view.zones, self._zone)
        return member_share(zone_share, service, names, self._own_name)


def member_share(total: int, key: str, members: Iterable[str], member: str) -> int:
    """Returns one member's share of `total` as an integer; all shares add up to `total`.

    The remainder of the division goes to the first members in the rendezvous order of `key`.
    """
    order = rendezvous_order(key, members)
    base, remainder = divmod(total, len(order))
    return base + (order.index(member) < remainder)
