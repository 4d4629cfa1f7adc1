"""What an entry VM does with flows of a server that its zone's reader considers dead."""

import json
import time
from random import Random

import pytest

from marjoramford.opaque_flows.flow_dumps import dump_state
from marjoramford.opaque_flows.flow_metrics import render_flow_metrics
from marjoramford.opaque_flows.packets import Forward, ResetFlow
from marjoramford.opaque_flows.peer_groups import PeerGroup
from marjoramford.opaque_flows.server_lists import ListChanges
from marjoramford.opaque_flows.shared_evidence import PublishedEvidence, PublishedSilence
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm

from .evidence_zones import ENABLED
from .flow_worlds import SETTINGS, START, FlowWorld, record


def condemn(world, name="s-1", since=0.5, incarnation=0, prober=""):
    silence = PublishedSilence(name, incarnation, since, prober)
    world.balancer.evidence.apply(PublishedEvidence(7, False, (), (silence,)), world.now)


def make_world(settings=ENABLED, start=START):
    """A world with an idle flow at s-1, which answered 1 s ago."""
    world = FlowWorld(record("s-1"), settings=settings, start=start)
    caller = world.caller()
    caller.establish()
    world.advance(1.0)
    return world, caller


def test_idle_flows_are_reset_at_the_next_tick():
    world, caller = make_world()
    condemn(world)
    assert [reset.flow for reset in world.advance(0.1)] == [caller.key]


def test_packets_of_waiting_flows_are_answered_with_a_reset():
    world, caller = make_world()
    caller.request()
    condemn(world, since=0.0)
    assert world.advance(0.2) == []
    assert caller.send(size=200, sequence=caller.sequence - 200) == ResetFlow("condemned")


def test_an_answer_seen_here_overrides_the_decision():
    world, caller = make_world()
    caller.request()
    condemn(world, since=0.5)
    assert isinstance(caller.receive_answer(), Forward)
    assert world.advance(0.3) == []
    assert list(world.balancer.evidence.find_objections(world.now)) == [("s-1", 0)]


def test_a_decision_that_arrives_late_does_not_outlive_an_answer_seen_here():
    """A delayed reply makes the silence begin later than it did, and so after the answer."""
    world, caller = make_world()
    caller.request()
    condemn(world, since=0.1)
    world.now += 0.05
    assert isinstance(caller.receive_answer(), Forward)
    assert world.advance(0.3) == []
    condemn(world, since=0.2)
    assert world.advance(0.3) == []


@pytest.mark.parametrize("other", [{"incarnation": 1}, {"name": "s-2"}, {"prober": "front-9"}])
def test_flows_survive_the_decision_on_another_incarnation_or_server_or_a_probation(other):
    world, _ = make_world()
    condemn(world, **other)
    assert world.advance(0.5) == []


def test_a_decision_that_is_not_repeated_lapses():
    world, caller = make_world()
    condemn(world, since=0.5)
    assert world.balancer.evidence.count_condemned(world.now) == 1
    assert world.balancer.evidence.count_condemned(world.now + 2.1) == 0


def test_no_flow_is_reset_after_a_stall_with_an_old_decision():
    world, caller = make_world()
    condemn(world)
    world.now += 1.0
    assert isinstance(caller.request(), Forward)
    assert world.balancer.tick(world.now) == []
    assert world.advance(0.3) == []


@pytest.mark.parametrize("ticks_first", [True, False])
def test_decisions_that_were_asked_for_before_a_stall_reset_nothing(ticks_first):
    """A reply that waited in the socket during a stall may hold a decision that has since ended."""
    world, caller = make_world()
    asked_at = world.now
    world.now += 1.0
    if ticks_first:
        world.balancer.tick(world.now)
    silence = PublishedSilence("s-1", 0, 0.5)
    decisions = PublishedEvidence(7, False, (), (silence,))
    world.balancer.evidence.apply(decisions, world.now, asked_at)
    assert isinstance(caller.request(), Forward)
    assert world.advance(0.3) == []
    world.balancer.evidence.apply(decisions, world.now, world.now)
    assert world.balancer.evidence.count_condemned(world.now) == 1


def test_new_flows_avoid_a_condemned_server_unless_there_is_no_other():
    world = FlowWorld(record("s-1"), record("s-2", 2), settings=ENABLED)
    condemn(world)
    assert {world.caller().open().server.name for _ in range(9)} == {"s-2"}
    only = FlowWorld(record("s-1"), settings=ENABLED)
    condemn(only)
    assert only.caller().establish().name == "s-1"
    assert only.advance(0.3) == []


