"""Followers learn of outages of the platform from the reader's published state.

Guards against a fault in which a follower took an absence as confirmed at the reader's first
confirmation after an outage, and reset idle flows of servers that were about to be listed again.
"""

import asyncio
from itertools import pairwise
from types import SimpleNamespace

import msgspec
import pytest

from marjoramford.opaque_flows import state_publishers
from marjoramford.opaque_flows.flow_settings import ListSettings
from marjoramford.opaque_flows.packets import Forward
from marjoramford.opaque_flows.published_states import apply_state, decode_state
from marjoramford.opaque_flows.state_publishers import StatePublisher

from .flow_worlds import SETTINGS, START, FlowWorld, record, removal, upsert

RELIST_SECONDS = ListSettings().relist_seconds
OUTAGE_SECONDS = 3.0


class Zone:
    """Entry VMs with clocks of their own, of which the first reads the platform."""

    def __init__(self, monkeypatch, size):
        self.vms = [
            FlowWorld(record("s-1"), record("s-2", 2), start=START * (number + 1))
            for number in range(size)
        ]
        self.reader = self.vms[0]
        self._monkeypatch = monkeypatch

    def publish(self, source, revision=100):
        """Returns the encoded state of an entry VM for a follower that has a revision."""
        clock = SimpleNamespace(monotonic=lambda: source.now)
        self._monkeypatch.setattr(state_publishers, "time", clock)
        publisher = StatePublisher(source.balancer)
        return asyncio.run(publisher.answer(revision, 1, 0.0, era=0, routes_era=0))

    def follow(self, follower, source):
        """Brings a follower up to date from another entry VM; returns the body."""
        body = self.publish(source, follower.balancer.server_list.version.revision)
        take(follower, body)
        return body

    def advance(self, seconds):
        """Advances all clocks; returns the resets of each entry VM."""
        return [vm.advance(seconds) for vm in self.vms]

    def lose(self):
        self.reader.balancer.server_list.mark_unreachable(self.reader.now)

    def spread(self):
        """Lets each entry VM follow the one before it."""
        for source, follower in pairwise(self.vms):
            self.follow(follower, source)

    def run_outage(self):
        """Lets the entry of s-1 lapse just before an outage, which the reader alone notices."""
        self.reader.apply(removal("s-1", 101))
        self.spread()
        self.advance(0.1)
        self.lose()
        self.advance(OUTAGE_SECONDS)
        self.reader.confirm()

    def confirm_for(self, seconds):
        """Confirms and spreads the list every 0.1 s; returns the number of resets."""
        resets = 0
        for _ in range(round(seconds * 10)):
            self.reader.confirm()
            self.spread()
            resets += sum(map(len, self.advance(0.1)))
        return resets


def take(follower, body):
    assert apply_state(decode_state(body).unwrap(), follower.balancer, follower.now)


def establish(world, name):
    """Opens flows until one is at a server; returns its caller, which then stays idle."""
    for _ in range(50):
        caller = world.caller()
        if caller.establish().name == name:
            return caller
    raise AssertionError(f"no flow was placed at {name}")


@pytest.mark.parametrize("size", [2, 3])
def test_followers_wait_for_entries_to_be_written_again_after_an_outage(monkeypatch, size):
    zone = Zone(monkeypatch, size)
    callers = [establish(vm, "s-1") for vm in zone.vms]
    zone.advance(1.0)
    zone.run_outage()
    assert zone.confirm_for(RELIST_SECONDS - 0.3) == 0
    actions = [caller.request() for caller in callers]
    assert [type(action) for action in actions] == [Forward] * size
    assert not any(vm.server("s-1").gone for vm in zone.vms)
    zone.reader.apply(upsert(record("s-1", 102)))
    assert zone.confirm_for(3 * RELIST_SECONDS) == 0
    assert all(vm.server("s-1").accepts_work for vm in zone.vms)


@pytest.mark.parametrize("size", [2, 3])
def test_a_server_still_missing_after_the_outage_is_gone_at_the_followers_too(monkeypatch, size):
    zone = Zone(monkeypatch, size)
    zone.run_outage()
    zone.confirm_for(RELIST_SECONDS - 0.3)
    assert [vm.server("s-1").gone for vm in zone.vms] == [False] * len(zone.vms)
    zone.confirm_for(0.6)
    assert all(vm.server("s-1").gone for vm in zone.vms)


