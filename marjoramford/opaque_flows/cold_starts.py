"""Limits the flows that open at cold backend servers, over all entry VMs and without messages.

Load pattern: the servers of a zone come back together. Every entry VM sees them as idle and would
open flows there at once, many times what a server can handle while it is cold.

The operator's limit of a service (openings per second for each cold server) is split equally among
a few entry VMs of the server's zone, its holders. All members of the zone compute the same holders
by rendezvous hash. Each holder has a token bucket; for every other entry VM the server is unusable.

Entry VMs may know different members. A holder is among the first `holders` of the members that are
present or lost for less than `FORGET_SECONDS`, and among the first `holders + takeovers` of the
members known within `REMEMBER_SECONDS`. So if each holder's view lacks at most `unknown` of the
other acting holders, at most `holders + takeovers + unknown` entry VMs open flows at a server, and
`split_limit` chooses these numbers so that the bound holds for as many. Shares are computed from
the remembered members, so that both sides of a split zone keep their shares and take no more.
"""

import logging
import math
from collections.abc import Iterable

import msgspec

from ..shared.backend_servers import BackendServer
from ..shared.entry_vms import rendezvous_order
from ..shared.logs import LogEvent, log_event
from .flow_settings import ColdStartSettings

logger = logging.getLogger(__name__)

# Share of the limit that the holders use together. Openings that are spaced for the whole limit
# would come closer together at the server than `WINDOW_SECONDS` allows for.
USED_SHARE = 0.95
# The bound holds for a second at the server; packets may be 50 ms closer together there than here.
WINDOW_SECONDS = 1.05
# Additional holders that must fit the bound, as a share of the holders, for differing views.
SPARE_SHARE = 0.5
# Bucket size: what accrues while no flow arrives at a holder, so that the share is still used.
BURST_SECONDS = 0.25
MIN_CAPACITY = 1.5
# A lost member counts as a holder for so long, so that it is back before others take its share.
FORGET_SECONDS = 5.0
# Shares are computed with members that were lost within this time; longer than a cut of a zone that
# both sides survive, and short enough to recover the shares of entry VMs that do not come back.
REMEMBER_SECONDS = 300.0
# Longest wait of a starting entry VM for a stable view of its zone.
MAX_SETTLE_SECONDS = 15.0
# For so long after its start an entry VM that knows fewer members than this takes the share of a
# zone with as many. In a zone that started together, several may know none of the others at first,
# and each would use the whole limit.
LEARNING_SECONDS = 15.0
LEARNING_MEMBERS = 5
# A member view that was not updated for so long is not used: this process was suspended.
MAX_TICK_GAP_SECONDS = 1.0
# Keeps `floor` of a sum of floats below the next whole number.
_EPSILON = 1e-6


class LimitSplit(msgspec.Struct, frozen=True):
    """How the limit of one cold server is split.

    Attributes:
        holders: entry VMs that have a share.
        takeovers: further entry VMs that may take the shares of forgotten holders.
        unknown: acting holders that a holder's view may lack without breaking the bound.
        rate: share of a holder, in openings per second.
        capacity: bucket size of a holder, in openings; at least 1.
    """

    holders: int
    takeovers: int
    unknown: int
    rate: float
    capacity: float

    @property
    def max_openings(self) -> int:
        """The most openings of one holder that reach the server within a second."""
        return math.floor(self.capacity + self.rate * WINDOW_SECONDS)


NO_HOLDERS = LimitSplit(0, 0, 0, 0.0, 1.0)


