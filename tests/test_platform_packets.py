"""Decoding and encoding of the platform's packets and entries."""

import logging
import struct
from base64 import b64encode

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramford.opaque_flows.packets import FlowKey, Forward
from marjoramford.opaque_flows.zone_drains import ZoneDrain
from marjoramford.platform.entries import (
    StoreItem,
    check_drain_value,
    decode_drain,
    decode_item,
    decode_routes,
    decode_server,
)
from marjoramford.platform.packets import PlatformCodec, server_number
from marjoramford.shared.addresses import Address

from .flow_worlds import FlowWorld, record

CODEC = PlatformCodec(8172)
# A SYN from 100.64.0.7:40001 to 198.18.0.1:443 with sequence number 0x11223344 and a checksum.
SYN = bytes.fromhex(
    "bb01 419c 07004064 010012c6 00000000 01 0000000000 44332211 00000000 0000 d5c3b2a1"
)
FLOW = FlowKey(0x64400007, 40001, 0xC6120001, 443)


def test_a_packet_is_decoded():
    header = CODEC.decode(SYN)
    assert header.flow == FLOW
    assert (header.opens, header.closes, header.aborts) == (True, False, False)
    assert (header.sequence, header.acknowledged, header.data_bytes) == (0x11223344, 0, 0)


def test_a_forwarded_packet_differs_only_in_its_label():
    server = FlowWorld(record("i-7f3a91c2")).server("i-7f3a91c2")
    sent = CODEC.encode_forwarded(SYN, Forward(server, 0xA1B2C3D4))
    assert sent[:8] == bytes.fromhex("000000007f3a91c2")
    assert sent[8:20] == SYN[:12]
    assert sent[20:24] == bytes.fromhex("d4c3b2a1")
    assert sent[24:] == SYN[16:]


def test_a_reset_comes_from_the_route_and_goes_to_the_caller():
    reset, address = CODEC.encode_reset(FLOW, 77)
    assert address == Address("100.64.0.7", 8172)
    expected = "419cbb01 010012c6 07004064 00000000 40 0000000000 4d000000 00000000 0000 00000000"
    assert reset == bytes.fromhex(expected)


@given(st.binary(max_size=1400))
def test_any_datagram_is_decoded_or_rejected(datagram):
    header = CODEC.decode(datagram)
    if header is not None:
        assert len(datagram) == 36 + header.data_bytes


def item(value, key="servers/i-7f3a91c2", revision=5):
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return StoreItem(key, revision, b64encode(raw).decode())


SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "tunis-ville",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "sequence": 4,
}


def test_a_server_entry_becomes_a_record():
    made = decode_server(item(SERVER), now=100.0).unwrap()
    assert (made.name, made.incarnation, made.service) == ("i-7f3a91c2", 0, "huvo11a")
    assert (made.host, made.data_port, made.state) == ("10.128.0.9", 8080, "live")
    assert made.warm_at == 101.5


def test_the_start_time_of_a_server_is_its_incarnation():
    assert decode_server(item(SERVER | {"born": 1234}), 0.0).unwrap().incarnation == 1234
    assert decode_server(item(SERVER | {"state": "draining"}), 0.0).unwrap().state == "leaving"


@pytest.mark.parametrize(
    "bad",
    [
        b"\xff\xfe",
        b"[]",
        SERVER | {"state": "sleeping"},
        SERVER | {"address": "nowhere"},
        SERVER | {"address": "10.0.0.1:0"},
        SERVER | {"address": "10.0.0.300:80"},
        SERVER | {"slots": "two"},
        SERVER | {"born": 1.5},
        {key: value for key, value in SERVER.items() if key != "service"},
    ],
)
def test_an_invalid_entry_is_rejected(bad):
    assert decode_server(item(bad), 0.0).is_err()


def test_entries_with_an_invalid_id_or_base64_are_rejected():
    assert decode_server(item(SERVER, key="servers/i-zz"), 0.0).is_err()
    assert decode_server(item(SERVER, key="servers/"), 0.0).is_err()
    assert decode_server(StoreItem("servers/i-1", 1, "%%%"), 0.0).is_err()


