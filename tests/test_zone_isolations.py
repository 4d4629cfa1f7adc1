"""A drained zone that loses its links to all other zones.

Guards against callers of that zone who wait until their deadline: its entry VMs reach no server
that takes new flows, but stay in rotation, while those of other zones could serve.
"""

from marjoramford.flow_settings import IsolationSettings
from marjoramford.server_lists import ListChanges
from marjoramford.state_versions import StateVersion
from marjoramford.zone_drains import ZoneDrain
from marjoramford.zone_isolations import IsolationMonitor

from .flow_worlds import START, FlowWorld, record

SERVERS = [record(f"s-{number}", zone="b") for number in range(1, 5)]
SETTINGS = IsolationSettings()


def drain(world, drained, revision):
    version = StateVersion(0, revision)
    world.apply(ListChanges((), (), False, version, (ZoneDrain("a", revision, drained),)))


def waiting_callers(world, count=8):
    """Callers who sent a request on an open flow just now."""
    callers = [world.caller() for _ in range(count)]
    for caller in callers:
        caller.receive_syn_ack(caller.open())
        caller.send(size=100)
    return callers


def retransmit(world, callers):
    """Plays the callers' retransmissions after 0.2, 0.6 and 1.4 s without any answer."""
    for seconds in (0.25, 0.4, 0.8):
        world.advance(seconds)
        for caller in callers:
            caller.send(size=100)
    world.advance(0.1)


def test_an_entry_vm_of_a_drained_zone_that_reaches_no_server_is_not_ready():
    world = FlowWorld(record("s-9", zone="a"), *SERVERS)
    drain(world, True, 101)
    retransmit(world, waiting_callers(world))
    assert not world.balancer.ready


def test_an_entry_vm_whose_zone_is_not_drained_stays_ready():
    world = FlowWorld(*SERVERS)
    retransmit(world, waiting_callers(world))
    assert world.balancer.ready


def test_one_answer_of_any_server_keeps_it_ready():
    world = FlowWorld(*SERVERS)
    drain(world, True, 101)
    callers = waiting_callers(world)
    for seconds in (0.25, 0.4, 0.8, 1.6):
        world.advance(seconds)
        for caller in callers[1:]:
            caller.send(size=100)
        callers[0].acknowledged += 10
        callers[0].send(size=0)
        assert world.balancer.ready


def test_it_is_ready_again_when_the_drain_ends():
    world = FlowWorld(*SERVERS)
    drain(world, True, 101)
    retransmit(world, waiting_callers(world))
    drain(world, False, 102)
    world.advance(0.1)
    assert world.balancer.ready


def isolated_monitor():
    monitor = IsolationMonitor(SETTINGS)
    for server in ("s-1", "s-2", "s-3"):
        monitor.record_retransmission(server, START, True)
    monitor.update(True, START, START + SETTINGS.silent_seconds)
    assert monitor.isolation is not None
    return monitor, START + SETTINGS.silent_seconds


def test_it_stays_out_of_rotation_until_the_platform_answers_again():
    """Without packets no server can answer, so the platform shows the end of the cut."""
    monitor, began_at = isolated_monitor()
    monitor.update(True, began_at - 0.5, began_at + 60.0)
    assert monitor.isolation is not None
    monitor.update(True, began_at + 59.0, began_at + 60.0)
    assert monitor.isolation is None


def test_it_stays_out_of_rotation_for_a_while_if_the_platform_answers_all_the_time():
    monitor, began_at = isolated_monitor()
    monitor.update(True, began_at + 2.0, began_at + SETTINGS.min_seconds - 0.1)
    assert monitor.isolation is not None
    monitor.update(True, began_at + 2.0, began_at + SETTINGS.min_seconds)
    assert monitor.isolation is None


def test_a_few_silent_servers_or_a_short_silence_prove_nothing():
    monitor = IsolationMonitor(SETTINGS)
    monitor.record_retransmission("s-1", START, True)
    monitor.record_retransmission("s-2", START, True)
    monitor.update(True, START, START + 9.0)
    assert monitor.isolation is None
    monitor.record_retransmission("s-3", START + 8.9, True)
    monitor.discard_evidence()
    monitor.record_retransmission("s-3", START + 8.9, True)
    monitor.update(True, START, START + 9.0)
    assert monitor.isolation is None


def test_callers_served_in_the_drained_zone_count_against_a_withdrawal():
    monitor = IsolationMonitor(SETTINGS)
    for server in ("s-1", "s-2", "s-3"):
        monitor.record_retransmission(server, START, True)
    for _ in range(3):
        monitor.record_answer(in_own_zone=True)
    monitor.update(True, START, START + SETTINGS.silent_seconds)
    assert monitor.isolation is None
    monitor.record_retransmission("s-1", START, True)
    monitor.update(True, START, START + SETTINGS.silent_seconds)
    assert monitor.isolation is not None
