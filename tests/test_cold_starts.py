"""Flows that open at cold servers, over all entry VMs of a fleet.

Replayed is a zone whose servers come back together: every entry VM sees them as idle. Without the
limit each of them opens flows there at once, many times what a cold server can handle.
"""

import asyncio
import json
import logging
import time
from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramford.evaluations.cold_start_comparisons import (
    Holders,
    count_most_in_second,
    count_openings,
    start_fleet,
)
from marjoramford.opaque_flows.cold_starts import (
    FORGET_SECONDS,
    NO_HOLDERS,
    REMEMBER_SECONDS,
    ColdStartControl,
    split_limit,
)
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.flow_dumps import dump_state
from marjoramford.opaque_flows.flow_settings import ColdStartSettings
from marjoramford.opaque_flows.overload_controls import are_slots_taken
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.packets import DropPacket, FlowKey, Forward, PacketHeader, ResetFlow
from marjoramford.opaque_flows.peer_groups import PeerGroup
from marjoramford.opaque_flows.placements import own_requests
from marjoramford.opaque_flows.published_states import apply_state, decode_state
from marjoramford.opaque_flows.routes import RouteTable, WarmupLimit
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm
from marjoramford.shared.logs import LogEvent

from .flow_worlds import (
    ROUTE_IP,
    ROUTE_PORT,
    SETTINGS,
    START,
    FlowWorld,
    record,
    removal,
    route_table,
    upsert,
)
from .flow_worlds import snapshot as whole_list

LIMITS = range(1, 21)
BOUND = ColdStartSettings()
STEP_SECONDS = 0.02
# Zones in which two members that do not know each other exceed the bound: each takes a share that
# only fits with all views alike.
UNTOLERANT = {(limit, 2) for limit in range(11, 21)} | {(13, 4), (16, 4), (19, 4)}


def bound(limit):
    return limit * BOUND.overage + BOUND.slack


def worst_sum(limit, members, missing):
    """The most openings in a second if each view of a zone may lack some of the members.

    Every member may lack the members ranked before it for its rank, or others for a larger share.
    """
    total = 0
    for rank in range(members):
        most = 0
        for lacking in range(min(missing, members - 1) + 1):
            split = split_limit(limit, members - lacking, BOUND)
            acts = rank - min(lacking, rank) < split.holders + split.takeovers
            most = max(most, split.max_openings if acts else 0)
        total += most
    return total


@pytest.mark.parametrize("limit", LIMITS)
def test_no_overlapping_views_exceed_the_bound(limit):
    for members in range(1, 101):
        assert split_limit(limit, members, BOUND).holders >= 1
        assert worst_sum(limit, members, 0) <= bound(limit)
        if (limit, members) not in UNTOLERANT:
            assert worst_sum(limit, members, 1) <= bound(limit), members
        if members >= 23 and limit > 1:
            assert worst_sum(limit, members, 2) <= bound(limit), members


def test_the_exploration_finds_shares_that_are_too_large():
    assert any(worst_sum(*zone, 1) > bound(zone[0]) for zone in UNTOLERANT)


def test_a_bound_below_one_opening_lets_no_flow_open():
    strict = ColdStartSettings(overage=1.0, slack=0.0)
    assert split_limit(0.5, 9, strict) is NO_HOLDERS
    assert split_limit(20.0, 9, strict).holders >= 1
    assert split_limit(20.0, 0, BOUND) is NO_HOLDERS


class Zone:
    """Entry VMs of one zone under greedy demand for one cold server."""

    def __init__(self, size, limit, server="s-1"):
        self.now = START
        self.limit = limit
        self.names = [f"front-{number}" for number in range(size)]
        self.server = FlowWorld(record(server, warm_at=1e9)).server(server)
        self.controls = {name: ColdStartControl(name, "a", BOUND, self.now) for name in self.names}
        self.opened = []
        self.opened_by = Counter()

    def run(self, seconds, view=None, active=None):
        """Opens at every chance; `view` maps a name to its present and lost members."""
        end = self.now + seconds
        next_tick = self.now
        while self.now < end:
            tick_due = self.now >= next_tick
            next_tick += 0.1 if tick_due else 0.0
            for name in self.names if active is None else active:
                control = self.controls[name]
                if tick_due:
                    control.update_members(*(view(name) if view else (self.names, [])), self.now)
                if control.may_open(self.server, self.limit, self.now):
                    control.record_opening(self.server, self.limit, self.now)
                    self.opened.append(self.now)
                    self.opened_by[name] += 1
            self.now += STEP_SECONDS

    def most_in_second(self):
        return count_most_in_second(self.opened)

    def rate_since(self, since):
        return sum(at >= since for at in self.opened) / (self.now - since)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(3, 30), st.sampled_from([2, 5, 10, 20]), st.randoms(use_true_random=False))
