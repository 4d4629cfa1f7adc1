"""Packets are forwarded before the rest of an entry VM is imported.

Load pattern: all entry VMs lose power at once, and callers retransmit on their open flows. Others
restart while the platform does not answer but another entry VM has its state.
"""

import asyncio
import json
import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from random import Random

import msgspec
import pytest

from marjoramford.opaque_flows.early_starts import EarlyClient, EarlyStart, ReloadRequest
from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.flow_labels import derive_label
from marjoramford.opaque_flows.http_messages import (
    HttpError,
    ReplyReader,
    RequestReader,
    encode_request,
)
from marjoramford.opaque_flows.http_services import HttpResponse, serve_http
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.packet_sockets import PacketSocket
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.platform.packets import PlatformCodec
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.addresses import Address
from marjoramford.shared.errors import Step
from marjoramford.standins.packet_endpoints import FLAG_ACK, Packet
from marjoramford.standins.packet_stores import PacketStore
from marjoramford.standins.ports import free_ports

from .flow_worlds import ROUTE_IP, ROUTE_PORT, SETTINGS, FlowWorld, record

HOST = "127.0.0.1"
LABEL = derive_label("s-1", 0)


@contextmanager
def serving(port, handler):
    """Serves HTTP in a thread of its own, as a process of its own would."""
    loop = asyncio.new_event_loop()
    loop.run_until_complete(serve_http(Address(HOST, port), handler))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield
    loop.call_soon_threadsafe(lambda: [task.cancel() for task in asyncio.all_tasks(loop)])
    loop.call_soon_threadsafe(loop.call_later, 0.01, loop.stop)
    thread.join()
    loop.close()


class Start:
    """An early start on loopback, one server's socket, and a caller's packet on an open flow."""

    def __init__(self):
        names = ("packet_address", "ready_address", "control_address", "platform", "seed")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        addresses = {name: f"{HOST}:{port}" for name, port in self.ports.items()}
        seeds = (addresses["control_address"], addresses.pop("seed"))
        self.settings = msgspec.structs.replace(SETTINGS, seeds=seeds, **addresses)
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server.bind((HOST, 0))
        self.balancer = FlowBalancer(self.settings, Random(1), time.monotonic())
        codec = PlatformCodec(self.ports["packet_address"])
        packets = PacketSocket(self.balancer, codec, Address(HOST, self.ports["packet_address"]))
        client = EarlyClient(Address(HOST, self.ports["platform"]), Step.READ_PLATFORM)
        reader = StoreReader(self.settings, self.balancer, client)
        self.early = EarlyStart(self.settings, self.balancer, packets, reader, ReloadRequest())

    def send_packet(self):
        packet = Packet(0x64400007, 1001, ROUTE_IP, ROUTE_PORT, LABEL, FLAG_ACK, 7, 9, b"x")
        self.server.sendto(packet.encode(), (HOST, self.ports["packet_address"]))

    def received(self):
        self.server.settimeout(5)
        return self.server.recv(2048)

    def close(self):
        self.server.close()
        self.early.packets.close()

    def entry(self):
        address = f"{HOST}:{self.server.getsockname()[1]}"
        return {
            "service": "booking", "address": address, "zone": "a", "state": "ready", "slots": 2
        }  # fmt: skip

    def filled_store(self):
        store = PacketStore(50)
        store.put("servers/s-1", self.entry())
        store.put("op/config", {"version": 1, "routes": []})
        return store


def test_a_packet_is_forwarded_before_any_later_module_is_imported():
    start = Start()
    with serving(start.ports["platform"], start.filled_store().answer):
        start.send_packet()
        start.early.run([])
    start.send_packet()
    start.early.packets.receive()
    assert start.received().endswith(b"x")
    assert start.balancer.ready
    assert start.early.error is None
    start.close()


