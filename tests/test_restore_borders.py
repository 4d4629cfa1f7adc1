"""Invalid eras, states and questions never end an entry VM's tasks, nor change its list."""

import asyncio
import json
import time
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.http_calls import HttpClient
from marjoramford.opaque_flows.http_messages import HttpReply, HttpRequest
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.published_states import PublishedState, encode_state
from marjoramford.opaque_flows.server_lists import ListChanges
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.opaque_flows.state_readers import StateReader
from marjoramford.opaque_flows.state_versions import NOTHING_READ, StateVersion
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.addresses import Address
from marjoramford.shared.errors import Step

from .flow_worlds import SETTINGS, record, route_table, snapshot
from .restore_models import StoreModel, Write
from .test_platform_borders import HOST, own_group

ERA = 3
STORE = StoreModel(era=ERA).write(Write("op/config", 1)).write(Write("servers/s-1", 1))
AFTER_RESTORE = STORE.write(Write("servers/s-2", 1)).write(Write("servers/s-1", 0))
PEER = Address(HOST, 9)

DIGITS = st.integers(0, 10**30).map(str)
NO_NUMBERS = st.one_of(
    st.sampled_from(["", " ", "-1", "+4", "4.0", "4e0", "0x4", "4 5", "4,4", "nan", "\u0664", "²"]),
    st.integers(max_value=-1).map(str),
    st.text(st.characters(max_codepoint=255), max_size=12).filter(
        lambda text: not text.strip().isdigit()
    ),
)
STATUSES = st.sampled_from([200, 200, 410, 429, 503, 404])


class ScriptedClient:
    """Answers each request with the store's answer for it, under a status and headers."""

    def __init__(self, store, headers, status=200):
        self.store, self.headers, self.status = store, headers, status

    async def get(self, target, _timeout):
        answer = self.store.answer(target)
        status = self.status if answer.status == 200 else answer.status
        return Ok(HttpReply(status, answer.body if status == 200 else b"", self.headers))


def read_with(reader, headers, store=STORE, status=200):
    reader._client = ScriptedClient(store, headers, status)
    return asyncio.run(reader.read(0.0))


def loaded_reader():
    balancer = FlowBalancer(SETTINGS, Random(1), 0.0)
    reader = StoreReader(SETTINGS, balancer)
    assert read_with(reader, {"store-era": str(ERA)}).is_ok()
    return balancer, reader


def contents(balancer):
    """Returns what an entry VM holds: version and entries of its list, and its routes."""
    changes = balancer.server_list.changes_since(NOTHING_READ)
    return changes.version, set(changes.records), balancer.routes.order, balancer.routes.routes()


@given(st.one_of(NO_NUMBERS, st.integers(10**15, 10**40).map(str), st.just("9" * 5000)), STATUSES)
def test_an_era_that_cannot_be_read_is_an_error_and_changes_nothing(text, status):
    balancer, reader = loaded_reader()
    held = contents(balancer)
    assert read_with(reader, {"store-era": text}, AFTER_RESTORE, status).is_err()
    assert contents(balancer) == held
    assert read_with(reader, {"store-era": str(ERA)}, AFTER_RESTORE).is_ok()
    assert {entry.name for entry in contents(balancer)[1]} == {"s-2"}


@given(st.one_of(st.none(), st.integers(0, ERA - 1)), STATUSES)
def test_an_era_that_went_back_or_is_missing_is_an_error_and_changes_nothing(era, status):
    balancer, reader = loaded_reader()
    held = contents(balancer)
    headers = {} if era is None else {"store-era": str(era)}
    assert read_with(reader, headers, AFTER_RESTORE, status).is_err()
    assert contents(balancer) == held
    assert read_with(reader, {"store-era": str(ERA)}, AFTER_RESTORE).is_ok()


@given(st.lists(st.tuples(st.one_of(DIGITS, NO_NUMBERS, st.integers(0, 6).map(str)), STATUSES)))
def test_the_list_never_goes_back_whatever_eras_the_answers_name(answers):
    balancer, reader = loaded_reader()
    version = balancer.server_list.version
    for text, status in answers:
        read_with(reader, {"store-era": text}, status=status)
        assert balancer.server_list.version >= version
        version = balancer.server_list.version
    assert balancer.routes.version == 1


@pytest.mark.parametrize(
    "headers",
    [
        b"Store-Era:\r\n",
        b"Store-Era: x\r\n",
        b"Store-Era: -1\r\n",
        b"Store-Era: \xff\xfe\r\n",
        b"Store-Era: " + b"9" * 9000 + b"\r\n",
        b"Store-Era: " + b"9" * 90_000 + b"\r\n",
        b"Store-Era: 3\r\nStore-Era: 2\r\n",
        b"Store-Era: 3\r\nstore-era: x\r\n",
        b"Store-Era : 3\r\n",
        b"Store-Era\r\n",
        b"Store-Era: 3\x00\r\n",
        b"Store-Era: 3\r\n folded\r\n",
    ],
)
def test_a_malformed_header_on_the_wire_is_an_error_and_changes_nothing(headers):
    body = AFTER_RESTORE.answer("/v1/kv-watch?after=3").body
    length = str(len(body)).encode()
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n" + headers + b"\r\n" + body

    async def scenario(reader):
        async def answer(stream, writer):
            await stream.read(1000)
            writer.write(reply)
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        address = Address(HOST, server.sockets[0].getsockname()[1])
        reader._client = HttpClient(address, Step.READ_PLATFORM)
        result = await reader.read(0.0)
        server.close()
        return result

    balancer, reader = loaded_reader()
    held = contents(balancer)
    assert asyncio.run(scenario(reader)).is_err()
    assert contents(balancer) == held