@given(st.binary(max_size=200))
def test_any_value_is_decoded_or_rejected(raw):
    decode_server(item(raw), 0.0)
    decode_routes(item(raw, key="op/config"))


CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "prefix": "/8080/",
            "service": "a",
            "priority": 1,
            "target_latency_ms": 250,
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
        },
        {"name": "r-3", "host": "nowhere", "prefix": "/1/", "service": "a"},
        {"name": "r-4", "host": "198.18.0.2", "prefix": "/1/"},
    ],
    "limits": {"idle_timeout_ms": 15000},
}


def test_routes_are_decoded_and_invalid_ones_left_out():
    table = decode_routes(item(CONFIG, key="op/config")).unwrap()
    assert (table.version, len(table), table.idle_timeout) == (7, 2, 15.0)
    assert [s.weight for s in table.find(0xC6120001, 8443).services] == [90, 10]
    assert table.find(0xC6120001, 8080).priority == 1
    assert table.find(0xC6120001, 8080).target_seconds == 0.25


def test_limits_of_cold_servers_are_decoded_for_each_service():
    services = [{"name": "a", "warmup_per_s": 4, "warmup_s": 10}, {"name": "b"}]
    table = decode_routes(item(CONFIG | {"services": services}, key="op/config")).unwrap()
    assert (table.warmup_limit("a"), table.warmup_limit("b")) == (4.0, 0.0)


@pytest.mark.parametrize(
    "services",
    [
        None,
        7,
        {"name": "b"},
        [7, "x", None, {}, []],
        [{"name": "b", "warmup_per_s": -1}],
        [{"name": "b", "warmup_per_s": "many"}],
        [{"name": "b", "warmup_per_s": 1e300}],
        [{"name": "", "warmup_per_s": 1}],
    ],
)
def test_an_unreadable_limit_rejects_nothing_else(services, caplog):
    if isinstance(services, list):
        services = [*services, {"name": "a", "warmup_per_s": 4}]
    logging.getLogger("marjoramford").propagate = True
    with caplog.at_level(logging.INFO, logger="marjoramford"):
        table = decode_routes(item(CONFIG | {"services": services}, key="op/config")).unwrap()
    assert len(table) == 2
    assert table.warmup_limit("a") == (4.0 if isinstance(services, list) else 0.0)
    assert table.warmup_limit("b") == 0.0
    assert services is None or any(line.event == 301 for line in caplog.records)


def test_server_numbers_are_the_hex_digits_of_the_id():
    assert server_number("i-00ff") == struct.pack(">Q", 255)
    assert len(server_number("i-" + "f" * 20)) == 8


def drain_item(zone="b", value=b"{}", revision=5):
    return item(value, key=f"op/evacuate/{zone}", revision=revision)


def test_a_zone_is_drained_by_its_key_and_returned_by_its_tombstone():
    assert decode_drain(drain_item()).unwrap() == ZoneDrain("b", 5, True)
    tombstone = StoreItem("op/evacuate/b", 6, tombstone=True)
    assert decode_drain(tombstone).unwrap() == ZoneDrain("b", 6, False)


@pytest.mark.parametrize(("zone", "valid"), [("", False), ("z" * 64, True), ("z" * 65, False)])
def test_a_key_that_drains_needs_the_name_of_a_zone(zone, valid):
    assert decode_drain(drain_item(zone)).is_ok() == valid


@pytest.mark.parametrize(("value", "valid"), [(b"{}", True), (b"[]", False), (b"\xff", False)])
def test_an_unreadable_value_still_drains_the_zone(value, valid):
    assert decode_drain(drain_item(value=value)).is_ok()
    assert check_drain_value(drain_item(value=value)).is_ok() == valid


@pytest.mark.parametrize("value", ["7", "null", '"%%%"'])
def test_an_item_whose_value_is_of_another_type_still_drains_the_zone(value):
    raw = '{"key": "%s", "revision": 5, "value": %s}'
    decoded = decode_item((raw % ("op/evacuate/b", value)).encode()).unwrap()
    assert decode_drain(decoded).unwrap() == ZoneDrain("b", 5, True)
    assert check_drain_value(decoded).is_err()
    if value != '"%%%"':
        assert decode_item((raw % ("servers/i-1", value)).encode()).is_err()
