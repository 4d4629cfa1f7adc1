"""Decisions on opaque flows, replayed without sockets."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramford.flow_balancers import MAX_UNKNOWN_LABELS
from marjoramford.flow_labels import LabelIndex, derive_label
from marjoramford.packets import DropPacket, FlowKey, Forward, PacketHeader, ResetFlow

from .flow_worlds import FlowWorld, record, removal, route_table, whole_list, written


def pair():
    return FlowWorld(record("s-1"), record("s-2", revision=2))


def test_any_entry_vm_forwards_an_open_flow_by_its_label():
    first, second = pair(), pair()
    caller = first.caller()
    server = caller.established()
    caller.world = second
    action = caller.request()
    assert isinstance(action, Forward)
    assert action.server.name == server.name


def test_a_flow_stays_where_it_is_when_the_list_and_routes_change():
    world = pair()
    caller = world.caller()
    server = caller.established()
    world.apply(written(record("s-3", revision=101)))
    world.balancer.apply_routes(route_table(version=2, service="other"))
    assert caller.request().server is server


def test_an_unknown_route_is_refused_at_once():
    world = pair()
    caller = world.caller()
    caller.key = caller.key._replace(route_port=1)
    assert caller.open() == ResetFlow("no route")


def test_a_service_without_servers_is_refused_at_once():
    world = FlowWorld(record("s-1", state="leaving"))
    assert world.caller().open() == ResetFlow("no server")


def test_a_leaving_server_gets_no_new_flow_and_keeps_its_open_ones():
    world = FlowWorld(record("s-1"))
    caller = world.caller()
    server = caller.established()
    world.apply(whole_list(record("s-1", 101, state="leaving"), record("s-2", 102), revision=102))
    assert caller.request().server is server
    assert {world.caller().open().server.name for _ in range(20)} == {"s-2"}


def test_older_routes_never_come_back_into_force():
    world = pair()
    world.balancer.apply_routes(route_table(version=5, service="other"))
    world.balancer.apply_routes(route_table(version=4))
    assert world.balancer.routes.version == 5


def test_a_copy_of_an_opening_packet_goes_to_another_server_if_the_first_is_silent():
    world = pair()
    caller = world.caller()
    first = caller.open()
    world.pass_time(0.2)
    second = caller.open()
    assert second.server is not first.server
    assert second.label == derive_label(second.server.name, 0)


def test_copies_that_waited_with_the_original_open_one_flow():
    """After this process stood still, a packet and its copies are read in one moment."""
    world = pair()
    caller = world.caller()
    assert len({caller.open().server.name for _ in range(3)}) == 1


def test_a_late_copy_does_not_move_an_open_flow():
    world = pair()
    caller = world.caller()
    server = caller.established()
    sequence = caller.sequence - 1
    world.pass_time(0.2)
    assert caller.send(opens=True, sequence=sequence).server is server
    assert caller.request().server is server


def test_two_servers_answer_an_opening_and_the_first_answer_stands():
    world = pair()
    caller = world.caller()
    first = caller.open()
    world.pass_time(0.2)
    second = caller.open()
    caller.take_syn_ack(first)
    caller.label = second.label
    later = caller.request()
    assert later.server is first.server
    assert later.label == first.label


def test_a_port_used_again_by_way_of_another_entry_vm_goes_to_its_new_server():
    world = pair()
    caller = world.caller()
    server = caller.established()
    other = next(name for name in ("s-1", "s-2") if name != server.name)
    caller.label = derive_label(other, 0)
    assert caller.request().server.name == other


def test_flows_of_a_dead_server_are_reset_and_new_ones_go_elsewhere():
    """Replays beschwerde-bayern trouble-2 at 24 s: servers go dark while they are listed."""
    world = FlowWorld(record("s-1"))
    callers = [world.caller() for _ in range(3)]
    for caller in callers:
        caller.established()
    world.apply(written(record("s-2", 101)))
    for caller in callers:
        caller.request()
    assert world.pass_time(0.2) == []
    for caller in callers:
        assert isinstance(caller.send(size=200, sequence=caller.sequence - 200), Forward)
    resets = world.pass_time(0.4)
    assert [reset.flow for reset in resets] == [caller.key for caller in callers]
    assert {world.caller().open().server.name for _ in range(10)} == {"s-2"}


def test_a_full_link_of_this_entry_vm_kills_no_server():
    """Replays svb-gare-grown trouble-1: uploads fill a narrow link."""
    world = FlowWorld(record("s-1"), record("s-2", 2))
    victim, uploads = world.caller(), [world.caller() for _ in range(8)]
    lost_to = victim.established()
    others = [upload for upload in uploads if upload.established() is not lost_to]
    victim.request()
    resets = []
    for pause in (0.2, 0.4, 0.8, 1.6):
        for upload in others[:2]:
            upload.request()
        resets += world.pass_time(pause)
        for upload in others[:2]:
            upload.send(size=200, sequence=upload.sequence - 200)
            upload.take_answer()
        action = victim.send(size=200, sequence=victim.sequence - 200)
        assert isinstance(action, Forward)
    assert resets == []


def test_a_living_server_is_never_taken_for_dead():
    """One caller cannot hear its server; others can, so the server lives."""
    world = FlowWorld(record("s-1"))
    deaf, hearing = world.caller(), world.caller()
    deaf.established()
    hearing.established()
    deaf.request()
    for _ in range(20):
        hearing.request()
        assert world.pass_time(0.2) == []
        hearing.take_answer()
        assert isinstance(deaf.send(size=200, sequence=deaf.sequence - 200), Forward)


def test_silence_while_this_process_stood_still_proves_nothing():
    world = FlowWorld(record("s-1"))
    caller = world.caller()
    caller.established()
    caller.request()
    world.now += 4.0
    assert world.balancer.tick(world.now) == []
    for _ in range(3):
        assert isinstance(caller.send(size=200, sequence=caller.sequence - 200), Forward)


def test_a_server_that_left_the_list_but_answers_keeps_its_flows():
    """Replays a platform that takes entries away though their servers live."""
    world = FlowWorld(record("s-1"))
    caller = world.caller()
    server = caller.established()
    world.apply(removal("s-1", 101))
    for _ in range(20):
        assert caller.request().server is server
        world.pass_time(0.3)
        assert caller.take_answer().server is server


def test_a_server_that_is_back_after_it_was_taken_as_gone_keeps_its_flows():
    """Replays beschwerde-bayern hunt-5b8a-39 at 18.2 s: listed again with an idle flow."""
    world = FlowWorld(record("s-1"))
    caller = world.caller()
    server = caller.established()
    world.apply(removal("s-1", 101))
    world.pass_time(3.0)
    world.confirm()
    world.pass_time(0.2)
    assert server.gone
    world.apply(written(record("s-1", 102)))
    assert isinstance(caller.request(), Forward)
    assert world.caller().open().server.name == "s-1"


def test_waiting_callers_of_a_server_that_is_gone_are_told_at_once():
    world = FlowWorld(record("s-1"))
    caller = world.caller()
    caller.established()
    world.pass_time(0.5)
    world.apply(removal("s-1", 101))
    caller.request()
    world.pass_time(2.6)
    world.confirm()
    resets = world.pass_time(0.1)
    assert [reset.flow for reset in resets] == [caller.key]


def test_a_label_of_no_server_is_refused_once_the_list_is_settled():
    world = pair()
    caller = world.caller()
    caller.label = 12345
    caller.acknowledged = 9000
    assert isinstance(caller.request(), DropPacket)
    world.pass_time(3.0)
    world.confirm()
    assert caller.request() == ResetFlow("label of no server")


def test_forged_labels_take_bounded_memory():
    world = pair()
    caller = world.caller()
    for label in range(1, 3 * MAX_UNKNOWN_LABELS):
        caller.label = label
        caller.request()
    assert len(world.balancer._unknown_labels) <= MAX_UNKNOWN_LABELS


def test_before_the_first_routes_nothing_is_refused():
    world = pair()
    world.balancer._routes = None
    assert isinstance(world.caller().open(), DropPacket)
    assert world.balancer.counters["DropPacket"] == 1


def test_a_server_started_again_under_its_id_gets_another_label():
    world = FlowWorld(record("s-1", born=1))
    caller = world.caller()
    caller.established()
    world.apply(written(record("s-1", 101, born=2)))
    assert caller.request() == ResetFlow("server is dead")
    assert world.caller().open().label == derive_label("s-1", 2)


def test_of_two_servers_with_one_label_the_newer_takes_no_flows():
    index = LabelIndex()
    world = FlowWorld(record("s-1"), record("s-2", 2))
    first, second = world.server("s-1"), world.server("s-2")
    index._servers[derive_label("s-2", 0)] = first
    assert not index.add(second)
    second.separable = False
    assert {world.caller().open().server.name for _ in range(10)} == {"s-1"}


def test_flow_counts_return_to_zero():
    world = pair()
    for _ in range(5):
        caller = world.caller()
        caller.established()
        caller.request()
        caller.take_answer()
        caller.send(closes=True)
    world.pass_time(10.0)
    for name in ("s-1", "s-2"):
        assert world.server(name).open_flows == 0
        assert world.server(name).in_progress == 0


packets = st.builds(
    PacketHeader,
    flow=st.builds(
        FlowKey,
        st.integers(1, 3),
        st.integers(1, 3),
        st.just(0xC6120001),
        st.sampled_from([443, 80]),
    ),
    label=st.sampled_from([0, 1, derive_label("s-1", 0), derive_label("s-2", 0)]),
    opens=st.booleans(),
    closes=st.booleans(),
    aborts=st.booleans(),
    sequence=st.integers(0, 2**32 - 1),
    acknowledged=st.integers(0, 2**32 - 1),
    data_bytes=st.integers(0, 1200),
)
steps = st.one_of(
    packets,
    st.floats(0.0, 5.0),
    st.sampled_from(["remove s-1", "list s-1", "leave s-2"]),
)


@given(st.lists(steps, max_size=60))
def test_any_packets_and_changes_leave_counts_right(script):
    world = pair()
    revision = 200
    for step in script:
        revision += 1
        match step:
            case PacketHeader():
                world.balancer.handle_packet(step, world.now)
            case float():
                world.pass_time(step)
            case "remove s-1":
                world.apply(removal("s-1", revision))
            case "list s-1":
                world.apply(written(record("s-1", revision)))
            case _:
                world.apply(written(record("s-2", revision, state="leaving")))
    world.pass_time(70.0)
    for server in world.balancer.server_list.servers.values():
        assert (server.open_flows, server.in_progress) == (0, 0)