def test_on_probation_only_one_entry_vm_opens_flows_and_reports_its_silence():
    for prober, expected in (("front-1", {"s-1", "s-2"}), ("front-9", {"s-2"})):
        world = FlowWorld(record("s-1"), record("s-2", 2), settings=ENABLED)
        condemn(world, prober=prober)
        callers = [world.caller() for _ in range(9)]
        assert {caller.open().server.name for caller in callers} == expected
        world.advance(0.2)
        for caller in callers:
            caller.open()
        silent = world.balancer.evidence.find_silences(world.now)
        assert (("s-1", 0) in silent) is (prober == "front-1")
        assert ("s-2", 0) not in silent


def test_the_state_dump_and_the_metrics_show_condemned_servers():
    own = Address("127.0.0.1", 9)
    group = PeerGroup(EntryVm("front-1", 1, "a", own, own), [], ENABLED.peers, Random(1))
    world, _ = make_world(start=time.monotonic())
    condemn(world)
    dump = json.loads(dump_state(world.balancer, group))
    assert dump["backend_servers"][0]["condemned"] is True
    assert b"marjoramford_condemned_servers 1.0" in render_flow_metrics(world.balancer)
    disabled, _ = make_world(SETTINGS)
    assert "condemned" not in json.loads(dump_state(disabled.balancer, group))["backend_servers"][0]
    assert b"condemned" not in render_flow_metrics(disabled.balancer)


def test_with_the_setting_off_decisions_and_idle_flows_are_left_alone():
    world, caller = make_world(SETTINGS)
    condemn(world)
    assert world.advance(0.5) == []
    assert isinstance(caller.request(), Forward)


def test_only_retransmissions_that_had_time_for_an_answer_are_silence():
    world, caller = make_world()
    caller.request()
    world.advance(0.2)
    caller.send(size=200, sequence=caller.sequence - 200)
    assert world.balancer.evidence.find_silences(world.now) == {}
    world.advance(0.1)
    silence = world.balancer.evidence.find_silences(world.now)["s-1", 0]
    assert (silence.flows, silence.decided) == (1, False)
    assert world.now - silence.silent_since == pytest.approx(0.3)
    assert world.now - silence.latest_at == pytest.approx(0.1)
    caller.receive_answer()
    assert world.balancer.evidence.find_silences(world.now) == {}
    assert not silence.link_suspected


def test_a_flow_stays_silent_while_its_latest_retransmission_may_still_be_answered():
    """Guards against a report that is withdrawn at each further retransmission."""
    world, caller = make_world()
    caller.request()
    for pause in (0.2, 0.4):
        world.advance(pause)
        caller.send(size=200, sequence=caller.sequence - 200)
    silence = world.balancer.evidence.find_silences(world.now)["s-1", 0]
    assert world.now - silence.latest_at == pytest.approx(0.4)


def test_a_quick_call_shows_that_the_silence_of_all_servers_is_not_that_of_the_own_link():
    """In a zone that is dark as a whole no server answers quickly, and all links look full."""
    world = FlowWorld(record("s-1"), record("s-2", 2), settings=ENABLED)
    callers = [world.caller() for _ in range(9)]
    for caller in callers:
        caller.establish()
    world.advance(1.0)
    for caller in callers:
        caller.request()
    world.advance(0.2)
    for caller in callers:
        caller.send(size=200, sequence=caller.sequence - 200)
    world.advance(0.1)
    assert all(s.link_suspected for s in world.balancer.evidence.find_silences(world.now).values())
    world.balancer.evidence.record_call(world.now - 1.5, world.now)
    assert all(s.link_suspected for s in world.balancer.evidence.find_silences(world.now).values())
    world.balancer.evidence.record_call(world.now - 0.01, world.now)
    silences = world.balancer.evidence.find_silences(world.now)
    assert len(silences) == 2
    assert not any(silence.link_suspected for silence in silences.values())


def make_moved_flow():
    """An idle flow whose packets may take another way since an entry VM joined."""
    world, caller = make_world()
    world.balancer.evidence.update_entry_vms(frozenset({("front-9", 1)}), world.now)
    world.advance(5.0)
    return world, caller


def play_confirmed(world):
    resets = []
    for _ in range(50):
        world.confirm()
        resets += world.advance(0.1)
    return resets


def test_idle_flows_that_may_have_moved_are_not_reset_because_their_server_left_the_list():
    """Guards against resets of flows that get answers through entry VMs to which they moved.

    A server that left the list may still answer there, which does not show here.
    """
    world, caller = make_moved_flow()
    world.apply(ListChanges((), (("s-1", 101),), False, StateVersion(0, 101)))
    assert caller.key not in [reset.flow for reset in play_confirmed(world)]


def test_idle_flows_that_may_have_moved_are_reset_if_the_zone_considers_their_server_dead():
    """Guards against lost requests while entry VMs join and leave, as they do when a zone fails.

    A caller that has used its port again since ignores the reset by its number.
    """
    world, caller = make_moved_flow()
    condemn(world)
    resets = play_confirmed(world)
    assert [reset.acknowledged for reset in resets if reset.flow == caller.key] == [
        caller.acknowledged
    ]