def test_a_peer_has_the_state_while_the_platform_is_silent():
    """Otherwise a start waits a second for the platform before it asks another entry VM."""
    start = Start()
    peer = FlowWorld(record("s-1"), start=time.monotonic())
    silent = socket.create_server((HOST, start.ports["platform"]))

    async def answer(_request):
        return HttpResponse(200, await StatePublisher(peer.balancer).answer(0, 0, 0.0, era=0))

    began_at = time.monotonic()
    with serving(start.ports["seed"], answer):
        start.early.run([])
    assert start.balancer.ready
    assert time.monotonic() - began_at < SETTINGS.reads.timeout
    assert start.early.error is None
    silent.close()
    start.close()


def test_without_any_source_the_failure_counts_as_one_failed_read():
    start = Start()
    start.early.run(["colorsys"])
    assert "colorsys" in sys.modules
    vm = PacketVm(start.settings, None, lambda *_: start.early.reader, lambda: None, start.early)
    assert vm._take_over_packets() is start.early.packets
    assert vm._group.platform_failures == 1
    start.close()


def test_a_start_serves_other_entry_vms_before_a_silent_platform_has_timed_out():
    """One that stops may hand the state over, but only to an HTTP service."""
    start = Start()
    silent = socket.create_server((HOST, start.ports["platform"]))
    began_at = time.monotonic()
    start.early.run(["colorsys"])
    assert time.monotonic() - began_at < SETTINGS.reads.timeout
    assert "no answer" in start.early.error.reason
    silent.close()
    start.close()


def test_a_slow_platform_that_has_begun_to_answer_is_waited_for():
    """Giving up would throw away half of what was read."""
    start = Start()
    answer = start.filled_store().answer

    async def answer_slowly(request):
        await asyncio.sleep(0.4)
        return await answer(request)

    with serving(start.ports["platform"], answer_slowly):
        cpu_began_at = time.process_time()
        start.early.run([])
    assert start.balancer.ready
    assert start.early.error is None
    assert time.process_time() - cpu_began_at < 0.5
    start.close()


def test_settings_are_read_again_after_a_signal_during_the_start():
    start = Start()
    start.early.reload_request.record()
    start.early.run([])
    reloads = []
    vm = PacketVm(start.settings, None, lambda *_: start.early.reader, lambda: None, start.early)
    vm._reload = lambda: reloads.append(True)
    vm._take_over_packets()
    assert reloads == [True]
    start.close()


def test_the_early_start_imports_neither_asyncio_nor_what_inspects_functions():
    program = (
        # Deployed without it; with it, msgspec uses `inspect`.
        "import json, sys; sys.modules['typing_extensions'] = None;"
        "import marjoramford.platform.__main__ as main;"
        "[main.defer_import(name) for name in main.RARELY_USED_MODULES];"
        "import marjoramford.platform.entry_points; print(json.dumps(list(sys.modules)))"
    )
    command = [sys.executable, "-S", "-c", program]
    environment = {"PYTHONPATH": ":".join(sys.path)}
    loaded = json.loads(subprocess.run(command, env=environment, stdout=-1, check=True).stdout)
    assert not {"asyncio", "ast", "dis", "subprocess", "tokenize"} & set(loaded)


def test_messages_that_are_too_long_or_end_early_are_not_complete():
    replies, requests = ReplyReader(100), RequestReader(100)
    replies.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
    assert replies.take() is None
    replies = ReplyReader(100)
    replies.feed(b"HTTP/1.1 200 OK\r\n\r\nuntil the connection ends")
    assert replies.take() is None
    replies = ReplyReader(100)
    replies.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n")
    assert replies.take().status == 503
    requests.feed(encode_request("POST", "a", "/x", b"{}") * 2)
    assert [requests.take().body for _ in range(2)] == [b"{}", b"{}"]
    for endless in (b"GET /", b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n"):
        requests = RequestReader(100)
        with pytest.raises(HttpError, match="at most"):
            requests.feed(endless + b"a" * 70_000)
    request = RequestReader(100)
    request.feed(b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n")
    assert not request.take().keeps_connection