def split_limit(limit: float, members: int, settings: ColdStartSettings) -> LimitSplit:
    """Returns the split of a server's limit in a zone.

    The most holders are chosen for which half as many more still fit the bound; in zones too small
    for that, the number with the most room.

    Args:
        limit: openings per second that the operator allows at the server.
        members: entry VMs in the zone.
        settings: the bound.

    Returns:
        The split; `NO_HOLDERS` if the bound lets not even one holder open a flow.
    """
    bound = limit * settings.overage + settings.slack
    total_rate = min(limit, bound) * USED_SHARE
    best, best_room = 0, 0.0
    for holders in range(members, 0, -1):
        openings = math.floor(1 + total_rate / holders * WINDOW_SECONDS)
        room = math.floor(bound / openings) / holders
        if room >= 1 + SPARE_SHARE:
            best = holders
            break
        if room >= 1 and room > best_room:
            best, best_room = holders, room
    if not best:
        return NO_HOLDERS
    rate = total_rate / best
    fitting = math.floor(bound / math.floor(1 + rate * WINDOW_SECONDS))
    spare = fitting - best
    max_capacity = math.floor(bound / fitting) + 1 - rate * WINDOW_SECONDS - _EPSILON
    capacity = min(max(MIN_CAPACITY, rate * BURST_SECONDS), max_capacity)
    return LimitSplit(best, spare // 2, spare - spare // 2, rate, max(1.0, capacity))


class _Share(msgspec.Struct):
    """This entry VM's share of the limit of one cold server."""

    server: BackendServer
    limit: float = 0.0
    members_version: int = -1
    split: LimitSplit = NO_HOLDERS
    holds: bool = False
    tokens: float = 0.0
    updated_at: float = 0.0
    refused: bool = False


class ColdStartControl:
    """Decides whether this entry VM may open a flow at a cold server.

    Times are on the monotonic clock, in seconds.

    Args:
        own_name: name of this entry VM.
        own_zone: its availability zone.
        settings: the bound and the wait after a start.
        now: the current time.
    """

    def __init__(self, own_name: str, own_zone: str, settings: ColdStartSettings, now: float):
        self._own_name = own_name
        self._own_zone = own_zone
        self._settings = settings
        self._present_at: dict[str, float] = {}
        self._counted: frozenset[str] = frozenset()
        self._remembered: frozenset[str] = frozenset()
        self._members_version = 0
        self._updated_at = float("-inf")
        self._settle_from = now
        self._grew_at = now
        self._settled = False
        self._learning = True
        self._shares: dict[tuple[str, int], _Share] = {}

    @property
    def members(self) -> int:
        """Entry VMs of the zone, with those lost lately."""
        return len(self._remembered)

    def update_members(self, present: Iterable[str], lost: Iterable[str], now: float) -> None:
        """Updates the members of the zone; must be called several times a second.

        Must not be called before another entry VM has been heard of, unless there is none.

        Args:
            present: members that are not known to be lost.
            lost: members that are lost and did not announce that they leave.
            now: the current time.
        """
        if now - self._updated_at > FORGET_SECONDS:
            # Just started, or suspended for so long that the zone may be another one now.
            self._settled = False
            self._settle_from = self._grew_at = now
        self._updated_at = now
        known = self._present_at
        size = len(known)
        for name in present:
            known[name] = now
        known[self._own_name] = now
        for name in lost:
            known.setdefault(name, now - FORGET_SECONDS)
        if len(known) > size:
            self._grew_at = now
        self._count_members({*present, *lost}, now)
        if not self._settled:
            stable = now - self._grew_at >= self._settings.settle_seconds
            self._settled = stable or now - self._settle_from >= MAX_SETTLE_SECONDS
        if self._learning != (now - self._settle_from < LEARNING_SECONDS):
            self._learning = not self._learning
            self._members_version += 1
        self._forget_warm_servers(now)

    def _count_members(self, listed: set[str], now: float) -> None:
        known = self._present_at
        for name, at in list(known.items()):
            if name not in listed and now - at >= FORGET_SECONDS:
                del known[name]
        counted = frozenset(name for name, at in known.items() if now - at < FORGET_SECONDS)
        remembered = frozenset(name for name, at in known.items() if now - at < REMEMBER_SECONDS)
        if (counted, remembered) != (self._counted, self._remembered):
            self._counted, self._remembered = counted, remembered
            self._members_version += 1

    def _forget_warm_servers(self, now: float) -> None:
        for key, share in list(self._shares.items()):
            if share.server.gone or not _may_be_cold(share.server, now):
                del self._shares[key]

    def may_open(self, server: BackendServer, limit: float, now: float) -> bool:
        """Returns whether a flow may open at a server; always true at a warm one.

        Args:
            server: the server.
            limit: flows per second that may open there while it is cold; 0 if there is no limit.
            now: the current time.
        """
        if not is_limited(server, limit, now):
            return True
        share = self._find_share(server, limit, now)
        if share.holds and share.tokens >= 1 and self.is_settled(now):
            return True
        if not share.refused:
            share.refused = True
            log_event(
                logger,
                LogEvent.COLD_START_LIMITED,
                server=server.name,
                limit=limit,
                holders=share.split.holders,
                members=self.members,
                holder=share.holds,
                settled=self.is_settled(now),
            )
        return False

    def record_opening(self, server: BackendServer, limit: float, now: float) -> bool:
        """Takes a token for an opening packet; returns whether the server's limit applies."""
        if not is_limited(server, limit, now):
            return False
        self._find_share(server, limit, now).tokens -= 1
        return True

    def describe(self, server: BackendServer, limit: float, now: float) -> dict[str, object]:
        """Returns this entry VM's share of a server's limit, for the state dump."""
        if not is_limited(server, limit, now):
            return {"holder": None, "tokens": None}
        share = self._find_share(server, limit, now)
        return {"holder": share.holds, "tokens": round(share.tokens, 2)}

    def is_settled(self, now: float) -> bool:
        """Returns whether the members of the zone have been known for long enough."""
        return self._settled and now - self._updated_at <= MAX_TICK_GAP_SECONDS

    def _find_share(self, server: BackendServer, limit: float, now: float) -> _Share:
        key = (server.name, server.incarnation)
        share = self._shares.get(key)
        if share is None:
            # Without other members `update_members` is not called.
            self._forget_warm_servers(now)
            share = self._shares[key] = _Share(server, updated_at=now)
        if share.members_version != self._members_version or share.limit != limit:
            self._update_share(share, limit)
        if self.is_settled(now):
            accrued = share.tokens + (now - share.updated_at) * share.split.rate
            share.tokens = min(share.split.capacity, accrued)
        share.updated_at = now
        return share

    def _update_share(self, share: _Share, limit: float) -> None:
        held, is_new = share.holds, share.members_version < 0
        share.limit, share.members_version = limit, self._members_version
        members = max(self.members, LEARNING_MEMBERS) if self._learning else self.members
        share.split = split = split_limit(limit, members, self._settings)
        share.holds = False
        rank = self._rank(share.server, self._remembered)
        if rank is not None and rank < split.holders + split.takeovers:
            share.holds = self._rank(share.server, self._counted) < split.holders
        if share.holds and not held:
            # Never a whole token: a takeover begins empty, and the first holders at different
            # levels, so that they do not open their first flows together.
            share.tokens = rank / (split.holders + split.takeovers) if is_new else 0.0

    def _rank(self, server: BackendServer, names: frozenset[str]) -> int | None:
        if server.zone != self._own_zone or self._own_name not in names:
            return None
        key = f"{server.name}/{server.incarnation}"
        return rendezvous_order(key, names).index(self._own_name)


def is_limited(server: BackendServer, limit: float, now: float) -> bool:
    """Returns whether a server may be cold and the flows that open there are limited."""
    return limit > 0 and _may_be_cold(server, now)


def _may_be_cold(server: BackendServer, now: float) -> bool:
    return server.warm_at > now or server.may_have_restarted
