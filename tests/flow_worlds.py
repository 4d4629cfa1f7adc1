"""Builders of records, routes, packets and balancers for the tests of opaque flows."""

from random import Random

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.flow_labels import derive_label
from marjoramford.opaque_flows.flow_settings import PacketVmSettings
from marjoramford.opaque_flows.packets import FlowKey, PacketHeader
from marjoramford.opaque_flows.routes import Route, RouteTable, WeightedService
from marjoramford.opaque_flows.server_lists import ListChanges
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.opaque_flows.zone_drains import ZoneDrain
from marjoramford.shared.records import VmRecord

ROUTE_IP = 0xC6120001
ROUTE_PORT = 443
START = 1000.0
SETTINGS = PacketVmSettings(
    name="front-1",
    zone="a",
    packet_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    control_address="127.0.0.1:3",
    platform="127.0.0.1:4",
)


def record(name="s-1", revision=1, zone="a", state="live", born=0, service="booking", **other):
    return VmRecord(
        name=name,
        revision=revision,
        incarnation=born,
        role="server",
        zone=zone,
        host="127.0.0.9",
        data_port=int(name.rpartition("-")[2], 16) % 60_000 + 1,
        http_port=1,
        service=service,
        slots=2,
        state=state,
        **other,
    )


def route_table(version=1, service="booking", idle_timeout=15.0, era=0):
    route = Route(ROUTE_IP, ROUTE_PORT, (WeightedService(service, 1.0),))
    return RouteTable(version, (route,), idle_timeout, era)


def snapshot(*records, revision=100, era=0):
    return ListChanges(tuple(records), (), True, StateVersion(era, revision))


def removal(name, revision, era=0):
    return ListChanges((), ((name, revision),), False, StateVersion(era, revision))


def upsert(entry, era=0):
    return ListChanges((entry,), (), False, StateVersion(era, entry.revision))


def drain(zone, revision, drained=True, era=0):
    """A delta in which the drain of one zone begins or ends."""
    change = ZoneDrain(zone, revision, drained)
    return ListChanges((), (), False, StateVersion(era, revision), (change,))


class FlowWorld:
    """A balancer with a simulated clock, and callers with distinct ports."""

    def __init__(self, *records, settings=SETTINGS, seed=1, start=START):
        self.now = start
        self.balancer = FlowBalancer(settings, Random(seed), self.now)
        self.balancer.installed_routes.apply(route_table())
        self.apply(snapshot(*records))
        self._next_port = 1000

    def apply(self, changes):
        self.balancer.server_list.apply(changes, self.now)
        self.confirm()

    def confirm(self):
        """Confirms the server list, as an answer of the platform without changes does."""
        self.balancer.server_list.confirm(self.now)

    def advance(self, seconds):
        """Advances the clock with ticks every 0.1 s; returns the resets of all ticks."""
        resets = []
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.1)
            resets += self.balancer.tick(self.now)
        return resets

    def caller(self):
        self._next_port += 1
        return Caller(self, FlowKey(0x64400007, self._next_port, ROUTE_IP, ROUTE_PORT))

    def server(self, name):
        return self.balancer.server_list.servers.get(name)


class Caller:
    """The caller's endpoint of one flow."""

    def __init__(self, world, key):
        self.world = world
        self.key = key
        self.label = 0
        self.sequence = 5000
        self.acknowledged = 0

    def send(self, opens=False, size=0, sequence=None, closes=False, aborts=False):
        sequence = self.sequence if sequence is None else sequence
        header = PacketHeader(
            self.key, self.label, opens, closes, aborts, sequence, self.acknowledged, size
        )
        return self.world.balancer.handle_packet(header, self.world.now)

    def open(self):
        return self.send(opens=True)

    def receive_syn_ack(self, forward):
        """Receives the server's answer to the opening packet and acknowledges it."""
        self.label = derive_label(forward.server.name, forward.server.incarnation)
        self.sequence += 1
        self.acknowledged = 9000
        return self.send()

    def establish(self):
        forward = self.open()
        self.world.now += 0.005
        self.receive_syn_ack(forward)
        return forward.server

    def request(self, size=200):
        action = self.send(size=size)
        self.sequence += size
        return action

    def receive_answer(self, size=600):
        self.acknowledged += size
        return self.send()