RECORDS = st.builds(
    record,
    st.sampled_from(["s-1", "s-2", "s-3"]),
    st.integers(1, 120),
    state=st.sampled_from(["live", "leaving"]),
    born=st.integers(0, 2),
)
STATES = st.builds(
    PublishedState,
    st.lists(RECORDS, max_size=3, unique_by=lambda entry: entry.name).map(tuple),
    st.lists(st.tuples(st.sampled_from(["s-1", "s-2"]), st.integers(0, 120)), max_size=2).map(
        tuple
    ),
    st.booleans(),
    st.integers(0, 120),
    st.one_of(st.none(), st.floats(0, 10)),
    era=st.integers(0, ERA + 1),
)
JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**30), -1),
    st.integers(2**64, 10**30),
    st.sampled_from(["", "3", "x", -1.5, [], {}, [[]], [None], {"era": 1}]),
)


def loaded_follower():
    balancer = FlowBalancer(SETTINGS, Random(1), 0.0)
    balancer.installed_routes.apply(route_table())
    entries = record("s-1", 90), record("s-2", 95)
    balancer.server_list.apply(snapshot(*entries, revision=100, era=ERA), 0.0)
    reader = StateReader(SETTINGS, balancer, own_group(), None, StatePublisher(balancer))
    return balancer, reader


@given(st.lists(STATES, max_size=6), st.booleans())
def test_a_list_never_goes_back_whatever_states_peers_send(states, compress):
    balancer, reader = loaded_follower()
    for state in states:
        held, version = contents(balancer), balancer.server_list.version
        used = reader._apply_response(PEER, encode_state(state, compress), 1.0)
        assert balancer.server_list.version >= version
        if state.era < version.era or StateVersion(state.era, state.revision) < version:
            assert contents(balancer) == held
        if state.era > version.era and not state.whole:
            assert contents(balancer) == held
        if state.era < version.era:
            assert not used


@given(
    st.sampled_from(["era", "revision", "whole", "records", "removed", "age", "reachable"]),
    JUNK,
    st.booleans(),
)
def test_a_state_with_an_invalid_field_is_rejected_and_its_sender_avoided(field, junk, newer):
    state = PublishedState((record("s-3", 110),), (), True, 110, 0.0, era=ERA + newer)
    body = json.loads(msgspec.json.encode(state)) | {field: junk}
    try:
        msgspec.convert(body, PublishedState)
        return
    except msgspec.ValidationError:
        pass
    balancer, reader = loaded_follower()
    held = contents(balancer)
    assert not reader._apply_response(PEER, json.dumps(body).encode(), 1.0)
    assert contents(balancer) == held
    assert reader._group._avoided_until[PEER] > 0


@given(st.binary(max_size=60), st.integers(0, 400), st.booleans())
def test_a_damaged_state_never_raises(noise, cut, compress):
    state = PublishedState((record("s-3", 110),) * 12, (), True, 110, 0.0, era=ERA + 1)
    body = encode_state(state, compress)
    balancer, reader = loaded_follower()
    held = contents(balancer)
    damaged = body[:cut] + noise + body[cut + len(noise) + 1 :]
    if not reader._apply_response(PEER, damaged, 1.0):
        assert contents(balancer) == held


def published(vm, query):
    target = "/v1/published?" + "&".join(f"{name}={value}" for name, value in query.items())
    return asyncio.run(vm._handle_request(HttpRequest("GET", target, b"")))


def loaded_vm():
    vm = PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: None)
    vm.balancer.installed_routes.apply(route_table())
    entries = record("s-1", 90), record("s-2", 95)
    vm.balancer.server_list.apply(snapshot(*entries, revision=100, era=ERA), 0.0)
    vm.balancer.server_list.confirm(time.monotonic())
    return vm


@given(
    st.sampled_from(["after", "era", "routes", "routes_era"]),
    st.one_of(
        st.text(st.characters(codec="ascii", exclude_characters="&#=+%"), max_size=12),
        st.integers(-(10**40), 10**40).map(str),
        st.just("9" * 5000),
    ),
)
def test_an_invalid_question_is_answered_with_400_and_any_other_with_a_state(field, text):
    vm = loaded_vm()
    held = contents(vm.balancer)
    query = {"after": 100, "era": ERA, "routes": 1, "routes_era": 0, "wait": 0}
    response = published(vm, query | {field: text})
    assert response.status in (200, 400)
    if response.status == 200:
        state = msgspec.json.decode(response.body, type=PublishedState)
        assert (state.era, state.revision) == (ERA, 100)
    assert contents(vm.balancer) == held


@given(st.integers(0, 120), st.integers(0, ERA + 1))
def test_an_answer_to_a_question_of_any_version_brings_the_follower_in_step(revision, era):
    """A follower that holds a delta's base, or nothing of this era, has the list afterwards.

    Only a follower that is ahead of this VM keeps its own.
    """
    vm = loaded_vm()
    follower = FlowBalancer(SETTINGS, Random(1), 0.0)
    base = ListChanges((), (), True, StateVersion(era, revision))
    if era == ERA:
        entries = [
            entry for entry in (record("s-1", 90), record("s-2", 95)) if entry.revision <= revision
        ]
        base = snapshot(*entries, revision=revision, era=era)
    follower.server_list.apply(base, 0.0)
    query = {"after": revision, "era": era, "routes": 0, "routes_era": 0, "wait": 0}
    body = published(vm, query).body
    reader = StateReader(SETTINGS, follower, own_group(), None, StatePublisher(follower))
    reader._apply_response(PEER, body, 1.0)
    if StateVersion(era, revision) <= StateVersion(ERA, 100):
        assert contents(follower) == contents(vm.balancer)
    else:
        assert follower.server_list.version == StateVersion(era, revision)