def test_entry_vms_with_differing_views_stay_within_the_bound(size, limit, random):
    """Each view lacks one member at random, and takes some others for lost for any time."""
    zone = Zone(size, limit)
    views = {}
    for name in zone.names:
        unknown = random.choice([None, *(other for other in zone.names if other != name)])
        known = [other for other in zone.names if other != unknown]
        lost = [other for other in known if other != name and random.random() < 0.3]
        views[name] = ([other for other in known if other not in lost], lost)
    zone.run(12.0, lambda name: views[name])
    assert zone.most_in_second() <= bound(limit)


@pytest.mark.parametrize("size", [2, 5, 12, 40])
def test_both_sides_of_a_split_zone_stay_within_the_bound(size):
    """Each side forgets the other; if it then took over all shares, the sum would be twice."""
    zone = Zone(size, 20)
    zone.run(10.0)
    halves = zone.names[: size // 2], zone.names[size // 2 :]

    def see_own_half(name):
        own, other = halves if name in halves[0] else halves[::-1]
        return own, other

    zone.run(FORGET_SECONDS + 10.0, see_own_half)
    assert zone.most_in_second() <= bound(20)


@pytest.mark.parametrize("entry_vms", [7, 70, 195, 300])
@pytest.mark.parametrize("limit", [1, 2, 5, 10, 20])
def test_the_limit_is_used_while_there_is_demand(entry_vms, limit):
    count = count_openings(Holders(entry_vms, limit), entry_vms, 1200, limit, 20.0, seed=1)
    assert count.used_share >= 0.8
    assert count.most_in_second <= bound(limit)


def test_the_share_of_a_killed_holder_lapses_and_is_taken_over_later():
    zone = Zone(40, 10)
    zone.run(40.0)
    killed = zone.opened_by.most_common()[0][0]
    holders = len(zone.opened_by)
    active = [name for name in zone.names if name != killed]
    since = zone.now
    zone.run(FORGET_SECONDS - 1.0, lambda _: (active, [killed]), active)
    assert len(zone.opened_by) == holders
    assert zone.rate_since(since) < 10 * 0.95
    # The bucket of the entry VM that takes over is empty at first: 0.73 openings a second.
    zone.run(2.0, lambda _: (active, [killed]), active)
    assert len(zone.opened_by) == holders
    zone.run(10.0, lambda _: (active, [killed]), active)
    assert len(zone.opened_by) == holders + 1
    assert zone.most_in_second() <= bound(10)


def test_a_small_zone_recovers_the_share_of_an_entry_vm_that_does_not_come_back():
    zone = Zone(2, 4)
    zone.run(35.0)
    left = zone.names[:1]
    since = zone.now
    zone.run(20.0, lambda _: (left, zone.names[1:]), left)
    assert zone.rate_since(since) == pytest.approx(2 * 0.95, abs=0.1)
    zone.run(REMEMBER_SECONDS, lambda _: (left, zone.names[1:]), left)
    assert zone.rate_since(zone.now - 5.0) == pytest.approx(4 * 0.95, rel=0.15)


def test_a_member_that_announced_its_leave_is_forgotten_soon():
    zone = Zone(2, 4)
    zone.run(35.0)
    left = zone.names[:1]
    zone.run(FORGET_SECONDS + 10.0, lambda _: (left, []), left)
    assert zone.rate_since(zone.now - 5.0) == pytest.approx(4 * 0.95, rel=0.15)


def test_an_entry_vm_that_has_just_started_waits_until_it_knows_its_zone():
    zone = Zone(1, 10)
    zone.run(BOUND.settle_seconds - 0.2)
    assert not zone.opened
    zone.run(4.0)
    assert zone.opened


def test_a_fleet_that_starts_together_stays_within_the_bound():
    """Members that do not know each other yet would each take the shares of a small zone."""
    for seed in range(1, 4):
        assert start_fleet(40, 20, seed, BOUND).most_in_second <= bound(20)
        hasty = ColdStartSettings(settle_seconds=0.1)
        assert start_fleet(40, 20, seed, hasty).most_in_second > bound(20)


def test_entry_vms_that_seem_alone_in_their_zone_at_first_take_a_small_share(monkeypatch):
    """In a small fleet a starting entry VM may hear of other zones only, for some seconds."""
    hasty = ColdStartSettings(settle_seconds=5.0)
    assert start_fleet(20, 20, 3, hasty).most_in_second <= bound(20)
    monkeypatch.setattr("marjoramford.opaque_flows.cold_starts.LEARNING_MEMBERS", 1)
    assert start_fleet(20, 20, 3, hasty).most_in_second > bound(20)


def test_a_share_below_one_opening_is_never_rounded_up():
    """Four holders with a quarter of an opening per second each do not open at once."""
    zone = Zone(4, 1)
    zone.run(BOUND.settle_seconds + 4.0)
    assert len(zone.opened) >= 2
    assert zone.most_in_second() <= 2
    assert zone.opened[-1] - zone.opened[0] <= 4.0
    assert len(zone.opened) <= 4


def test_a_suspended_entry_vm_waits_again():
    zone = Zone(1, 10)
    zone.run(10.0)
    control = zone.controls[zone.names[0]]
    zone.now += 2.0
    assert not control.may_open(zone.server, 10, zone.now)
    zone.run(1.0)
    assert zone.opened[-1] > zone.now - 1.0
    zone.now += FORGET_SECONDS + 1.0
    opened = len(zone.opened)
    zone.run(BOUND.settle_seconds - 0.2)
    assert len(zone.opened) == opened


def test_only_the_zone_of_the_server_opens_flows_there():
    zone = Zone(1, 10)
    zone.server.zone = "b"
    zone.run(10.0)
    assert not zone.opened


def test_a_server_that_starts_again_is_limited_again():
    zone = Zone(1, 2)
    zone.run(10.0)
    first = zone.server
    zone.server = FlowWorld(record("s-1", born=7, warm_at=1e9)).server("s-1")
    first.gone = True
    assert not zone.controls[zone.names[0]].may_open(zone.server, 2, zone.now)
    zone.run(10.0)
    assert zone.rate_since(zone.now - 10.0) <= 2


def table(limit=10.0, version=2):
    limits = (WarmupLimit("booking", limit),) if limit else ()
    return RouteTable(version, route_table().routes(), 15.0, 0, limits)


def settle(balancer, names, start, until):
    at = start
    while at <= until:
        balancer.admission.cold_starts.update_members(names, [], at)
        at += 0.1


def replay_return(limit, warm_at=1e9):
    """Flows of 36 entry VMs in three zones while the servers of one zone are cold and idle."""
    fleet = []
    random = Random(4)
    names = {zone: [f"front-{zone}-{number}" for number in range(12)] for zone in "abc"}
    records = [record(f"s-{n}", zone="a", warm_at=warm_at) for n in range(1, 9)]
    records += [record(f"s-{n}", zone="b") for n in range(9, 17)]
    for zone, members in names.items():
        for name in members:
            own = msgspec.structs.replace(SETTINGS, name=name, zone=zone)
            balancer = FlowBalancer(own, Random(name), START)
            balancer.installed_routes.apply(table(limit))
            balancer.server_list.apply(whole_list(*records), START)
            balancer.server_list.confirm(START)
            settle(balancer, members, START, START + 10.0)
            fleet.append((balancer, members))
    openings = {f"s-{n}": [] for n in range(1, 17)}
    now = START + 10.0
    for number in range(6000):
        now += random.expovariate(1000)
        if number % 100 == 0:
            for balancer, members in fleet:
                balancer.admission.cold_starts.update_members(members, [], now)
                balancer.tick(now)
        balancer = random.choice(fleet)[0]
        key = FlowKey(0x64400007, number, ROUTE_IP, ROUTE_PORT)
        action = balancer.handle_packet(PacketHeader(key, 0, True, False, False, 5000, 0, 0), now)
        if isinstance(action, Forward):
            openings[action.server.name].append(now)
    cold = max(count_most_in_second(openings[f"s-{n}"]) for n in range(1, 9))
    return cold, sum(map(len, openings.values()))


def test_a_zone_that_comes_back_cold_is_not_flooded_by_all_entry_vms():
    cold, opened = replay_return(10.0)
    assert 5 <= cold <= bound(10)
    assert opened == 6000
    assert replay_return(0.0)[0] > 3 * bound(10)


def test_a_zone_that_comes_back_warm_is_used_as_without_a_limit():
    assert replay_return(10.0, warm_at=0.0) == replay_return(0.0, warm_at=0.0)


def cold_world(limit=10.0, servers=1, warm_at=START + 60.0):
    records = [record(f"s-{n}", warm_at=warm_at) for n in range(1, servers + 1)]
    world = FlowWorld(*records)
    world.balancer.installed_routes.apply(table(limit))
    run(world, 20.0)
    return world


def run(world, seconds):
    """Advances the clock as the timer of an entry VM does that is alone in its zone."""
    end = world.now + seconds
    while world.now < end - 1e-9:
        world.balancer.admission.cold_starts.update_members(["front-1"], [], world.now)
        world.advance(min(0.1, end - world.now))
    world.balancer.admission.cold_starts.update_members(["front-1"], [], world.now)


def take_all_tokens(world):
    """Opens flows until one is refused; returns the callers of those that opened."""
    callers = []
    while isinstance((caller := world.caller()).open(), Forward):
        callers.append(caller)
    return callers


def test_a_flow_is_refused_at_once_if_all_servers_are_cold_and_no_token_is_left():
    world = cold_world()
    world.caller().open()
    run(world, 1.0)
    opened = take_all_tokens(world)
    assert opened
    action = world.caller().open()
    assert isinstance(action, ResetFlow)
    assert action.reason == "cold servers"
    assert world.balancer.counters["cold_refused"] == 3
    assert world.balancer.counters["cold_openings"] == len(opened)


def test_without_a_limit_cold_servers_are_used_as_before():
    world = cold_world(limit=0.0)
    assert all(isinstance(world.caller().open(), Forward) for _ in range(100))
    assert not world.balancer.counters["cold_openings"]


def test_a_server_is_not_limited_once_it_is_warm():
    world = cold_world()
    world.now = START + 61.0
    assert all(isinstance(world.caller().open(), Forward) for _ in range(100))


def test_a_late_copy_to_a_cold_server_needs_a_token():
    world = cold_world(limit=1.0)
    world.caller().open()
    run(world, 3.0)
    caller = take_all_tokens(world)[0]
    run(world, 0.05)
    assert isinstance(caller.open(), Forward)
    run(world, 0.15)
    assert isinstance(caller.open(), DropPacket)
    run(world, 1.0)
    assert isinstance(caller.open(), Forward)


def test_a_copy_that_moves_to_a_cold_server_needs_a_token():
    world = cold_world(limit=1.0)
    cold = world.server("s-1")
    world.apply(whole_list(record("s-1", 2, warm_at=START + 60.0), record("s-9"), revision=101))
    world.caller().open()
    callers = [world.caller() for _ in range(3)]
    assert {caller.open().server.name for caller in callers} == {"s-9"}
    run(world, 2.0)
    assert [caller.open().server is cold for caller in callers] == [True, False, False]
    assert world.balancer.counters["cold_openings"] == 1


def test_a_late_copy_to_a_server_that_started_again_needs_a_token_of_the_new_start():
    """The copy goes to the address of the server, where the new start receives it."""
    world = cold_world(limit=1.0, warm_at=0.0)
    caller = world.caller()
    assert isinstance(caller.open(), Forward)
    again = record("s-1", 2, born=1, warm_at=START + 60.0)
    world.apply(whole_list(again, revision=101))
    run(world, 0.3)
    assert isinstance(caller.open(), DropPacket)


def unlisted_world(platform_was_lost):
    """The only server's entry has expired, and its limit would leave two flows a second."""
    world = cold_world(limit=1.0, warm_at=0.0)
    if platform_was_lost:
        world.balancer.server_list.mark_unreachable(world.now)
        run(world, 3.0)
    world.apply(removal("s-1", 101))
    assert world.server("s-1").unlisted_since == world.now
    return world


def test_a_server_whose_entry_expired_may_have_started_again_and_is_cold_then():
    """Its new start took the flows of all entry VMs until they had read its new entry."""
    world = unlisted_world(platform_was_lost=False)
    world.caller().open()
    run(world, 1.0)
    assert len(take_all_tokens(world)) <= bound(1)
    world.apply(upsert(record("s-1", 102)))
    assert all(isinstance(world.caller().open(), Forward) for _ in range(100))


def test_servers_whose_entries_expired_in_an_outage_are_not_limited():
    """They live: nothing but the platform was away."""
    world = unlisted_world(platform_was_lost=True)
    assert all(isinstance(world.caller().open(), Forward) for _ in range(100))


def test_a_late_copy_is_forwarded_to_an_answering_cold_server_with_a_token():
    world = cold_world(limit=20.0)
    world.caller().open()
    run(world, 1.0)
    caller = world.caller()
    server = caller.open().server
    run(world, 0.3)
    server.responsiveness.record_answer(world.now)
    before = world.balancer.counters["cold_openings"]
    assert isinstance(caller.open(), Forward)
    assert world.balancer.counters["cold_openings"] == before + 1


def test_the_slots_of_a_cold_server_count_by_what_it_may_get():
    servers = list(cold_world(servers=2).balancer.server_list.servers.values())
    servers[0].in_progress = 3
    assert not are_slots_taken(servers, own_requests, 0.0)
    assert not are_slots_taken(servers, own_requests, 0.0, 100.0, START)
    assert are_slots_taken(servers, own_requests, 0.0, 10.0, START)
    assert not are_slots_taken(servers, own_requests, 0.0, 10.0, START + 61.0)


def test_the_first_refusal_is_logged_and_the_dump_shows_the_share(caplog):
    logging.getLogger("marjoramford").propagate = True
    with caplog.at_level(logging.INFO, logger="marjoramford"):
        world = cold_world(limit=3.0, warm_at=1e9)
        take_all_tokens(world)
        take_all_tokens(world)
    lines = [line for line in caplog.records if line.event == LogEvent.COLD_START_LIMITED]
    assert len(lines) == 1
    fields = lines[0].fields
    assert (fields["server"], fields["limit"], fields["holders"]) == ("s-1", 3.0, 1)
    assert (fields["members"], fields["holder"]) == (1, True)
    own = Address("127.0.0.1", 3)
    group = PeerGroup(EntryVm("front-1", 1, "a", own, own), (), SETTINGS.peers, Random(1))
    dump = json.loads(dump_state(world.balancer, group))
    assert dump["backend_servers"][0]["cold"]["holder"] is True
    assert dump["backend_servers"][0]["cold"]["tokens"] < 1


def test_the_members_of_the_zone_are_passed_once_another_entry_vm_is_known():
    """An entry VM that knows no other although it has seeds may be cut off and must not open."""
    seeds = ("127.0.0.1:7",)
    vm = PacketVm(
        msgspec.structs.replace(SETTINGS, seeds=seeds), None, lambda *_: None, lambda: None
    )
    control = vm.balancer.admission.cold_starts
    vm.update_members(START)
    assert control.members == 0
    for name, zone in (("front-2", "a"), ("front-3", "b")):
        address = Address("127.0.0.1", 8)
        vm._group.merge_updates([EntryVm(name, 1, zone, address, address).to_update()])
    vm.update_members(START)
    assert control.members == 2
    group = vm._group
    group.entry_vms.get("front-2").state = "lost"
    assert group.zone_members().lost == ["front-2"]
    assert group.zone_members().present == ["front-1"]


def test_followers_get_the_limits_with_the_routes_and_only_if_they_changed():
    # The publisher reads the clock, which is below `START` soon after a boot of the machine.
    leader = FlowWorld(record("s-1"), start=time.monotonic())
    follower = FlowBalancer(SETTINGS, Random(1), START)

    def follow(known_routes):
        body = asyncio.run(StatePublisher(leader.balancer).answer(0, known_routes, 0.0, era=0))
        assert apply_state(decode_state(body).unwrap(), follower, START)
        return b"warmup_limits" in body, follower.admission.warmup_limit("booking")

    assert follow(0) == (False, 0.0)
    leader.balancer.installed_routes.apply(table(5.0, version=2))
    assert follow(0) == (True, 5.0)
    leader.balancer.installed_routes.apply(table(5.0, version=3))
    assert follow(2) == (False, 5.0)
    leader.balancer.installed_routes.apply(table(0.0, version=4))
    assert follow(3) == (True, 0.0)


def test_the_timer_keeps_the_view_of_the_zone_current():
    vm = PacketVm(SETTINGS, None, lambda *_: None, lambda: None)

    class Packets:
        def run_tick(self, now):
            raise asyncio.CancelledError

    async def run():
        with pytest.raises(asyncio.CancelledError):
            await vm._run_timer(Packets())

    asyncio.run(run())
    assert vm.balancer.admission.cold_starts.members == 1


def test_shares_of_servers_that_are_gone_take_no_memory_without_members():
    """No members are known as long as no seed has answered."""
    control = ColdStartControl("front-1", "a", BOUND, START)
    for born in range(100):
        world = FlowWorld(record("s-1", 1, born=born, warm_at=START + born + 0.5))
        assert not control.may_open(world.server("s-1"), 5.0, START + born)
    assert len(control._shares) == 1


def test_a_cold_server_that_takes_no_flow_is_not_logged_as_limited(caplog):
    """Its share is dropped at each tick, so every opening packet would log its first refusal."""
    caplog.set_level(logging.INFO)
    world = cold_world()
    world.apply(whole_list(revision=200))
    world.balancer.server_list._retire(world.server("s-1"), "left the list", world.now)
    for _ in range(5):
        run(world, 0.1)
        assert isinstance(world.caller().open(), ResetFlow)
    assert not [line for line in caplog.records if line.event == LogEvent.COLD_START_LIMITED]
