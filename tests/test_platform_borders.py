"""Invalid input from outside never ends a task of an entry VM for opaque flows."""

import asyncio
import json
from base64 import b64encode
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.http_calls import HttpClient
from marjoramford.opaque_flows.http_messages import HttpReply, HttpRequest
from marjoramford.opaque_flows.http_services import HttpResponse, serve_http
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.peer_groups import PeerGroup
from marjoramford.opaque_flows.published_states import PublishedState
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.opaque_flows.state_readers import MemberExchange, StateReader, merge_members
from marjoramford.platform.entries import StoreItem, decode_routes, decode_server
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm
from marjoramford.shared.errors import Step
from marjoramford.shared.records import VmRecord

from .flow_worlds import SETTINGS, FlowWorld, record
from .test_platform_packets import CONFIG, SERVER

HOST = "127.0.0.1"
NESTED = b'[{"x":' + b"[" * 100_000
NESTED_FIELD = b'{"x":' + b"[" * 100_000


def item(value, key="servers/i-1"):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreItem(key, 1, b64encode(raw).decode())


async def serve_body(body):
    """Answers every request with `body`; returns the server and its address."""

    async def answer(_request):
        return HttpResponse(200, body)

    server = await serve_http(Address(HOST, 0), answer)
    return server, Address(HOST, server.sockets[0].getsockname()[1])


def own_group(seeds=()):
    own = Address(HOST, 9)
    return PeerGroup(EntryVm("front-1", 1, "a", own, own), seeds, SETTINGS.peers, Random(1))


def make_vm():
    return PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: None)


def test_a_deeply_nested_entry_is_rejected():
    assert decode_server(item(NESTED_FIELD), 0.0).is_err()
    assert decode_routes(item(NESTED_FIELD, key="op/config")).is_err()


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("servers/\u00e9-1", {}),
        ("servers/" + "x" * 80 + "-1", {}),
        ("servers/i-1", {"zone": ""}),
        ("servers/i-1", {"zone": "z" * 65}),
        ("servers/i-1", {"zone": "a b"}),
    ],
)
def test_an_entry_that_followers_could_not_decode_is_rejected(key, change):
    assert decode_server(item(SERVER | change, key), 0.0).is_err()


@given(st.text(max_size=70), st.text(max_size=70), st.text(max_size=70))
def test_every_accepted_entry_can_be_sent_to_followers(name, zone, service):
    found = decode_server(
        item(SERVER | {"zone": zone, "service": service}, f"servers/{name}-1"), 0.0
    )
    if found.is_ok():
        msgspec.json.decode(msgspec.json.encode(found.ok_value), type=VmRecord)


@pytest.mark.parametrize("host", ["127.0.0.1 x", "127.0.0.1\t", "1 " + "a" * 62])
def test_an_address_followed_by_other_text_is_rejected(host):
    """`inet_aton` accepts it, but each packet to it would block on a name lookup that fails."""
    assert decode_server(item(SERVER | {"address": f"{host}:8080"}), 0.0).is_err()
    assert decode_server(item(SERVER | {"address": "127.0.0.1:8080"}), 0.0).is_ok()


def test_weights_with_an_infinite_sum_are_rejected():
    split = [{"service": "a", "weight": 1e308}, {"service": "b", "weight": 1e308}]
    config = CONFIG | {"routes": [CONFIG["routes"][1] | {"split": split}]}
    assert decode_routes(item(config, key="op/config")).is_err()


@pytest.mark.parametrize("port", ["0", "-1", "65536", "9" * 30, "", "8080/9", "1e3"])
def test_a_route_with_an_impossible_port_is_left_out(port):
    first, second = CONFIG["routes"][:2]
    config = CONFIG | {"routes": [first | {"prefix": f"/{port}/"}, second]}
    table = decode_routes(item(config, key="op/config")).unwrap()
    assert [route.port for route in table.routes()] == [8443]


@pytest.mark.parametrize("port", [1, 65535])
def test_a_route_with_an_extreme_port_is_kept(port):
    config = CONFIG | {"routes": [CONFIG["routes"][0] | {"prefix": f"/{port}/"}]}
    assert len(decode_routes(item(config, key="op/config")).unwrap()) == 1


@pytest.mark.parametrize("body", [NESTED_FIELD, b'{"items":[' + NESTED, b"\xff"])
def test_an_invalid_response_of_the_store_is_an_error(body):
    async def scenario():
        server, address = await serve_body(body)
        settings = msgspec.structs.replace(SETTINGS, platform=str(address))
        reader = StoreReader(settings, FlowBalancer(settings, Random(1), 0.0))
        assert (await reader.read(0.1)).is_err()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("last", [{"key": "servers/s-2", "value": 5, "revision": 2}, {"key": 5}])
