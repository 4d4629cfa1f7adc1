"""Cases of docs/design/reported-faults.md that no other test shows."""

import asyncio
from random import Random
from types import SimpleNamespace

import msgspec

from marjoramford.opaque_flows import state_publishers
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.published_states import apply_state, decode_state
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.shared.records import VmRecord
from marjoramford.token_flows.events import AnswerReceived, ProbeFailed, VmListRead
from marjoramford.token_flows.messages import Answer

from .flow_worlds import SETTINGS, START, FlowWorld, record, removal, snapshot
from .token_cores import NOW, SERVICE, ZONE, TokenCore, dispatches, messages


def test_a_request_goes_on_while_its_server_is_thought_lost():
    """Guards against giving up or repeating running work of a server that reports late."""
    core = TokenCore(servers=("s1", "s2"))
    (running,) = dispatches(core.request(core.open_flow()))
    others = []
    for _ in range(5):
        others += core.balancer.handle(ProbeFailed(running.server, 1), NOW + 1.0)
    gone = VmRecord(
        running.server, 200, 1, "server", ZONE, "10.0.0.9", 1, 3, service=SERVICE, state="gone"
    )
    others += core.balancer.handle(VmListRead((msgspec.json.encode(gone),), 200), NOW + 2.0)
    assert others == []
    answered = core.end(running, AnswerReceived(b"done"), NOW + 3.0)
    assert [type(message) for message in messages(answered)] == [Answer]


def test_an_entry_vm_that_starts_after_a_restore_avoids_the_servers_that_its_peer_avoids(
    monkeypatch,
):
    """Guards against using a server that had left, because a restored copy lists it again."""
    peer = FlowWorld(record("s-1"), record("s-2", 2))
    peer.apply(removal("s-1", 101))
    for _ in range(30):
        peer.advance(0.1)
        peer.confirm()
    peer.apply(snapshot(record("s-1"), record("s-2", 2), revision=50, era=1))
    assert not peer.server("s-1").accepts_work
    monkeypatch.setattr(state_publishers, "time", SimpleNamespace(monotonic=lambda: peer.now))
    body = asyncio.run(StatePublisher(peer.balancer).answer(0, 0, 0.0, era=0, routes_era=0))
    started = FlowBalancer(SETTINGS, Random(1), START)
    assert apply_state(decode_state(body).unwrap(), started, START)
    usable = [each.name for each in started.server_list.servers.values() if each.accepts_work]
    assert usable == ["s-2"]
