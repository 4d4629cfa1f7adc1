"""Every interface rejects malformed, oversized, forged, expired and foreign input and stays up.

Foreign input is valid, but belongs to another caller or another purpose. Each interface receives
bytes from the network or the platform, so bad input must neither change state nor raise an
exception.
"""

import asyncio
from random import Random

import aiohttp
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramford.opaque_flows.http_services import HttpResponse, serve_http
from marjoramford.shared.addresses import Address
from marjoramford.shared.records import VmRecord
from marjoramford.standins.deployments import HERITAGE
from marjoramford.token_flows.balancers import Balancer, Identity
from marjoramford.token_flows.cores import Core
from marjoramford.token_flows.events import (
    CallerDatagram,
    CatalogueRead,
    GossipReceived,
    GossipReplied,
    HandoverReceived,
    HandoverReplied,
    InnerDatagram,
    Tick,
    VmListRead,
)
from marjoramford.token_flows.handovers import HandoverReply
from marjoramford.token_flows.keys import KeyRing, Purpose
from marjoramford.token_flows.messages import (
    MAX_DATAGRAM_BYTES,
    Open,
    Opened,
    Renew,
    Request,
    Return,
    Send,
    TokenRefused,
    decode_from_entry_vm,
    encode,
)
from marjoramford.token_flows.requests import Flow, NewRequest, StaleNumber
from marjoramford.token_flows.settings import CoreSettings, TimeSettings
from marjoramford.token_flows.tokens import verify_token
from marjoramford.token_flows.watchers import Watcher

NOW = 1000.0
CALLER = Address("10.0.0.9", 5)
KEYS = KeyRing({1: b"k" * 16}, 1)
MANY = settings(max_examples=1500)


def make_balancer() -> Balancer:
    inner, control = Address("10.0.0.1", 2), Address("10.0.0.1", 3)
    identity = Identity("entry-1", 1, "tunis-ville", inner, control)
    balancer = Balancer(identity, CoreSettings(), KEYS, Random(1), NOW, strict=True)
    entry = HERITAGE.services[0].entry("owner", 1, 1)
    vms = [
        VmRecord("entry-1", 1, 1, "entry", "tunis-ville", "10.0.0.1", 1, 3, 2),
        VmRecord("booking-1", 2, 1, "server", "tunis-ville", "10.0.0.2", 1, 3, service="booking"),
    ]
    balancer.handle(CatalogueRead((msgspec.json.encode(entry),), 1), NOW)
    balancer.handle(VmListRead(tuple(map(msgspec.json.encode, vms)), 2), NOW)
    return balancer


BALANCER = make_balancer()


def open_flow(balancer: Balancer) -> Opened:
    event = CallerDatagram(CALLER, encode(Open("booking", 7)))
    (action,) = balancer.handle(event, NOW)
    return decode_from_entry_vm(action.payload).unwrap()


def state_summary(balancer: Balancer) -> tuple:
    node = balancer.node
    return (len(node.flows), node.catalogue.through, node.vm_list.through, len(node.entry_vms))


@MANY
@given(payload=st.binary(max_size=200), kind=st.integers(0, 6))
def test_arbitrary_bytes_change_no_state_at_any_interface(payload, kind):
    events = [
        CallerDatagram(CALLER, payload),
        InnerDatagram(CALLER, payload),
        GossipReceived(payload),
        GossipReplied("entry-9", payload),
        HandoverReceived(payload),
        HandoverReplied(1, payload),
        CatalogueRead((payload,), 1),
    ]
    before = state_summary(BALANCER)
    BALANCER.handle(events[kind], NOW)
    assert state_summary(BALANCER) == before


@MANY
@given(data=st.data())
def test_a_token_with_any_changed_byte_is_rejected(data):
    balancer = BALANCER
    token = bytearray(open_flow(balancer).token)
    position = data.draw(st.integers(0, len(token) - 1))
    token[position] ^= data.draw(st.integers(1, 255))
    event = CallerDatagram(CALLER, encode(Send(bytes(token), b"x")))
    assert balancer.handle(event, NOW) == []


def test_a_token_sent_by_another_caller_is_rejected():
    token = open_flow(BALANCER).token
    event = CallerDatagram(Address("10.0.0.10", 5), encode(Send(token, b"x")))
    assert BALANCER.handle(event, NOW) == []


def test_an_expired_token_is_answered_with_token_refused():
    opened = open_flow(BALANCER)
    event = CallerDatagram(CALLER, encode(Renew(opened.token)))
    (action,) = BALANCER.handle(event, opened.expires_at + 1.0)
    assert isinstance(decode_from_entry_vm(action.payload).unwrap(), TokenRefused)


