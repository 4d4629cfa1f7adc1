"""Gossip between entry VMs: what a round carries and what it keeps for the next one."""

import msgspec

from marjoramford.token_flows.actions import SendGossip
from marjoramford.token_flows.events import Tick
from marjoramford.token_flows.gossips import MAX_LEASES, GossipMessage
from marjoramford.token_flows.limits import LimitRequest, Resource

from .token_cores import NOW, TokenCore


def wants(actions):
    """Returns the services of the limit requests in the gossip among actions."""
    messages = [
        msgspec.json.decode(action.payload, type=GossipMessage)
        for action in actions
        if isinstance(action, SendGossip)
    ]
    return {request.service for message in messages for request in message.wants}


def settle(core):
    """Runs the first rounds, which send the records to the peers."""
    for tenth in range(20):
        core.balancer.handle(Tick(), NOW + tenth / 10)
    return NOW + 2.0


def test_a_limit_request_survives_a_round_that_the_byte_budget_does_not_cover():
    core = TokenCore(peers=("entry-2", "entry-3"))
    node, now = core.balancer.node, settle(core)
    bucket = node.control_bytes
    bucket.charge(bucket.level(now) + node.settings.control.bytes_per_second, now)
    node.request_limit(LimitRequest("booking", Resource.LOAD, 3))
    assert wants(core.balancer.handle(Tick(), now)) == set()
    sent = [wants(core.balancer.handle(Tick(), now + tenth / 10)) for tenth in range(1, 60)]
    assert {"booking"} in sent


def test_limit_requests_beyond_one_message_are_sent_with_the_next_rounds():
    core = TokenCore(peers=("entry-2", "entry-3"))
    node, now = core.balancer.node, settle(core)
    services = {f"service-{number}" for number in range(MAX_LEASES + 8)}
    for service in services:
        node.request_limit(LimitRequest(service, Resource.LOAD, 1))
    sent = set()
    for tenth in range(60):
        sent |= wants(core.balancer.handle(Tick(), now + tenth / 10))
    assert sent == services
    assert not node.limit_requests
