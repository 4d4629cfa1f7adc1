"""Chooses the entry VMs that read the platform and the peers that all others follow.

Load pattern: hundreds of entry VMs would each watch the platform, which limits the total rate of
calls from all entry VMs; and the platform may refuse some machines while it serves others. So a few
entry VMs of each availability zone read the platform, and the others get its state from them. All
members compute the same readers by rendezvous hashing; there is no vote. Entry VMs with wide links
come first: a table of thousands of routes fills a narrow link for seconds, and callers' packets are
delayed or lost there.

The last reader of a zone is its standby: it follows the others, and reads the platform only while
none of them can be followed. So a zone of some tens of entry VMs costs the calls of one reader, and
still has a reader that goes on at once.
"""

import logging
import math
from collections.abc import Sequence
from random import Random

import msgspec

from ..shared.addresses import Address
from ..shared.entry_vms import EntryVm, EntryVms, MemberUpdate, rendezvous_order
from .flow_settings import PeerSettings

logger = logging.getLogger(__name__)


class ReadPlatform(msgspec.Struct, frozen=True):
    """Read the platform, waiting up to `wait` seconds for a change."""

    wait: float


class FollowPeer(msgspec.Struct, frozen=True):
    """Get the state from another entry VM, waiting up to `wait` seconds for a change."""

    address: Address
    wait: float


class PauseReading(msgspec.Struct, frozen=True):
    """Read nothing before `until` (monotonic clock, in seconds), for lack of a usable source."""

    until: float


# A zone with more readers reports evidence only to the reader that is followed.
MAX_REPORT_TARGETS = 4

Source = ReadPlatform | FollowPeer | PauseReading


