"""Which availability zones are drained, so that no new flow opens at their servers.

Load pattern: the operator drains a zone and returns it to service later, while entry VMs learn of
both from several sources, in part late: readers of the platform that are killed, followers of a
reader that is behind, VMs that resume with old state, and a store that is restored from a copy. A
late start of a drain that has ended would keep flows from a zone for good, and a late end would
open flows at servers that are about to stop.

The revision of the last change of each zone decides which change is newer, within one era. The
first snapshot of a newer era replaces the state, but a zone that was drained and that the copy
lacks stays drained until its absence is confirmed: the operator writes again what the copy lost.
"""

import logging
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from ..shared.logs import LogEvent, log_event
from .state_versions import NOTHING_READ, StateVersion

logger = logging.getLogger(__name__)

MAX_ZONE_NAME = 64
# Far above the zones of any deployment. Keys may name zones that do not exist, and must not take
# unbounded memory.
MAX_ZONES = 256


class ZoneDrain(msgspec.Struct, frozen=True):
    """A change of one zone: the start or the end of its drain.

    Attributes:
        zone: name of the zone, which may have no servers.
        revision: revision of the change, in the era of the state that holds it.
        drained: whether the drain starts, or ends.
    """

    zone: Annotated[str, Meta(min_length=1, max_length=MAX_ZONE_NAME)]
    revision: Annotated[int, Meta(ge=0)]
    drained: bool


class ZoneState(msgspec.Struct, frozen=True):
    """What is known of one zone.

    Attributes:
        drained: whether new flows are kept from its servers.
        version: version of the last change.
        since: when `drained` last changed here, in seconds on the monotonic clock.
        missing_since: when a restored copy was read that lacks the drain; None if none lacks it.
    """

    drained: bool
    version: StateVersion
    since: float
    missing_since: float | None = None


class ZoneDrains:
    """The drains of all zones, with the version of the last change of each.

    The ends of drains are remembered as well, so that an older start does not come back. Beyond
    `MAX_ZONES` zones the oldest ends are forgotten; if all are drained, further ones are refused.
    """

    def __init__(self) -> None:
        self._zones: dict[str, ZoneState] = {}
        self._version = NOTHING_READ
        self._known_since = 0

    @property
    def version(self) -> StateVersion:
        """The version up to which all drains are known."""
        return self._version

    @property
    def known(self) -> bool:
        """Whether the drains were known completely at least once."""
        return self._version > NOTHING_READ

    @property
    def known_since(self) -> int:
        """The revision since which all changes are remembered."""
        return self._known_since

    def is_drained(self, zone: str) -> bool:
        """Returns whether new flows are kept from the zone's servers."""
        state = self._zones.get(zone)
        return state is not None and state.drained

    def find(self, zone: str) -> ZoneState | None:
        """Returns what is known of a zone, or None."""
        return self._zones.get(zone)

    def drained_zones(self) -> dict[str, ZoneState]:
        """Returns the states of the zones that are drained, by name."""
        return {zone: state for zone, state in self._zones.items() if state.drained}

    def snapshot(self) -> tuple[ZoneDrain, ...]:
        """Returns the drains in force, without those that a restored copy lacks."""
        return tuple(drain for drain in self._changes() if drain.drained)

    def changes_since(self, revision: int) -> tuple[ZoneDrain, ...]:
        """Returns the changes after a revision of the current era, not before `known_since`."""
        return tuple(drain for drain in self._changes() if drain.revision > revision)

    def apply(
        self, drains: Sequence[ZoneDrain], whole: bool, version: StateVersion, now: float
    ) -> list[str]:
        """Applies a delta or a snapshot of all drains.

        A delta of another era has no base here and is ignored.

        Args:
            drains: the changes.
            whole: whether zones that are not named are not drained.
            version: version of the state that they lead to.
            now: time on the monotonic clock, in seconds.

        Returns:
            The zones whose drain began or ended.
        """
        is_new_era = version.era > self._version.era
        if version < self._version or (is_new_era and not whole):
            return []
        before = self.drained_zones()
        if is_new_era:
            self._zones = {
                zone: msgspec.structs.replace(state, missing_since=now)
                for zone, state in before.items()
            }
        if whole and version > self._version:
            # Changes between the two snapshots are not known here, but perhaps to followers.
            self._known_since = version.revision
        self._version = version
        latest = {drain.zone: drain for drain in sorted(drains, key=lambda drain: drain.revision)}
        if whole:
            self._end_unnamed(latest.keys(), now)
        # Ends come first, so that they make room for the starts.
        for drain in sorted(latest.values(), key=lambda drain: (drain.drained, drain.revision)):
            self._put(drain, now)
        return sorted(before.keys() ^ self.drained_zones().keys())

    def expire(self, absence_confirmed: Callable[[float], bool], now: float) -> list[str]:
        """Ends the drains that a restored copy lacks once their absence is confirmed.

        Args:
            absence_confirmed: whether what was missing at a time is known to stay missing.
            now: time on the monotonic clock, in seconds.

        Returns:
            The zones whose drain ended.
        """
        ended = [
            zone
            for zone, state in self._zones.items()
            if state.missing_since is not None and absence_confirmed(state.missing_since)
        ]
        for zone in ended:
            self._zones[zone] = ZoneState(False, self._version, now)
        return ended

    def _changes(self) -> Iterator[ZoneDrain]:
        """Yields the last change of each zone in the current era."""
        for zone, state in self._zones.items():
            if state.missing_since is None:
                yield ZoneDrain(zone, state.version.revision, state.drained)

    def _put(self, drain: ZoneDrain, now: float) -> None:
        known = self._zones.get(drain.zone)
        version = StateVersion(self._version.era, drain.revision)
        if known is None and not self._make_room(drain):
            return
        if known is None or version > known.version:
            is_same = known is not None and known.drained == drain.drained
            since = known.since if is_same else now
            self._zones[drain.zone] = ZoneState(drain.drained, version, since)

    def _make_room(self, drain: ZoneDrain) -> bool:
        """Returns whether another zone can be remembered, and forgets the oldest end for it."""
        if len(self._zones) < MAX_ZONES:
            return True
        ended = [zone for zone, state in self._zones.items() if not state.drained]
        if ended:
            oldest = min(ended, key=lambda zone: self._zones[zone].version)
            revision = self._zones.pop(oldest).version.revision
            self._known_since = max(self._known_since, revision)
            return True
        if drain.drained:
            log_event(
                logger,
                LogEvent.CATALOGUE_ENTRY_REJECTED,
                zone=drain.zone,
                revision=drain.revision,
                reason=f"more than {MAX_ZONES} zones are drained",
            )
        self._known_since = max(self._known_since, drain.revision)
        return False

    def _end_unnamed(self, named: Collection[str], now: float) -> None:
        for zone, state in self._zones.items():
            is_current = state.drained and state.missing_since is None
            if is_current and zone not in named and state.version <= self._version:
                self._zones[zone] = ZoneState(False, self._version, now)
