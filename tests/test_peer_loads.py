"""Entry VMs that report their requests in progress refuse flows only while all queues are long.

Load pattern: a burst of callers fills the queues of all servers. Each entry VM sees a part of it.
"""

import pytest

from marjoramford.opaque_flows.flow_settings import LoadReportSettings, OverloadSettings
from marjoramford.opaque_flows.load_exchanges import LoadExchange
from marjoramford.opaque_flows.overload_controls import OverloadControl, is_queue_full
from marjoramford.opaque_flows.packets import Forward, ResetFlow
from marjoramford.opaque_flows.peer_loads import LoadReport, PeerLoads, choose_receivers
from marjoramford.opaque_flows.routes import Route, RouteTable, WeightedService

from .flow_worlds import ROUTE_IP, ROUTE_PORT, START, FlowWorld, record
from .test_platform_borders import own_group

SERVICES = (WeightedService("booking", 1.0),)
BOARDS = Route(ROUTE_IP, ROUTE_PORT, SERVICES, priority=2, target_seconds=0.25)
HOLDS = Route(ROUTE_IP, ROUTE_PORT + 1, SERVICES, priority=1, target_seconds=0.25)
SETTINGS = LoadReportSettings()


def report(sequence=1, incarnation=1, **counts):
    return LoadReport(incarnation, sequence, {int(k[1:]): v for k, v in counts.items()})


def test_reports_add_up_and_lapse():
    loads = PeerLoads(SETTINGS)
    assert loads.record("front-2", report(s7=2), START)
    assert loads.record("front-3", report(s7=1, s8=4), START + 0.5)
    assert (loads.count_reporting(START + 0.5), loads.count_requests(7, START + 0.5)) == (2, 3)
    late = START + SETTINGS.ttl_seconds + 0.1
    assert (loads.count_reporting(late), loads.count_requests(7, late)) == (1, 1)


def test_an_earlier_report_of_a_sender_changes_nothing():
    """Datagrams may overtake each other, and a restarted entry VM counts anew."""
    loads = PeerLoads(SETTINGS)
    loads.record("front-2", report(sequence=5, s7=2), START)
    assert not loads.record("front-2", report(sequence=4, s7=9), START)
    assert not loads.record("front-2", report(sequence=5, s7=9), START)
    assert loads.record("front-2", report(incarnation=2, sequence=1, s7=1), START)
    assert not loads.record("front-2", report(incarnation=1, sequence=9, s7=9), START)
    assert loads.count_requests(7, START) == 1


def test_reports_are_made_only_under_load_and_for_some_time_after_it():
    loads = PeerLoads(SETTINGS)
    assert loads.make_report(1, {7: 1}, False, START) is None
    assert loads.make_report(1, {7: 1}, True, START).counts == {7: 1}
    assert loads.make_report(1, {}, False, START + 0.5).sequence == 2
    assert loads.make_report(1, {}, False, START + 1.1) is None


def test_each_entry_vm_of_a_large_fleet_gets_as_many_reports():
    names = [f"front-{number}" for number in range(40)]
    receivers = [name for own in names for name in choose_receivers(own, names, 7)]
    assert {receivers.count(name) for name in names} == {7}
    assert set(choose_receivers("front-0", names[:8], 7)) == set(names[1:8])


@pytest.mark.parametrize(
    ("loads", "full"),
    [
        ([1.5, 1.5, 2.5], True),
        ([1.5, 1.5, 1.5], False),
        ([1.0, 3.0, 3.0], False),
        ([], False),
    ],
)
def test_queues_are_full_if_all_are_long(loads, full):
    assert is_queue_full(loads, 1.5) == full


def test_the_less_important_route_is_refused_at_shorter_queues():
    control = OverloadControl(OverloadSettings())
    control.update_by_loads([0.5])
    for _ in range(100):
        control.record_answer("s-1", BOARDS, 0.06, START)
        control.record_answer("s-1", HOLDS, 0.06, START)
    for _ in range(100):
        control.update_by_loads([6.0])
    for load, boards, holds in ((1.5, False, False), (2.0, True, False), (5.0, True, True)):
        assert control.refuses_by_loads(BOARDS, [load], START) == boards
        assert control.refuses_by_loads(HOLDS, [load], START) == holds


def test_a_wave_is_allowed_longer_queues_than_overload_that_lasts():
    control = OverloadControl(OverloadSettings())
    control.update_by_loads([0.5])
    for _ in range(100):
        control.record_answer("s-1", BOARDS, 0.1, START)
    assert not control.refuses_by_loads(BOARDS, [3.0], START)
    assert control.refuses_by_loads(BOARDS, [3.5], START)
    for _ in range(100):
        control.update_by_loads([2.5])
    assert control.refuses_by_loads(BOARDS, [2.0], START)