def count_readers(members: int, settings: PeerSettings) -> int:
    """Returns how many entry VMs of a large zone read the platform.

    Args:
        members: entry VMs in the zone.
        settings: holds the minimum; above it, half the square root of `members` is used.
    """
    return max(settings.min_readers, math.isqrt(members) // 2)


class ZoneMembers(msgspec.Struct, frozen=True):
    """The entry VMs of this zone, by name.

    Attributes:
        present: those that are reachable or suspect, with this one.
        lost: those that are lost and had not announced that they leave.
    """

    present: list[str]
    lost: list[str]


class PeerGroup:
    """The known entry VMs and the choice of the source to read the state from.

    Args:
        own: this entry VM.
        seeds: control addresses to contact while no other entry VM is known; also drawn for part
            of the gossip exchanges across zones, and followed as a fallback if no other entry VM
            is reachable.
        settings: limits and times.
        random: draws gossip partners and jitter.
    """

    def __init__(
        self, own: EntryVm, seeds: Sequence[Address], settings: PeerSettings, random: Random
    ):
        self._settings = settings
        self._random = random
        self._avoided_until: dict[Address, float] = {}
        self._fallback_peer: Address | None = None
        self._platform_failures = 0
        self._platform_retry_at = float("-inf")
        self.entry_vms = EntryVms(own, settings.suspicion_seconds)
        self.replace_seeds(seeds)

    @property
    def platform_failures(self) -> int:
        """Number of consecutive failed reads of the platform."""
        return self._platform_failures

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds; this entry VM's own address is left out."""
        own = self.entry_vms.own.control_address
        self._seeds = [seed for seed in seeds if seed != own]

    def select_updates(self) -> tuple[MemberUpdate, ...]:
        """Returns the updates for one gossip exchange: this entry VM and a random sample of others.

        A share of the sample is reserved for other zones.
        """
        own = self.entry_vms.own
        limit = self._settings.max_news - 1
        same_zone = [vm for vm in self.entry_vms.others() if vm.zone == own.zone]
        other_zones = [vm for vm in self.entry_vms.others() if vm.zone != own.zone]
        reserved = min(len(other_zones), int(limit * self._settings.far_share))
        chosen = self._sample(same_zone, limit - reserved)
        chosen += self._sample(other_zones, limit - len(chosen))
        return tuple(vm.to_update() for vm in [own, *chosen])

    def _sample(self, vms: list[EntryVm], limit: int) -> list[EntryVm]:
        return vms if len(vms) <= limit else self._random.sample(vms, limit)

    def merge_updates(self, updates: Sequence[MemberUpdate]) -> None:
        """Merges the updates that another entry VM sent."""
        own = self.entry_vms.own
        for update in updates:
            if update.name == own.name and update.incarnation > own.incarnation:
                # The clock was set back between two starts of this entry VM, so peers hold a higher
                # incarnation and would ignore this one.
                own.incarnation = update.incarnation + 1
            self.entry_vms.merge_update(update)

    def choose_exchange_partner(self) -> tuple[Address, EntryVm | None] | None:
        """Draws an address for the next gossip exchange, with the entry VM if it is known.

        Mostly an entry VM of the same zone, sometimes one of any zone or a seed. None if no other
        entry VM and no seed is known.
        """
        reachable = self.entry_vms.reachable()
        same_zone = [vm for vm in reachable if vm.zone == self.entry_vms.own.zone]
        cross_zone = self._random.random() < self._settings.far_share
        candidates = same_zone if same_zone and not cross_zone else reachable
        if candidates and not (cross_zone and self._seeds and self._random.random() < 0.5):
            partner = self._random.choice(candidates)
            return partner.control_address, partner
        if self._seeds:
            return self._random.choice(self._seeds), None
        return None

    def zone_members(self) -> ZoneMembers | None:
        """Returns the members of this zone.

        None while no other entry VM is known although there are seeds: this entry VM has just
        started, and may be cut off.
        """
        if self._seeds and not len(self.entry_vms):
            return None
        own = self.entry_vms.own
        others = [vm for vm in self.entry_vms.others() if vm.zone == own.zone]
        present = [vm.name for vm in others if vm.is_reachable]
        lost = [
            vm.name
            for vm in others
            if vm.state == "lost" and not self.entry_vms.has_announced_leave(vm)
        ]
        return ZoneMembers([own.name, *present], lost)

    def record_exchange(self, partner: EntryVm | None, answered: bool, now: float) -> None:
        """Confirms a gossip partner as alive, or suspects it if it did not answer."""
        if partner is None:
            return
        if answered:
            self.entry_vms.confirm_alive(partner.name, partner.incarnation)
        else:
            self.entry_vms.suspect(partner.name, partner.incarnation, now)

    def choose_source(self, now: float) -> Source:
        """Returns the source of the next read.

        During the backoff after a failed read of the platform: a fallback peer, or a pause if there
        is none. In a small zone, or if this entry VM is an active reader: the platform. Otherwise:
        the first reader that is not being avoided, or the platform if all are.
        """
        if self._platform_failures and now < self._platform_retry_at:
            fallback_peer = self._choose_fallback_peer(now)
            if fallback_peer is not None:
                return FollowPeer(fallback_peer, 0.0)
            return PauseReading(self._platform_retry_at)
        readers = self._elect_readers()
        if readers is None:
            return ReadPlatform(self._settings.all_read_wait)
        address = None
        if self.entry_vms.own.name not in _active(readers):
            address = self._choose_reader(readers, now)
        if address is not None:
            return FollowPeer(address, self._settings.follower_wait)
        return ReadPlatform(self._settings.reader_wait)

    def find_report_targets(self, now: float) -> tuple[bool, list[Address]]:
        """Returns whether this entry VM reads for its zone, and the readers to report to.

        There are none in a small zone. In a zone of many readers only the one that is followed gets
        reports, and each reader decides alone. A standby decides while it follows no other reader.
        """
        readers = self._elect_readers()
        if readers is None:
            return False, []
        own = self.entry_vms.own.name
        others = [self.entry_vms.get(name).control_address for name in readers if name != own]
        followed = None if own in _active(readers) else self._choose_reader(readers, now)
        if len(readers) > MAX_REPORT_TARGETS:
            others = [] if followed is None else [followed]
        return own in readers and followed is None, others

    def is_zone_reader(self, address: Address) -> bool:
        """Whether this is the control address of another entry VM that is a reader of this zone."""
        own = self.entry_vms.own.name
        others = [name for name in self._elect_readers() or () if name != own]
        return any(self.entry_vms.get(name).control_address == address for name in others)

    def list_members(self) -> list[str]:
        """Returns the names of the entry VMs in this zone that accept flows, with this one."""
        own = self.entry_vms.own
        return [own.name, *(vm.name for vm in self.entry_vms.active() if vm.zone == own.zone)]

    def is_member(self, name: str, incarnation: int) -> bool:
        """Whether this incarnation of another entry VM of this zone is known."""
        vm = self.entry_vms.get(name)
        if vm is None or vm.zone != self.entry_vms.own.zone:
            return False
        return vm.incarnation == incarnation

    def record_platform_read(self, answered: bool, now: float) -> None:
        """Records the result of a read of the platform.

        After a failure the next attempt is delayed by an exponential backoff with jitter.
        """
        if answered:
            self._platform_failures = 0
            return
        self._platform_failures += 1
        settings = self._settings
        backoff_seconds = settings.retry_seconds * 2 ** min(self._platform_failures - 1, 16)
        pause_seconds = min(settings.max_retry_seconds, backoff_seconds)
        self._platform_retry_at = now + pause_seconds * self._random.uniform(0.5, 1.0)

    def record_peer_read(self, address: Address, state_age: float | None, now: float) -> None:
        """Records the result of a read from a peer; avoids the peer if it failed or is stale.

        Args:
            address: control address of the peer.
            state_age: age of its state in seconds; None if it sent no valid answer or has read no
                list yet.
            now: time on the monotonic clock, in seconds.
        """
        if state_age is None or state_age > self._settings.max_state_age:
            self._avoided_until[address] = now + self._settings.avoid_seconds

    def _elect_readers(self) -> list[str] | None:
        """Returns the names of the zone's readers; None if every entry VM reads the platform.

        All members compute the same readers without coordination, by rendezvous hashing among those
        with the widest links.
        """
        own = self.entry_vms.own
        members = {vm.name: vm for vm in self.entry_vms.active() if vm.zone == own.zone}
        if own.state == "alive":
            members[own.name] = own
        if len(members) <= self._settings.all_read_up_to:
            return None
        candidates = rendezvous_order("reader", members)
        candidates.sort(key=lambda name: _link_class(members[name]), reverse=True)
        return candidates[: count_readers(len(members), self._settings)]

    def _choose_reader(self, readers: Sequence[str], now: float) -> Address | None:
        """Returns the first other reader that is not being avoided, the standby last, or None."""
        own = self.entry_vms.own.name
        active = _active(readers)
        for name in [*rendezvous_order(own, active), *readers[len(active) :]]:
            if name == own:
                continue
            address = self.entry_vms.get(name).control_address
            if self._avoided_until.get(address, 0.0) <= now:
                return address
        return None

    def _choose_fallback_peer(self, now: float) -> Address | None:
        """Returns an entry VM to follow while the platform does not answer here, or None.

        The choice is kept as long as that entry VM answers with fresh state.
        """
        reachable = [vm.control_address for vm in self.entry_vms.reachable()]
        addresses = reachable or self._seeds
        usable = [a for a in addresses if self._avoided_until.get(a, 0.0) <= now]
        if self._fallback_peer not in usable:
            self._fallback_peer = self._random.choice(usable) if usable else None
        return self._fallback_peer


def _active(readers: Sequence[str]) -> Sequence[str]:
    """Returns the readers of a zone that read the platform all the time: all but the last."""
    return readers[: max(1, len(readers) - 1)]


def _link_class(vm: EntryVm) -> int:
    """Returns the class of an entry VM's link; each class is twice as wide as the one below."""
    return int(vm.link_mbps).bit_length()
