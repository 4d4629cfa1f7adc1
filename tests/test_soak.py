"""Short soak tests of real processes with fixed seeds, and tests of the checks of the soak."""

import asyncio
import json
import time
from random import Random

import pytest
from result import Ok

from marjoramford.opaque_flows.http_messages import HttpReply
from marjoramford.platform.packets import FLAG_SYN
from marjoramford.standins.packet_callers import AttemptOutcome, CallerFlow
from marjoramford.standins.packet_endpoints import FLAG_ACK, Packet
from marjoramford.standins.packet_servers import PacketServer, ServerFlow
from marjoramford.standins.packet_sites import BOOKING_PORT, PacketSite
from marjoramford.standins.packet_soaks import run_soak

# Seed and seconds of each soak that once failed, with its cause.
# 203: a SIGHUP while an entry VM was still importing its modules ended the process.
# 605: a SIGTERM 28 ms after the start of a process, before the program's first line, ended it with
# status -15.
# 2436: a SIGSTOP 12 ms after the start of a process, before the program's first line, and a SIGHUP
# while it was stopped ended it with status -1.
REGRESSION_RUNS = ((203, 8.0), (605, 8.0), (2436, 8.0))


@pytest.mark.parametrize(("seed", "seconds"), [(3, 5.0), *REGRESSION_RUNS])
def test_soak_with_overlapping_faults_finds_no_violation(seed, seconds, tmp_path):
    findings = asyncio.run(run_soak(seed, seconds, tmp_path))
    assert findings.violations == [], "\n".join(findings.events)
    assert findings.answered > 0


def make_site(tmp_path):
    site = PacketSite(tmp_path, Random(1))
    server = PacketServer("i-1", "booking", "zone-a", 0.0, Random(1))
    site.servers[server.name] = server
    flow = CallerFlow((1, 2, 3, 4), 5)
    return site, server, flow


def test_soak_detects_a_request_that_ran_twice(tmp_path):
    site, server, flow = make_site(tmp_path)
    server.runs["x"] = 2
    site._check_request(flow, "x", BOOKING_PORT, AttemptOutcome.TIMED_OUT)
    assert site.findings.violations == ["x ran 2 times"]


def test_soak_detects_a_request_at_another_service(tmp_path):
    site, server, flow = make_site(tmp_path)
    server.service = "manifest"
    server.runs["x"] = 1
    site._check_request(flow, "x", BOOKING_PORT, AttemptOutcome.TIMED_OUT)
    assert site.findings.violations == ["x ran at another service"]


def test_soak_detects_the_answer_to_another_request(tmp_path):
    site, _, flow = make_site(tmp_path)
    flow.answer = b"y booking i-1\n"
    site._check_request(flow, "x", BOOKING_PORT, AttemptOutcome.ANSWERED)
    assert len(site.findings.violations) == 1


def test_soak_detects_a_reset_of_a_flow_open_at_its_server(tmp_path):
    site, server, flow = make_site(tmp_path)
    server._flows[flow.key] = ServerFlow(True, 1, 1, 1)
    site._check_request(flow, "x", BOOKING_PORT, AttemptOutcome.RESET)
    assert len(site.findings.violations) == 1


@pytest.mark.parametrize(
    ("flags", "drained_seconds", "contact_seconds", "judged", "violations"),
    [
        (FLAG_SYN, 5.5, 5.5, 1, 1),
        (FLAG_SYN, 4.5, 5.5, 0, 0),
        (FLAG_SYN, 5.5, 4.5, 0, 0),
        (FLAG_ACK, 5.5, 5.5, 0, 0),
    ],
)
def test_soak_detects_an_opening_packet_in_a_drained_zone(
    flags, drained_seconds, contact_seconds, judged, violations, tmp_path
):
    site, server, flow = make_site(tmp_path)
    now = time.monotonic()
    site.drains._drained_since["zone-a"] = now - drained_seconds
    site.drains._contact_since = lambda _server: now - contact_seconds
    packet = Packet(1, 2, 3, 4, 0, flags, 0, 0)
    site.drains.on_packet_received(server, packet)
    assert site.drains.checked_packets == judged
    assert len(site.findings.violations) == violations


def test_operator_writes_drains_again_that_a_restore_lost_or_brought_back(tmp_path):
    site, _, _ = make_site(tmp_path)
    empty = site.store.take_copy()
    site.drains.begin("zone-a")
    site.drains.write("zone-a")
    drained = site.store.take_copy()
    site.store.restore(empty)
    site.drains.write_again()
    assert site.drains.stored_zones == {"zone-a"}
    site.drains.end("zone-a")
    site.drains.write("zone-a")
    site.store.restore(drained)
    site.drains.write_again()
    assert site.drains.stored_zones == set()


def list_in_store(site, server):
    site.store.put(f"servers/{server.name}", {"state": "ready"})


class StateClient:
    """Answers with the state dump of an entry VM."""

    def __init__(self, servers, drained=()):
        zones = [{"zone": zone} for zone in drained]
        self._body = json.dumps({"backend_servers": servers, "drained_zones": zones}).encode()

    async def get(self, target, timeout):
        return Ok(HttpReply(200, self._body))


LISTED = {"name": "i-1", "leaving": False, "gone": False, "unlisted_seconds": None}


@pytest.mark.parametrize(
    ("servers", "equal"),
    [
        ([LISTED], True),
        ([LISTED, LISTED | {"name": "i-2", "gone": True}], True),
        ([], False),
        ([LISTED, LISTED | {"name": "i-2"}], False),
        ([LISTED, LISTED | {"name": "i-2", "unlisted_seconds": 1.0}], False),
        ([LISTED | {"leaving": True}], False),
        ([LISTED | {"gone": True}], False),
        ([LISTED | {"unlisted_seconds": 1.0}], False),
    ],
)
def test_soak_detects_a_server_list_that_differs_from_the_store(servers, equal, tmp_path):
    site, server, _ = make_site(tmp_path)
    list_in_store(site, server)
    difference = asyncio.run(site._compare_server_list(StateClient(servers)))
    assert (difference == "") == equal


@pytest.mark.parametrize(("drained", "equal"), [(["zone-a"], True), ([], False), (["b"], False)])
def test_soak_detects_drains_that_differ_from_the_store(drained, equal, tmp_path):
    site, server, _ = make_site(tmp_path)
    list_in_store(site, server)
    site.drains.begin("zone-a")
    site.drains.write("zone-a")
    difference = asyncio.run(site._compare_server_list(StateClient([LISTED], drained)))
    assert (difference == "") == equal
