"""Complete bodies of responses from the platform, other entry VMs and backend servers.

Guards against taking the part of a body that has arrived so far for the whole body.
"""

import asyncio
from contextlib import asynccontextmanager
from random import Random

import aiohttp
import msgspec
import pytest

from marjoramford.shared.addresses import Address
from marjoramford.token_flows.actions import SendGossip, SendHandover
from marjoramford.token_flows.balancers import Balancer, Identity, ProbeTarget
from marjoramford.token_flows.cores import Core
from marjoramford.token_flows.events import (
    CatalogueRead,
    GossipFailed,
    GossipReplied,
    HandoverReplied,
    LoadReported,
    ProbeFailed,
)
from marjoramford.token_flows.keys import KeyRing
from marjoramford.token_flows.peers import MAX_REPLY_BYTES, PeerClient
from marjoramford.token_flows.probers import MAX_LOAD_BYTES, Prober
from marjoramford.token_flows.response_bodies import read_body
from marjoramford.token_flows.seals import seal_header
from marjoramford.token_flows.settings import CoreSettings, TimeSettings
from marjoramford.token_flows.watchers import MAX_PAGE_BYTES, Watcher

KEYS = KeyRing({1: b"k" * 16}, 1)
NOW = 1000.0
LARGE_BODY = b'{"through":7,"records":["' + b"x" * 900_000 + b'"]}'
LOAD_BODY = b" " * 2000 + b'{"busy":2,"slots":4}'
# Long enough for the client to read the first part before the second one is sent.
PAUSE_SECONDS = 0.05


class RecordingCore(Core):
    """Records submitted events in place of handling them."""

    def __init__(self):
        identity = Identity("entry-1", 1, "z", Address("10.0.0.1", 2), Address("10.0.0.1", 3))
        super().__init__(
            Balancer(identity, CoreSettings(), KEYS, Random(1), 0.0, strict=True), lambda: NOW
        )
        self.events = []

    def submit(self, event):
        self.events.append(event)


@asynccontextmanager
async def slow_server(body, status="200 OK", announced_bytes=None):
    """Yields the address of a server that sends each body in two parts."""

    tasks = []

    async def respond(reader, writer):
        tasks.append(asyncio.current_task())
        await reader.readuntil(b"\r\n\r\n")
        headers = {"Content-Length": announced_bytes or len(body), **seal_header(body, KEYS)}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        half = len(body) // 2
        writer.write(f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + body[:half])
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(body[half:])
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield Address("127.0.0.1", server.sockets[0].getsockname()[1])
    finally:
        server.close()
        await asyncio.gather(*tasks)


def run_with(use, body, **options):
    """Runs a client against a slow server; returns the one event that it submitted."""

    async def run():
        core = RecordingCore()
        async with slow_server(body, **options) as address, aiohttp.ClientSession() as session:
            await use(core, session, address)
        (event,) = core.events
        return event

    return asyncio.run(run())


async def watch(core, session, address):
    await Watcher(core, f"http://{address}", "catalogue", TimeSettings())._watch_once(session)


async def probe(core, session, address):
    await Prober(core, CoreSettings())._probe(session, ProbeTarget("s1", 1, address))


async def gossip(core, session, address):
    action = SendGossip("entry-2", 1, address, b"{}")
    await PeerClient(core, KEYS, 2.0)._execute(session, action)


async def hand_over(core, session, address):
    action = SendHandover(1, "entry-2", address, b"{}")
    await PeerClient(core, KEYS, 2.0)._execute(session, action)


def test_a_page_that_arrives_in_parts_is_read_whole():
    assert isinstance(run_with(watch, LARGE_BODY), CatalogueRead)


def test_a_load_report_that_arrives_in_parts_is_read_whole():
    assert isinstance(run_with(probe, LOAD_BODY), LoadReported)


@pytest.mark.parametrize("status", ["500 Internal Server Error", "503 Service Unavailable"])
def test_a_load_report_with_an_error_status_is_a_failed_probe(status):
    assert isinstance(run_with(probe, LOAD_BODY, status=status), ProbeFailed)


def test_a_gossip_reply_that_arrives_in_parts_is_read_whole():
    assert run_with(gossip, LARGE_BODY) == GossipReplied("entry-2", LARGE_BODY)


def test_a_handover_reply_that_arrives_in_parts_is_read_whole():
    assert run_with(hand_over, LARGE_BODY) == HandoverReplied(1, LARGE_BODY)


def test_a_reply_above_the_limit_counts_as_none():
    assert run_with(gossip, b"x" * (MAX_REPLY_BYTES + 1)) == GossipFailed("entry-2", 1)
    assert run_with(hand_over, b"x" * (MAX_REPLY_BYTES + 1)) == HandoverReplied(1, None)
    assert isinstance(run_with(probe, b" " * MAX_LOAD_BYTES + LOAD_BODY), ProbeFailed)


def test_a_reply_that_ends_early_counts_as_none():
    announced_bytes = len(LARGE_BODY) + 1
    assert run_with(gossip, LARGE_BODY, announced_bytes=announced_bytes) == GossipFailed(
        "entry-2", 1
    )


@pytest.mark.parametrize("extra_bytes", [0, 1])
def test_the_limit_of_a_body_is_exact(extra_bytes):
    async def run():
        async with (
            slow_server(b"x" * 1000) as address,
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}") as response,
        ):
            return await read_body(response, 1000 - extra_bytes)

    if extra_bytes:
        with pytest.raises(aiohttp.ClientPayloadError):
            asyncio.run(run())
    else:
        assert asyncio.run(run()) == b"x" * 1000


def test_a_page_above_the_limit_is_not_applied():
    body = msgspec.json.encode({"through": 7, "records": ["x" * 2 * MAX_PAGE_BYTES]})

    async def run():
        core = RecordingCore()
        async with slow_server(body) as address, aiohttp.ClientSession() as session:
            await watch(core, session, address)
        return core.events

    assert asyncio.run(run()) == []