def test_a_reader_that_follows_a_stale_peer_during_the_outage_still_waits_after_it(monkeypatch):
    """While the platform does not answer, a reader follows a peer, possibly its own follower."""
    zone = Zone(monkeypatch, 2)
    follower = zone.vms[1]
    zone.reader.apply(removal("s-1", 101))
    zone.spread()
    zone.advance(0.1)
    zone.lose()
    zone.follow(zone.reader, follower)
    zone.spread()
    zone.advance(OUTAGE_SECONDS)
    zone.confirm_for(RELIST_SECONDS - 0.3)
    assert [vm.server("s-1").gone for vm in zone.vms] == [False] * len(zone.vms)
    zone.confirm_for(0.6)
    assert all(vm.server("s-1").gone for vm in zone.vms)


def test_a_reader_that_never_lost_the_platform_sends_nothing_more(monkeypatch):
    zone = Zone(monkeypatch, 3)
    for _ in range(5):
        assert "reachable" not in msgspec.json.decode(zone.follow(zone.vms[1], zone.reader))
        assert "reachable" not in msgspec.json.decode(zone.follow(zone.vms[2], zone.vms[1]))
        zone.advance(0.5)
        zone.reader.confirm()


def test_a_recovery_is_sent_from_the_outage_until_it_was_confirmed_for_some_time(monkeypatch):
    zone = Zone(monkeypatch, 2)
    zone.lose()
    zone.advance(1.0)
    assert msgspec.json.decode(zone.publish(zone.reader))["reachable"] == 0
    zone.reader.confirm()
    zone.advance(4 * RELIST_SECONDS)
    # The last confirmation is old, so a follower cannot tell yet that the recovery is long ago.
    sent = msgspec.json.decode(zone.publish(zone.reader))["reachable"]
    assert sent == pytest.approx(4 * RELIST_SECONDS)
    zone.reader.confirm()
    assert "reachable" not in msgspec.json.decode(zone.publish(zone.reader))


def test_a_state_that_comes_twice_or_out_of_order_moves_no_recovery_back(monkeypatch):
    zone = Zone(monkeypatch, 2)
    follower = zone.vms[1]
    before = zone.publish(zone.reader)
    zone.run_outage()
    recovered_at = follower.now
    after = zone.publish(zone.reader)
    take(follower, after)
    for body in [after, before, after]:
        take(follower, body)
        assert follower.balancer.server_list.recovered_at == pytest.approx(recovered_at)
    zone.confirm_for(RELIST_SECONDS - 0.3)
    assert follower.balancer.server_list.recovered_at == pytest.approx(recovered_at)
    assert not follower.server("s-1").gone
    # A state that was held up for 0.2 s on the way counts from its arrival: caution, not more.
    take(follower, after)
    zone.advance(0.2)
    late = zone.publish(zone.reader)
    zone.advance(0.2)
    take(follower, late)
    assert follower.balancer.server_list.recovered_at <= follower.now
    zone.confirm_for(RELIST_SECONDS + 0.3)
    assert follower.server("s-1").gone


def test_another_reader_only_adds_caution(monkeypatch):
    """The second reader has not lost the platform, or lost it later."""
    zone = Zone(monkeypatch, 3)
    follower, other = zone.vms[1:]
    other.apply(removal("s-1", 101))
    zone.run_outage()
    zone.follow(follower, zone.reader)
    recovered_at = follower.now
    other.confirm()
    assert "reachable" not in msgspec.json.decode(zone.follow(follower, other))
    assert follower.balancer.server_list.recovered_at == pytest.approx(recovered_at)
    assert not follower.server("s-1").gone
    zone.advance(1.0)
    other.balancer.server_list.mark_unreachable(other.now - 0.5)
    other.confirm()
    zone.follow(follower, other)
    assert follower.balancer.server_list.recovered_at == pytest.approx(recovered_at + 1.0)


@pytest.mark.parametrize("name", ["reader", "follower"])
def test_a_reader_that_alone_is_cut_off_retires_servers_in_time_through_a_peer(monkeypatch, name):
    """The peer has the platform all the time; the reader fails at each of its own tries."""
    zone = Zone(monkeypatch, 3)
    reader, follower, peer = zone.vms
    peers = SETTINGS.peers
    seconds_to_removal, bound = 2.0, RELIST_SECONDS + peers.max_retry_seconds
    for tenth in range(round((seconds_to_removal + bound) * 10)):
        if tenth == round(seconds_to_removal * 10):
            peer.apply(removal("s-1", 101))
        peer.confirm()
        if tenth % round(peers.max_retry_seconds * 10) == 0:
            zone.lose()
        else:
            zone.follow(reader, peer)
        zone.follow(follower, reader)
        zone.advance(0.1)
    assert {"reader": reader, "follower": follower}[name].server("s-1").gone