def test_quick_refusals_of_full_servers_do_not_make_queues_seem_short():
    """Answers count as those of free servers only while the loads are known and low."""
    control = OverloadControl(OverloadSettings())
    for loads in ([], [3.0]):
        control.update_by_loads(loads)
        for _ in range(100):
            control.record_answer("s-1", BOARDS, 0.007, START)
    for _ in range(100):
        control.update_by_loads([3.0])
    assert control.refuses_by_loads(BOARDS, [2.0], START)


@pytest.fixture
def busy_world():
    """An entry VM of eight with regular traffic and two requests in progress of its own."""
    world = FlowWorld(record("s-1"), record("s-2"))
    world.balancer.installed_routes.apply(RouteTable(2, (BOARDS,), 15.0))
    world.balancer.admission.entry_vm_count = 8
    for _ in range(20):
        caller = world.caller()
        caller.establish()
        caller.request()
        world.now += 0.01
        caller.receive_answer()
    world.advance(0.1)
    return world


def report_to(world, count, senders, sequence):
    labels = list(world.balancer.server_list.labels._servers)
    for number in range(senders):
        report = LoadReport(1, sequence, dict.fromkeys(labels, count))
        world.balancer.admission.peer_loads.record(f"front-{number + 2}", report, world.now)


def test_a_flow_is_refused_by_what_the_others_report(busy_world):
    """None of these requests goes through this entry VM."""
    report_to(busy_world, 1, 7, 1)
    assert isinstance(busy_world.caller().open(), ResetFlow)
    busy_world.now += 0.2
    report_to(busy_world, 0, 7, 2)
    assert isinstance(busy_world.caller().open(), Forward)


def test_no_flow_is_refused_while_some_do_not_report(busy_world):
    report_to(busy_world, 9, 6, 1)
    assert isinstance(busy_world.caller().open(), Forward)


@pytest.fixture
def sampled_world(busy_world):
    """The same in a fleet of thirty, of which seven report to this one; answers are slow."""
    world = busy_world
    world.balancer.admission.entry_vm_count = 30
    for _ in range(8):
        caller = world.caller()
        caller.establish()
        caller.request()
        world.advance(0.1)
        world.advance(0.1)
        caller.receive_answer()
    return world


def advance_reported(world, count, senders=7):
    """Lets entry VMs report for half a second, so that the levels follow."""
    for sequence in range(5):
        report_to(world, count, senders, sequence + 10 * count + 1)
        world.advance(0.1)


def test_a_part_of_a_large_fleet_shows_its_overload(sampled_world):
    world = sampled_world
    advance_reported(world, 1)
    # Seven requests at each of two slots, and 30 entry VMs of which eight are known.
    assert isinstance(world.caller().open(), ResetFlow)
    world.advance(0.8)
    advance_reported(world, 1, senders=3)
    assert isinstance(world.caller().open(), Forward)


def test_a_large_fleet_refuses_nothing_while_answers_are_in_time(busy_world):
    """Where full queues are worked off within the target latency, refusals gain nothing."""
    busy_world.balancer.admission.entry_vm_count = 30
    advance_reported(busy_world, 1)
    assert isinstance(busy_world.caller().open(), Forward)


def test_flows_are_placed_by_the_reports_of_a_part_of_a_large_fleet(busy_world):
    admission, server_list = busy_world.balancer.admission, busy_world.balancer.server_list
    admission.entry_vm_count = 30
    busy, idle = server_list.labels._servers
    for number in range(4):
        admission.peer_loads.record(f"front-{number}", LoadReport(1, 1, {busy: 2}), busy_world.now)
    chosen = {busy_world.caller().open().server.name for _ in range(4)}
    assert chosen == {server_list.labels.find(idle).name}


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x92\x01\x01", b"\x93\x01\x01\x80"])
def test_reports_of_unknown_senders_and_malformed_ones_are_rejected(payload):
    world = FlowWorld(record("s-1"))
    exchange = LoadExchange.__new__(LoadExchange)
    exchange._balancer, exchange._group = world.balancer, own_group()
    assert not exchange.handle(payload, "127.0.0.9")
    assert world.balancer.counters["load_reports_rejected"] == 1
    assert world.balancer.admission.peer_loads.count_reporting(world.now) == 0
