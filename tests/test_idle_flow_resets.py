"""Idle flows of dead servers, whose next request would be lost with the reset that answers it."""

import msgspec
import pytest

from marjoramford.opaque_flows.flow_settings import SharedEvidenceSettings

from .flow_worlds import SETTINGS, FlowWorld, record, removal

ENABLED = msgspec.structs.replace(SETTINGS, shared_evidence=SharedEvidenceSettings(enabled=True))


def make_world(settings=ENABLED, flows=2):
    """A world with one server, an idle flow and further flows that each wait for an answer."""
    world = FlowWorld(record("s-1"), settings=settings)
    callers = [world.caller() for _ in range(flows)]
    for caller in callers:
        caller.establish()
    world.advance(0.3)
    return world, callers


def repeat_requests(world, callers):
    """Sends a request on each flow, without an answer, and repeats it at the protocol's times."""
    for caller in callers:
        caller.request()
    resets = []
    for pause in (0.2, 0.4):
        resets += world.advance(pause)
        for caller in callers:
            caller.send(size=200, sequence=caller.sequence - 200)
    return resets + world.advance(0.2)


@pytest.mark.parametrize(("settings", "expected"), [(ENABLED, 2), (SETTINGS, 0)])
def test_idle_flows_of_a_server_that_is_gone_are_reset_at_once(settings, expected):
    world, callers = make_world(settings)
    world.apply(removal("s-1", 101))
    assert world.advance(2.4) == []
    world.confirm()
    world.now += 0.2
    world.confirm()
    resets = world.advance(0.1)
    assert len(resets) == expected
    assert {reset.flow for reset in resets} <= {caller.key for caller in callers}


def test_idle_flows_of_an_unlisted_server_that_is_silent_here_are_reset():
    world, callers = make_world(flows=4)
    world.apply(removal("s-1", 101))
    resets = repeat_requests(world, callers[1:])
    assert callers[0].key in {reset.flow for reset in resets}


def test_idle_flows_survive_while_the_server_is_listed_or_unlisted_without_silence():
    world, callers = make_world(flows=4)
    idle = callers[0].key
    assert idle not in {reset.flow for reset in repeat_requests(world, callers[1:])}
    unlisted, _ = make_world()
    unlisted.apply(removal("s-1", 101))
    assert unlisted.advance(2.0) == []


def test_idle_flows_survive_old_silence():
    # Retransmissions of an incident that ended count for nothing when the entry lapses later.
    world, callers = make_world(flows=4)
    repeat_requests(world, callers[1:])
    world.advance(3.0)
    world.apply(removal("s-1", 101))
    assert world.advance(1.0) == []


def test_idle_flows_survive_if_the_server_answered_after_it_left_the_list():
    world, callers = make_world(flows=2)
    world.apply(removal("s-1", 101))
    callers[1].request()
    world.advance(0.1)
    callers[1].receive_answer()
    for _ in range(30):
        world.advance(0.1)
        world.confirm()
    assert world.server("s-1").gone
    assert world.advance(0.2) == []
