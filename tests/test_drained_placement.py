"""Placement while a zone is drained: opening packets, their copies, refusals and overload."""

from collections import Counter
from random import Random

import pytest

from marjoramford.opaque_flows.overload_controls import are_slots_taken
from marjoramford.opaque_flows.packets import DropPacket, Forward, ResetFlow
from marjoramford.opaque_flows.placements import own_requests

from .flow_worlds import SETTINGS, FlowWorld, drain, record, upsert

# The original, a duplicate by the network, and the callers' repetitions, in seconds.
COPIES = (0, 0.05, 0.2, 0.6)
COPY_SECONDS = SETTINGS.placement.copy_seconds
DROPPED = DropPacket("zone drained")
REFUSED = ResetFlow("zone drained")


def zoned_world(*zones, seed=1):
    """A world with one server in each zone, s-1 in the first; this entry VM is in zone a."""
    entries = [record(f"s-{n}", n, zone=zone) for n, zone in enumerate(zones, 1)]
    return FlowWorld(*entries, seed=seed)


@pytest.mark.parametrize("seed", range(3))
def test_no_opening_packet_reaches_a_drained_zone_under_load(seed):
    """Callers open flows and repeat opening packets while a zone is drained and returned ten times.

    Guards against copies that follow their original into the zone, and resets of open flows.
    """
    random = Random(seed)
    world = zoned_world(*"aabbcc", seed=seed)
    pending, open_callers = [], []
    reached = {False: Counter(), True: Counter()}
    for step in range(400):
        is_drained = step // 20 % 2 == 1
        if step % 20 == 0:
            world.apply(drain("a", 101 + step, drained=is_drained))
        caller = world.caller()
        pending += [(world.now + delay, caller, delay) for delay in COPIES]
        for at, caller, delay in [entry for entry in pending if entry[0] <= world.now]:
            pending.remove((at, caller, delay))
            action = caller.open()
            assert not isinstance(action, ResetFlow)
            if isinstance(action, Forward):
                reached[is_drained][action.server.zone] += 1
                if random.random() < 0.3:
                    caller.receive_syn_ack(action)
                    open_callers.append(caller)
                    pending = [entry for entry in pending if entry[1] is not caller]
        if open_callers and random.random() < 0.5:
            caller = random.choice(open_callers)
            assert isinstance(caller.request(), Forward)
            assert isinstance(caller.receive_answer(), Forward)
        world.advance(0.05)
    assert reached[False]["a"] > 100
    assert reached[True]["a"] == 0
    assert reached[True]["b"] > 100


def test_a_copy_to_a_drained_zone_is_dropped_and_a_later_one_moves():
    world = zoned_world("a", "b")
    caller = world.caller()
    assert caller.open().server.name == "s-1"
    world.apply(drain("a", 101))
    world.now += COPY_SECONDS / 2
    assert caller.open() == DROPPED
    world.now += COPY_SECONDS
    assert caller.open().server.name == "s-2"
    assert caller.open().server.name == "s-2"
    # The first server's answer was on its way: the flow opens there and stays.
    caller.receive_syn_ack(Forward(world.server("s-1"), 0))
    assert caller.request().server.name == "s-1"


@pytest.mark.parametrize("change", [{"born": 1}, {"service": "other"}])
@pytest.mark.parametrize("seconds", [COPY_SECONDS / 2, COPY_SECONDS * 3])
def test_a_copy_for_a_replaced_server_does_not_reach_a_drained_zone(change, seconds):
    """The server that replaced it has its address."""
    world = zoned_world("a")
    caller = world.caller()
    assert isinstance(caller.open(), Forward)
    world.apply(upsert(record("s-1", 101, **change)))
    world.apply(drain("a", 102))
    world.advance(seconds)
    assert caller.open() == DROPPED


@pytest.mark.parametrize("seconds", [0.2, 0.6, 1.2])
def test_a_copy_without_another_server_is_dropped_and_not_reset(seconds):
    """The flow may have just opened: a reset would hit it."""
    world = zoned_world("a")
    caller = world.caller()
    forward = caller.open()
    world.apply(drain("a", 101))
    world.advance(seconds)
    assert caller.open() == DROPPED
    caller.receive_syn_ack(forward)
    assert caller.request().server.name == "s-1"


def test_a_late_copy_of_an_open_flow_does_not_reach_a_drained_zone():
    world = zoned_world("a", "b")
    caller = world.caller()
    caller.establish()
    world.apply(drain("a", 101))
    caller.sequence -= 1
    assert caller.open() == DROPPED
    caller.sequence += 1
    assert caller.request().server.name == "s-1"


def test_a_late_copy_of_a_flow_that_opened_elsewhere_resets_nothing():
    """The copy came to another entry VM than the original, which has the open flow by now."""
    world = zoned_world("a")
    caller = world.caller()
    caller.receive_syn_ack(Forward(world.server("s-1"), 0))
    world.apply(drain("a", 101))
    caller.sequence -= 1
    assert caller.open() == DROPPED
    caller.sequence += 1
    assert caller.request().server.name == "s-1"
    # An attempt that begins when copies of the earlier one have ended is refused at once.
    world.advance(2.0)
    caller.sequence += 70_000
    assert caller.open() == REFUSED


def test_open_flows_of_a_drained_zone_stay_open_for_any_time():
    world = zoned_world("a", "b")
    caller = world.caller()
    caller.establish()
    world.apply(drain("a", 101))
    for _ in range(20):
        world.confirm()
        assert world.advance(2.0) == []
        assert isinstance(caller.request(), Forward)
        assert isinstance(caller.receive_answer(), Forward)


def test_a_flow_whose_service_has_only_drained_servers_is_refused_at_once(caplog):
    caplog.set_level("INFO")
    world = zoned_world("a", "b")
    world.apply(drain("a", 101))
    world.apply(drain("b", 102))
    caller = world.caller()
    assert caller.open() == REFUSED
    assert world.balancer.counters["refused_zone_drained"] == 1
    assert [e.fields["reason"] for e in caplog.records if e.event == 612] == ["zone drained"]
    world.apply(drain("b", 103, drained=False))
    assert caller.open().server.name == "s-2"


def test_without_a_drained_server_that_could_work_the_drain_is_not_the_reason():
    world = zoned_world("a", "b")
    world.apply(drain("a", 101))
    world.apply(upsert(record("s-1", 102, state="leaving")))
    world.apply(upsert(record("s-2", 103, zone="b", state="leaving")))
    assert world.caller().open() == ResetFlow("no server")
    assert world.balancer.counters["refused_zone_drained"] == 0


def test_a_drained_zone_counts_neither_as_slots_nor_as_requests():
    """Its free slots would hide an overload of the others, its requests would feign one."""
    world = zoned_world("a", "b")
    near, far = world.server("s-1"), world.server("s-2")
    far.in_progress = 4
    assert not are_slots_taken([near, far], own_requests, 0.5)
    world.apply(drain("a", 101))
    assert are_slots_taken([near, far], own_requests, 0.5)
    near.in_progress, far.in_progress = 9, 1
    assert not are_slots_taken([near, far], own_requests, 0.5)
