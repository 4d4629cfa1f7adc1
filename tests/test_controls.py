"""The control server: its answers to peers, operators and scrapers, and what it rejects."""

import asyncio
from random import Random

import pytest
from aiohttp.test_utils import TestClient, TestServer

from marjoramford.shared.addresses import Address
from marjoramford.token_flows.balancers import Balancer, Identity
from marjoramford.token_flows.controls import MAX_BODY_BYTES, ControlServer
from marjoramford.token_flows.cores import Core
from marjoramford.token_flows.keys import KeyRing
from marjoramford.token_flows.seals import SEAL_HEADER, seal_header
from marjoramford.token_flows.settings import CoreSettings

KEYS = KeyRing({1: b"k" * 16}, 1)
OTHER_KEYS = KeyRing({1: b"o" * 16}, 1)


def make_core() -> Core:
    identity = Identity("entry-1", 1, "z", Address("10.0.0.1", 2), Address("10.0.0.1", 3))
    return Core(Balancer(identity, CoreSettings(), KEYS, Random(1), 0.0, strict=True))


def ask(core, method, path, **options):
    """Sends one request to a control server; returns the status and text of the response."""

    async def run():
        server = ControlServer(core, KEYS, CoreSettings().times)
        async with TestClient(TestServer(server.make_app())) as client:
            response = await client.request(method, path, **options)
            return response.status, await response.text()

    return asyncio.run(run())


@pytest.mark.parametrize("path", ["/v1/gossip", "/v1/handover"])
@pytest.mark.parametrize(
    ("body", "headers", "status"),
    [
        (b"{}", {}, 403),
        (b"{}", {SEAL_HEADER: "zz"}, 403),
        (b"{}", seal_header(b"{}", OTHER_KEYS), 403),
        (b"{}", seal_header(b"[]", KEYS), 403),
        (bytes(MAX_BODY_BYTES + 1), {}, 413),
    ],
)
def test_a_body_without_the_seal_of_a_peer_is_rejected(path, body, headers, status):
    core = make_core()
    assert ask(core, "POST", path, data=body, headers=headers)[0] == status
    assert len(core.balancer.node.entry_vms) == 0


def test_a_malformed_body_from_a_peer_is_rejected_and_counted():
    core = make_core()
    headers = seal_header(b"{", KEYS)
    assert ask(core, "POST", "/v1/gossip", data=b"{", headers=headers)[0] == 400
    assert core.balancer.node.counters["gossip_rejected"] == 1


def test_metrics_and_state_are_served():
    core = make_core()
    core.balancer.node.counters["requests"] = 3
    status, text = ask(core, "GET", "/metrics")
    assert status == 200
    assert 'marjoramford_events_total{name="requests"} 3.0' in text
    assert "marjoramford_flows 0.0" in text
    status, text = ask(core, "GET", "/v1/state")
    assert status == 200
    assert '"name":"entry-1"' in text


def test_a_drain_request_starts_draining():
    core = make_core()
    assert ask(core, "POST", "/v1/drain")[0] == 202
    assert core.balancer.is_draining