def test_an_invalid_entry_at_the_end_of_a_page_rejects_nothing_else(last):
    """The next page begins after it; an exception here would end the entry VM."""

    class PagedStore:
        async def get(self, target, _timeout):
            entry = b64encode(json.dumps(SERVER).encode()).decode()
            name = "servers/s-3" if "&after=" in target else "servers/s-1"
            items = [{"key": name, "value": entry, "revision": 1}]
            more = "&after=" not in target
            page = {"items": items + [last] * more, "as_of": 5, "has_more": more}
            return Ok(HttpReply(200, json.dumps(page).encode()))

    balancer = FlowBalancer(SETTINGS, Random(1), 0.0)
    reader = StoreReader(SETTINGS, balancer)
    reader._client = PagedStore()
    assert asyncio.run(reader.read(0.0)).is_ok()
    assert {s.name for s in balancer.server_list.servers.values()} == {"s-1", "s-3"}


@pytest.mark.parametrize("items", [[{"key": 5}], [{"key": "servers/s-1", "revision": 1}]])
def test_pages_that_do_not_advance_are_an_error(items):
    """Otherwise the same page is read again and again, and the entries take unbounded memory."""

    class RepeatingStore:
        calls = 0

        async def get(self, _target, _timeout):
            self.calls += 1
            assert self.calls < 10
            page = {"items": items, "as_of": 5, "has_more": True}
            return Ok(HttpReply(200, json.dumps(page).encode()))

    reader = StoreReader(SETTINGS, FlowBalancer(SETTINGS, Random(1), 0.0))
    reader._client = RepeatingStore()
    assert asyncio.run(reader.read(0.0)).is_err()


@pytest.mark.parametrize("body", [NESTED_FIELD, b"\xff", b"{}"])
def test_a_peer_with_an_invalid_response_is_avoided(body):
    async def scenario():
        server, address = await serve_body(body)
        world = FlowWorld(record("s-1"))
        group = own_group()
        reader = StateReader(SETTINGS, world.balancer, group, None, StatePublisher(world.balancer))
        await reader._follow(address, 0.0)
        assert group._avoided_until[address] > 0
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("field", ["age", "revision"])
def test_a_peer_state_with_a_negative_age_or_revision_is_rejected(field):
    state = PublishedState((), (), False, 7, 0.0)
    body = json.loads(msgspec.json.encode(state)) | {field: -1}
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(json.dumps(body), type=PublishedState)


def test_deeply_nested_updates_are_rejected():
    assert not merge_members(own_group(), NESTED)


@pytest.mark.parametrize("host", ["a..b", "", "x" * 300, "a\nb", "\u00e9" * 70])
@pytest.mark.parametrize("port", [0, 9, 70_000, -1])
def test_an_unusable_address_is_an_error(host, port):
    async def scenario():
        group = own_group([Address(host, port)])
        await MemberExchange(SETTINGS, group).exchange_once()
        client = HttpClient(Address(host, port), Step.GOSSIP)
        assert (await client.get("/", 1.0)).is_err()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "target",
    [
        "//[",
        "/v1/published",
        "/v1/published?after=0&routes=0&wait=nan",
        "/v1/published?after=0&routes=0&wait=-1",
        "/v1/published?after=x&routes=0&wait=1",
        "/v1/published?after=" + "9" * 5000 + "&routes=0&wait=1",
    ],
)
def test_an_invalid_request_is_answered_with_400(target):
    answer = asyncio.run(make_vm()._handle_request(HttpRequest("GET", target, b"")))
    assert answer.status == 400


def test_the_http_server_survives_arbitrary_bytes():
    random = Random(7)
    samples = [random.randbytes(random.randrange(1, 300)) for _ in range(30)]
    samples += [b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n", b"POST /v1/members HTTP/1.1\r\n"]

    async def scenario():
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: failures.append(context))
        server = await serve_http(Address(HOST, 0), make_vm()._handle_request)
        port = server.sockets[0].getsockname()[1]
        for sample in samples:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(sample)
            writer.write_eof()
            await reader.read()
            writer.close()
        reply = await HttpClient(Address(HOST, port), Step.GOSSIP).get("/v1/ready", 1.0)
        server.close()
        return failures, reply.ok_value.status

    failures, status = asyncio.run(scenario())
    assert (failures, status) == ([], 503)
