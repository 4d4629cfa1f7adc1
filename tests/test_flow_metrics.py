"""Metrics, state dump and log of an entry VM for opaque flows."""

import json
import logging
import os
from random import Random

import pytest

from marjoramford.commands import Commands
from marjoramford.deferrals import run_deferred
from marjoramford.evaluations.tables import render_zones
from marjoramford.opaque_flows.flow_dumps import dump_state
from marjoramford.opaque_flows.flow_metrics import render_flow_metrics
from marjoramford.opaque_flows.peer_groups import PeerGroup
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm
from marjoramford.shared.logs import LogEvent, NonBlockingHandler, PlainFormatter, log_event

from .flow_worlds import SETTINGS, FlowWorld, drain, record, removal, snapshot


def busy_world():
    world = FlowWorld(record("s-1"))
    caller = world.caller()
    caller.establish()
    caller.request()
    world.now += 0.03
    caller.receive_answer()
    return world


def test_metrics_count_actions_and_time_answers():
    text = render_flow_metrics(busy_world().balancer).decode()
    assert 'marjoramford_packet_events_total{name="Forward"} 4.0' in text
    assert 'marjoramford_flow_answer_seconds_bucket{le="0.05"} 2.0' in text
    assert 'marjoramford_flow_answer_seconds_bucket{le="0.02"} 1.0' in text
    assert "marjoramford_ready 1.0" in text


def test_the_dump_names_servers_flows_and_entry_vms():
    own = Address("127.0.0.1", 3)
    group = PeerGroup(EntryVm("front-1", 1, "a", own, own), (), SETTINGS.peers, Random(1))
    dump = json.loads(dump_state(busy_world().balancer, group))
    assert dump["ready"] is True
    assert dump["backend_servers"][0]["open_flows"] == 1
    assert dump["flows"][0]["server"] == "s-1"
    assert dump["entry_vms"] == []


def test_the_era_of_the_list_is_a_gauge_and_in_the_dump():
    world = busy_world()
    assert "marjoramford_list_era 0.0" in render_flow_metrics(world.balancer).decode()
    world.apply(snapshot(record("s-1"), revision=7, era=3))
    assert "marjoramford_list_era 3.0" in render_flow_metrics(world.balancer).decode()
    own = Address("127.0.0.1", 3)
    group = PeerGroup(EntryVm("front-1", 1, "a", own, own), (), SETTINGS.peers, Random(1))
    dump = json.loads(dump_state(world.balancer, group))
    assert (dump["list_era"], dump["list_revision"], dump["routes_era"]) == (3, 7, 0)


def dump_of(world):
    own = Address("127.0.0.1", 3)
    group = PeerGroup(EntryVm("front-1", 1, "a", own, own), (), SETTINGS.peers, Random(1))
    return json.loads(dump_state(world.balancer, group))


def drained_world():
    """Zone a is drained and has one server that is gone; the drain of a zone without servers."""
    world = FlowWorld(record("s-1"), record("s-2", 2), record("s-3", 3, zone="b"))
    world.apply(removal("s-2", 101))
    world.advance(3.0)
    world.confirm()
    world.advance(0.1)
    world.apply(drain("a", 102))
    world.apply(drain("nowhere", 103))
    return world


def test_drained_zones_are_gauges():
    world = drained_world()
    assert world.caller().open().server.name == "s-3"
    text = render_flow_metrics(world.balancer).decode()
    for line in ('{zone="a"} 1.0', '{zone="b"} 0.0', '{zone="nowhere"} 1.0'):
        assert f"marjoramford_zone_drained{line}" in text
    world.apply(drain("b", 104))
    world.caller().open()
    text = render_flow_metrics(world.balancer).decode()
    assert 'marjoramford_packet_events_total{name="refused_zone_drained"} 1.0' in text


def test_the_dump_and_the_table_of_zones_show_drains():
    dump = dump_of(drained_world())
    drained = [(d["zone"], d["servers"], d["era"], d["revision"]) for d in dump["drained_zones"]]
    assert drained == [("a", 1, 0, 102), ("nowhere", 0, 0, 103)]
    for zone in dump["drained_zones"]:
        zone["seconds"] = 12.34
    assert [line.split() for line in render_zones(dump).splitlines()] == [
        ["zone", "servers", "accept", "flows", "drained", "for", "by", "version"],
        ["a", "1", "0", "12.3", "s", "0.102"],
        ["b", "1", "1", "-", "-"],
        ["nowhere", "0", "0", "12.3", "s", "0.103"],
    ]


def test_the_command_prints_the_zones_of_an_entry_vm(monkeypatch, capsys):
    dumps = [dump_of(drained_world()), {"backend_servers": []}]
    monkeypatch.setattr("marjoramford.commands._get_json", lambda at, path: dumps.pop(0))
    Commands().zones("127.0.0.1:7000")
    run_deferred()
    assert "nowhere" in capsys.readouterr().out
    Commands().zones("127.0.0.1:7000")
    with pytest.raises(SystemExit):
        run_deferred()
    assert "knows no drains" in capsys.readouterr().err


def test_a_restore_is_logged_with_what_changed(caplog):
    logging.getLogger("marjoramford").propagate = True
    world = FlowWorld(record("s-1"), record("s-2"))
    with caplog.at_level(logging.INFO, logger="marjoramford"):
        world.apply(snapshot(record("s-1"), revision=7, era=1))
    replaced = [line for line in caplog.records if line.event == LogEvent.LIST_REPLACED]
    assert [(str(line.fields["version"]), line.fields["missing"]) for line in replaced] == [
        ("1.7", 1)
    ]


def test_log_events_of_a_flow_name_it_and_the_inputs_of_the_decision(caplog):
    logging.getLogger("marjoramford").propagate = True
    with caplog.at_level(logging.INFO, logger="marjoramford"):
        busy_world()
    placed = [line for line in caplog.records if line.event == LogEvent.FLOW_PLACED]
    assert placed[0].fields["flow"] == "100.64.0.7:1001>198.18.0.1:443"
    assert {"server", "routes", "revision", "list_age"} <= placed[0].fields.keys()


def test_a_full_pipe_drops_lines_and_never_blocks():
    reading, writing = os.pipe()
    handler = NonBlockingHandler(writing)
    handler.setFormatter(PlainFormatter())
    logger = logging.getLogger("test_full_pipe")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    for _ in range(2000):
        log_event(logger, LogEvent.FLOW_PLACED, flow="x" * 200)
    assert handler.dropped > 0
    os.read(reading, 65_536)
    before = handler.dropped
    log_event(logger, LogEvent.FLOW_PLACED, flow="y")
    assert handler.dropped == before
    logger.removeHandler(handler)
    os.close(reading)
    os.close(writing)
