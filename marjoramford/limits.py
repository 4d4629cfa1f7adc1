"""Shares of the catalogue's limits, which hold over the fleet without shared state.

A limit is split evenly over availability zones, then over the zone's entry VMs. Each entry VM
computes the same split from the same list. A share grows only after every view in which it was
smaller is older than `hold_seconds`, and shrinks at once, so differing views do not add up to
more than the limit. Entry VMs lend spare parts to each other; the lender counts a lent part as
gone for longer than the borrower may use it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from .entry_vms import rendezvous_order


class Resource(StrEnum):
    """What a limit bounds."""

    CONNECTIONS = "connections"
    LOAD = "load"


class LimitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A wish for a larger share of a service's limit."""

    service: str
    resource: Resource
    amount: int


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """A part of a limit lent until `expires_at` (epoch seconds)."""

    service: str
    resource: Resource
    amount: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class FleetView:
    """The entry VMs that share limits, by availability zone, until `superseded_at`."""

    zones: Mapping[str, tuple[str, ...]]
    superseded_at: float = float("inf")


@dataclass(slots=True)
class _Loans:
    lent: list[Lease] = field(default_factory=list)
    borrowed: list[Lease] = field(default_factory=list)


class LimitShares:
    """This entry VM's share of every limit.

    Args:
        hold_seconds: how long an earlier, smaller share stays in force.
        clock_error_seconds: how far the clocks of two entry VMs may differ.
    """

    def __init__(self, own_name: str, zone: str, hold_seconds: float, clock_error_seconds: float):
        self._own_name = own_name
        self._zone = zone
        self._hold_seconds = hold_seconds
        self._clock_error_seconds = clock_error_seconds
        self._views: list[FleetView] = [FleetView({})]
        self._loans: dict[tuple[str, Resource], _Loans] = {}
        self._base_shares: dict[tuple[str, int], int] = {}
        self._next_view_end_at = float("inf")

    def set_fleet(self, zones: Mapping[str, Iterable[str]], settled: bool, now: float) -> None:
        """Takes a new view of the fleet.

        Args:
            zones: names of the entry VMs by availability zone.
            now: epoch seconds.
            settled: whether the view has been in force everywhere for long; it then replaces
                earlier views at once.
        """
        view = FleetView({zone: tuple(sorted(names)) for zone, names in sorted(zones.items())})
        if view.zones == self._views[-1].zones:
            return
        earlier = [] if settled else self._supersede_newest(now)
        self._views = [*earlier, view]
        self._refresh(now)

    def available(self, service: str, resource: Resource, limit: int, now: float) -> int:
        """Returns how much of a limit this entry VM may use now."""
        base = self._base_share(service, limit, now)
        loans = self._loans.get((service, resource))
        if loans is None:
            return base
        grace = self._clock_error_seconds
        lent = sum(lease.amount for lease in loans.lent if lease.expires_at + grace > now)
        borrowed = sum(lease.amount for lease in loans.borrowed if lease.expires_at - grace > now)
        return base - lent + borrowed

    def lend(
        self, request: LimitRequest, limit: int, in_use: int, expires_at: float, now: float
    ) -> Lease:
        """Lends up to half of what is spare; the lease's amount may be 0."""
        spare = self.available(request.service, request.resource, limit, now) - in_use
        amount = max(0, min(request.amount, spare // 2))
        lease = Lease(request.service, request.resource, amount, expires_at)
        if amount:
            self._loans.setdefault((request.service, request.resource), _Loans()).lent.append(lease)
        return lease

    def borrow(self, lease: Lease, now: float) -> None:
        """Takes a lease that another entry VM granted."""
        if lease.amount > 0 and lease.expires_at > now:
            loans = self._loans.setdefault((lease.service, lease.resource), _Loans())
            loans.borrowed.append(lease)

    def expire(self, now: float) -> None:
        """Drops leases that are over for both sides."""
        grace = self._clock_error_seconds
        for key, loans in list(self._loans.items()):
            loans.lent = [lease for lease in loans.lent if lease.expires_at + grace > now]
            loans.borrowed = [lease for lease in loans.borrowed if lease.expires_at > now]
            if not loans.lent and not loans.borrowed:
                del self._loans[key]

    def _supersede_newest(self, now: float) -> list[FleetView]:
        *earlier, newest = self._views
        return [*earlier, FleetView(newest.zones, superseded_at=now)]

    def _refresh(self, now: float) -> None:
        held_since = now - self._hold_seconds
        self._views = [view for view in self._views if view.superseded_at > held_since]
        ends = [view.superseded_at + self._hold_seconds for view in self._views]
        self._next_view_end_at = min(ends)
        self._base_shares.clear()

    def _base_share(self, service: str, limit: int, now: float) -> int:
        if now >= self._next_view_end_at:
            self._refresh(now)
        key = (service, limit)
        share = self._base_shares.get(key)
        if share is None:
            share = min(self._share_in(view, service, limit) for view in self._views)
            self._base_shares[key] = share
        return share

    def _share_in(self, view: FleetView, service: str, limit: int) -> int:
        names = view.zones.get(self._zone, ())
        if self._own_name not in names:
            return 0
        zone_share = member_share(limit, service, view.zones, self._zone)
        return member_share(zone_share, service, names, self._own_name)


def member_share(total: int, key: str, members: Iterable[str], member: str) -> int:
    """Returns a member's whole-numbered part of a total; the parts add up to the total."""
    order = rendezvous_order(key, members)
    base, remainder = divmod(total, len(order))
    return base + (order.index(member) < remainder)