def test_a_token_is_not_valid_as_label_or_peer_message():
    token = open_flow(BALANCER).token
    event = InnerDatagram(CALLER, encode(Return(token, b"x")))
    assert BALANCER.handle(event, NOW) == []
    assert KEYS.open(token, Purpose.PEER).is_err()


def test_an_oversized_datagram_is_dropped_and_counted():
    before = BALANCER.node.counters["datagram_dropped"]
    event = CallerDatagram(CALLER, encode(Send(b"", bytes(MAX_DATAGRAM_BYTES))))
    assert BALANCER.handle(event, NOW) == []
    assert BALANCER.node.counters["datagram_dropped"] == before + 1


def test_a_request_with_past_deadline_or_oversized_body_gets_not_run():
    opened = open_flow(BALANCER)
    for number, deadline, body in ((1, NOW - 1.0, b""), (2, NOW + 5.0, bytes(1100))):
        request = Request(opened.token, number, "hold", deadline, body)
        (action,) = BALANCER.handle(CallerDatagram(CALLER, encode(request)), NOW)
        assert type(decode_from_entry_vm(action.payload).unwrap()).__name__ == "NotRun"


def test_tokens_of_the_previous_key_stay_valid_after_rotation():
    token = open_flow(BALANCER).token
    rotated = KeyRing({1: b"k" * 16, 2: b"n" * 16}, 2)
    assert verify_token(token, rotated).is_ok()
    assert verify_token(token, KeyRing({2: b"n" * 16}, 2)).is_err()


@pytest.mark.parametrize(
    "raw",
    [
        b'{"name":"booking","revision":5}',
        b'{"name":"../x","revision":5,"added_at_revision":1,"owner":"o",'
        b'"service_class":"critical","max_connections":1,"max_load":1}',
        b'{"name":"booking","revision":5,"added_at_revision":1,"owner":"o",'
        b'"service_class":"gold","max_connections":1,"max_load":1}',
    ],
)
def test_an_invalid_catalogue_entry_does_not_affect_valid_ones(raw):
    balancer = make_balancer()
    good = HERITAGE.services[1].entry("owner", 4, 4)
    balancer.handle(CatalogueRead((raw, msgspec.json.encode(good)), 5), NOW)
    assert balancer.node.catalogue.get("booking").revision == 1
    assert balancer.node.catalogue.get("manifest").revision == 4
    assert balancer.node.counters["records_rejected"] == 1


@MANY
@given(
    number=st.integers(-(2**63), 2**64 - 1),
    deadline=st.floats(allow_nan=True, allow_infinity=True),
    kind=st.text(max_size=20),
    body=st.binary(max_size=50),
)
def test_any_request_number_and_deadline_is_handled(number, deadline, kind, body):
    opened = open_flow(BALANCER)
    request = Request(opened.token, number, kind, deadline, body)
    BALANCER.handle(CallerDatagram(CALLER, encode(request)), NOW)
    BALANCER.handle(Tick(), NOW)
    assert BALANCER.next_tick_at(NOW) >= NOW


def test_a_jump_in_request_numbers_keeps_the_window_bounded():
    flow = Flow("s", "s1", 1.0)
    assert flow.admit(1) == NewRequest()
    assert flow.admit(2**64 - 1) == NewRequest()
    assert flow.admit(2**64 - 1) == StaleNumber()
    assert flow.admit(2**64 - 2) == NewRequest()
    assert flow.admit(1) == StaleNumber()
    assert flow.seen < 2**64


NESTED_FIELD = b'{"x":' + b"[" * 100_000


@pytest.mark.parametrize("body", [NESTED_FIELD, b"\xff", b"[]"])
def test_a_malformed_handover_batch_is_refused(body):
    (reply,) = make_balancer().handle(HandoverReceived(body), NOW)
    assert not msgspec.json.decode(reply.payload, type=HandoverReply).adopted


@pytest.mark.parametrize("body", [NESTED_FIELD, b"\xff", b"[]"])
def test_a_malformed_platform_response_fails_the_watch(body):
    async def scenario():
        async def answer(_request):
            return HttpResponse(200, body)

        server = await serve_http(Address("127.0.0.1", 0), answer)
        port = server.sockets[0].getsockname()[1]
        core = Core(make_balancer(), lambda: NOW)
        watcher = Watcher(core, f"http://127.0.0.1:{port}", "catalogue", TimeSettings())
        async with aiohttp.ClientSession() as session:
            assert not await watcher._watch_once(session)
        server.close()

    asyncio.run(scenario())
