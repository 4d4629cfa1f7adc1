"""Opaque flows on the emulated platform, and proof that each check notices what it is for."""

import json
import subprocess
import sys

import pytest

from marjoramford.backend_servers import BackendServer
from marjoramford.flow_balancers import FlowBalancer
from marjoramford.packet_experiments import PacketExperiment, PacketPlan
from marjoramford.platform.packets import PlatformCodec
from marjoramford.routes import Route
from marjoramford.standins.deployments import DEPLOYMENTS, HERITAGE
from marjoramford.standins.packet_endpoints import Packet
from marjoramford.standins.packet_servers import PacketServer
from marjoramford.standins.packet_worlds import ROUTE_IP, FlowHash, PacketWorldSettings

RUN_SECONDS = 20.0


def run(deployment=HERITAGE, seed=1, faults="none", seconds=RUN_SECONDS, settings=None, **options):
    plan = PacketPlan(deployment, seed, seconds, faults, **options)
    return PacketExperiment(plan, settings).run()


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_a_calm_day_is_served_in_aim(name):
    measures = run(DEPLOYMENTS[name])
    assert measures.promises_kept, measures.findings
    assert measures.worth == 1.0


@pytest.mark.parametrize("name", DEPLOYMENTS)
@pytest.mark.parametrize("flow_hash", FlowHash)
def test_planned_changes_break_nothing_and_delay_nothing(name, flow_hash):
    settings = PacketWorldSettings(flow_hash=flow_hash)
    measures = run(DEPLOYMENTS[name], faults="planned", settings=settings, fault_interval=2.0)
    assert measures.promises_kept, measures.findings
    assert measures.worth >= 0.99


@pytest.mark.parametrize("name", DEPLOYMENTS)
@pytest.mark.parametrize("seed", range(1, 5))
def test_failures_break_no_promise(name, seed):
    measures = run(DEPLOYMENTS[name], seed, "all", 40.0, fault_interval=3.0)
    assert measures.promises_kept, measures.findings


def test_lost_datagrams_break_no_promise():
    measures = run(faults="all", settings=PacketWorldSettings(loss=0.02))
    assert measures.promises_kept, measures.findings


def test_a_run_is_the_same_every_time():
    assert run(seed=5, faults="all") == run(seed=5, faults="all")


def test_the_command_prints_one_line_a_run():
    command = [sys.executable, "-m", "marjoramford", "experiment", "--opaque", "--runs=2"]
    result = subprocess.run([*command, "--seconds=5"], capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert [line["seed"] for line in lines] == [1, 2]


# Each of these plants a fault and expects its check to notice it.


def test_notices_a_reset_of_a_living_server_s_flow(monkeypatch):
    def is_dead(self, flow, now):
        return flow.waiting_since is not None and flow.key.caller_port % 7 == 0

    monkeypatch.setattr(FlowBalancer, "_is_dead", is_dead)
    assert run().findings.broken["FLOW"]


def test_notices_packets_that_go_to_another_server():
    experiment = PacketExperiment(PacketPlan(HERITAGE, 1, RUN_SECONDS))
    world = experiment.world
    world.run_until(world.now + 12.0)
    caller = world.callers[HERITAGE.zones[0]][0]
    flow = caller.new_flow(ROUTE_IP, world.ports["booking"])
    caller.open(flow, lambda _opened: None)
    world.run_until(world.now + 0.1)
    other = next(s for s in world.running_servers("booking") if not s.has_open_flow(flow.key))
    packet = Packet(*flow.key, 0, 0, 1, 1)
    world.checker.on_packet_sent(packet)
    for _ in range(3):
        world.checker.on_packet_received(other, packet)
        world.run_until(world.now + 1.5)
    world.checker.on_packet_received(other, packet)
    assert world.checker.findings.broken == {"FLOW": 1}


def test_notices_an_answer_to_another_request(monkeypatch):
    answer = PacketServer._answer

    def answer_another(self, work, result):
        name = work.request.replace("1", "2")
        answer(self, type(work)(work.key, work.flow, name), result)

    monkeypatch.setattr(PacketServer, "_answer", answer_another)
    assert run().findings.broken["MIXED"]


def test_notices_a_packet_that_was_changed_on_the_way(monkeypatch):
    encode = PlatformCodec.encode_forwarded

    def encode_changed(self, datagram, forward):
        return encode(self, datagram[:-1] + b"!", forward)

    monkeypatch.setattr(PlatformCodec, "encode_forwarded", encode_changed)
    assert run().findings.broken["UNASKED"]


def test_notices_a_request_at_another_service(monkeypatch):
    monkeypatch.setattr(Route, "choose_service", lambda self, random: "manifest")
    assert run().findings.broken["ROUTE"]


def test_notices_routes_that_are_late(monkeypatch):
    apply_routes = FlowBalancer.apply_routes

    def take_first_only(self, table):
        if self.routes is None:
            apply_routes(self, table)

    monkeypatch.setattr(FlowBalancer, "apply_routes", take_first_only)
    assert run(seconds=40.0, faults="planned").findings.broken["CONFIG"]


def test_notices_routes_that_go_back(monkeypatch):
    apply_routes = FlowBalancer.apply_routes
    tables = []

    def take_any(self, table):
        tables.append(table)
        self._routes = None
        old = table.version > 3 and len(tables) % 40 < 8
        apply_routes(
            self, next(t for t in tables if t.version > table.version - 4) if old else table
        )

    monkeypatch.setattr(FlowBalancer, "apply_routes", take_any)
    notes = run(seconds=40.0, faults="planned").findings.notes
    assert any("went back" in note for note in notes), notes


def test_notices_new_flows_at_a_leaving_server(monkeypatch):
    monkeypatch.setattr(BackendServer, "start_leaving", lambda self, signal: None)
    findings = run(seconds=40.0, faults="planned", fault_interval=1.0).findings
    assert findings.broken["DRAIN"]


def test_notices_a_request_that_runs_twice(monkeypatch):
    accept = PacketServer._accept

    def accept_twice(self, work):
        accept(self, work)
        accept(self, work)

    monkeypatch.setattr(PacketServer, "_accept", accept_twice)
    assert run().findings.broken["TWICE"]


def test_notices_a_refusal_though_the_route_is_there(monkeypatch):
    monkeypatch.setattr(FlowBalancer, "_place", lambda self, service, avoided, now: None)
    assert run(load=0.1).findings.broken["CONFIG"]
