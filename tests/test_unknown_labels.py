"""Flows of servers that are gone are reset together as soon as their absence is certain.

Load pattern: a zone loses power; its entry VMs start again and get packets of flows whose servers
are gone. Callers retransmit after 0.2, 0.6, 1.4 and 3.0 s, so some send no further packet before
their deadlines.
"""

from marjoramford.opaque_flows.flow_labels import derive_label
from marjoramford.opaque_flows.flow_settings import ListSettings
from marjoramford.opaque_flows.packets import DropPacket, FlowKey, Forward, PacketHeader, ResetFlow
from marjoramford.opaque_flows.unknown_labels import MAX_WAITING_FLOWS, UnknownLabels

from .flow_worlds import ROUTE_IP, ROUTE_PORT, START, FlowWorld, record, upsert

RELIST_SECONDS = ListSettings().relist_seconds
NOT_LISTED = DropPacket("label not listed yet")


def started_world():
    """An entry VM that has just read its first list."""
    return FlowWorld(record("s-1"))


def waiting_callers(world, count, name="s-9"):
    callers = [world.caller() for _ in range(count)]
    for caller in callers:
        caller.label = derive_label(name, 0)
        caller.acknowledged = 9000
        assert caller.request() == NOT_LISTED
    return callers


def advance_confirmed(world, seconds):
    """Advances the clock while each answer of the platform confirms the list."""
    resets = []
    for _ in range(round(seconds * 10)):
        world.confirm()
        resets += world.advance(0.1)
    return resets


def test_all_waiting_flows_of_a_missing_server_are_reset_without_a_further_packet():
    world = started_world()
    early = waiting_callers(world, 3)
    assert advance_confirmed(world, RELIST_SECONDS - 1.5) == []
    late = waiting_callers(world, 3)
    assert advance_confirmed(world, 1.4) == []
    resets = advance_confirmed(world, 0.3)
    # The first three have not retransmitted for longer than callers wait: they have given up.
    assert {reset.flow for reset in resets} == {caller.key for caller in late}
    assert {reset.acknowledged for reset in resets} == {9000}
    assert world.balancer.counters["reset_unknown"] == 3
    assert early[0].request() == ResetFlow("label of no server")


def test_one_read_after_the_packet_suffices_where_the_platform_was_well_before():
    world = started_world()
    advance_confirmed(world, RELIST_SECONDS + 0.2)
    (caller,) = waiting_callers(world, 1)
    assert world.advance(0.3) == []
    world.confirm()
    assert [reset.flow for reset in world.advance(0.1)] == [caller.key]


def test_a_server_whose_entry_is_on_its_way_keeps_its_flows():
    world = started_world()
    advance_confirmed(world, 5.0)
    world.advance(0.2)
    read_at = world.now
    world.advance(0.2)
    (caller,) = waiting_callers(world, 1)
    # An answer that the platform gave before the packet arrived proves nothing.
    world.balancer.server_list.confirm(read_at)
    assert world.advance(0.2) == []
    world.apply(upsert(record("s-9", 101)))
    assert world.advance(0.2) == []
    action = caller.request()
    assert isinstance(action, Forward)
    assert action.server.name == "s-9"


def test_entries_that_expired_in_an_outage_have_time_to_return():
    world = started_world()
    advance_confirmed(world, 5.0)
    world.balancer.server_list.mark_unreachable(world.now)
    world.advance(3.0)
    waiting_callers(world, 1)
    assert advance_confirmed(world, RELIST_SECONDS - 0.5) == []


def test_waiting_flows_take_bounded_memory():
    labels = UnknownLabels()
    for number in range(MAX_WAITING_FLOWS + 100):
        key = FlowKey(number, 1, ROUTE_IP, ROUTE_PORT)
        labels.record(PacketHeader(key, 7, False, False, False, 1, 1, 1), START)
    lost = labels.take_lost_flows(lambda _label, _first_seen: True, START)
    assert len(lost) == MAX_WAITING_FLOWS
    assert lost[0].key.caller_ip == 100
    assert labels.take_lost_flows(lambda _label, _first_seen: True, START) == []
