"""Stand-ins for the cases 6 to 10: the store, backend servers, requesters, and the entry VMs' settings.

Standard library alone. They follow PROTOCOL.md and DEPLOY.md. All of them run in the process of the
case; the entry VMs are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<HHIIIB5sIIHI")
SYN, ACK, FIN, RST, BOUNCED = 1, 8, 2, 64, 128
SUM_KEY = b"known to requesters and servers alone"
MODULUS = 1 << 32
MAX_DATA = 1200
SYN_COPIES = (0.2, 0.6)
SYN_TIMEOUT = 1.4
HEARTBEAT = 0.77
HISTORY_SECONDS = 20.0
STORE_ANSWER_SECONDS = 0.004
PAGE_ITEMS = 50


def now() -> float:
    return time.monotonic()


class Record:
    """Writes record.txt: a line for everything that was sent, answered or run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = now()

    def write(self, *words: object) -> None:
        print(f"{now() - self._started_at:8.3f}", *words, file=self._file, flush=True)

    def close(self) -> None:
        self._file.close()


# Packets


def ip_number(text: str) -> int:
    return int.from_bytes(socket.inet_aton(text), "big")


def ip_text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """A packet of a flow; `src` and `dst` are numbers."""

    __slots__ = ("dport", "sport", "src", "dst", "echo", "flags", "seq", "ack", "data", "sum")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq % MODULUS, ack % MODULUS
        self.echo, self.data = echo, data
        self.sum = self.keyed_sum()

    def keyed_sum(self) -> int:
        """Returns the sum over all fields except echo, pad and BOUNCED; never 0."""
        fields = struct.pack(
            "<HHIIBIIH",
            self.dport,
            self.sport,
            self.src,
            self.dst,
            self.flags & ~BOUNCED,
            self.seq,
            self.ack,
            len(self.data),
        )
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    @property
    def is_whole(self) -> bool:
        return self.sum == self.keyed_sum()

    def encode(self) -> bytes:
        head = HEADER.pack(
            self.dport,
            self.sport,
            self.src,
            self.dst,
            self.echo,
            self.flags,
            b"\0" * 5,
            self.seq,
            self.ack,
            len(self.data),
            self.sum,
        )
        return head + self.data

    @classmethod
    def decode(cls, raw: bytes) -> "Packet | None":
        if len(raw) < HEADER.size:
            return None
        dport, sport, src, dst, echo, flags, _, seq, ack, size, total = HEADER.unpack_from(raw)
        if len(raw) != HEADER.size + size:
            return None
        packet = cls(src, sport, dst, dport, flags, seq, ack, echo, raw[HEADER.size :])
        packet.sum = total
        return packet


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self._receive = receive

    def datagram_received(self, data, address):
        self._receive(data)

    def error_received(self, error):
        """An ICMP error after a send to a process that is not running; the datagram is lost."""


async def open_udp(address: tuple[str, int], receive) -> asyncio.DatagramTransport:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(receive), local_addr=address
    )
    return transport


def ahead(later: int, earlier: int) -> int:
    return (later - earlier + MODULUS // 2) % MODULUS - MODULUS // 2


class Sender:
    """Sends the data of one end in order, with retransmissions after 0.2 s, doubling up to 1.6 s."""

    def __init__(self, seq: int, transmit, give_up, most: int):
        self.seq = seq
        self._transmit, self._give_up, self._most = transmit, give_up, most
        self._unacked: list[tuple[int, bytes]] = []
        self._timer = None
        self._tries = 0

    @property
    def is_idle(self) -> bool:
        return not self._unacked

    def send(self, data: bytes) -> None:
        for start in range(0, len(data), MAX_DATA):
            piece = data[start : start + MAX_DATA]
            self._unacked.append((self.seq, piece))
            self._transmit(self.seq, piece)
            self.seq = (self.seq + len(piece)) % MODULUS
        self._arm()

    def acknowledge(self, ack: int) -> None:
        left = [(s, d) for s, d in self._unacked if ahead(ack, s + len(d)) < 0]
        if len(left) != len(self._unacked):
            self._unacked, self._tries = left, 0
            self._arm()

    def stop(self) -> None:
        self._unacked = []
        self._arm()

    def _arm(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._unacked:
            delay = min(1.6, 0.2 * 2**self._tries)
            self._timer = asyncio.get_running_loop().call_later(delay, self._repeat)

    def _repeat(self) -> None:
        self._tries += 1
        if self._tries > self._most:
            self._unacked = []
            self._give_up()
            return
        for seq, piece in self._unacked:
            self._transmit(seq, piece)
        self._arm()


class Receiver:
    """Puts the other end's data in order; every second packet and every repetition is acked."""

    def __init__(self, expected: int):
        self.expected = expected
        self._early: dict[int, bytes] = {}
        self._unacked = 0

    def take(self, packet: Packet) -> tuple[bytes, bool]:
        """Returns new data, and whether to acknowledge now."""
        if not packet.data:
            return b"", False
        if ahead(packet.seq, self.expected) < 0:
            return b"", True
        self._early[packet.seq] = packet.data
        new = b""
        while self.expected in self._early:
            piece = self._early.pop(self.expected)
            new += piece
            self.expected = (self.expected + len(piece)) % MODULUS
        self._unacked += 1
        at_once = self._unacked % 2 == 0 or not new
        return new, at_once


# Backend servers


class _ServerFlow:
    def __init__(self, first: int, isn: int):
        self.isn, self.opened = isn, False
        self.receiver = Receiver((first + 1) % MODULUS)
        self.sender: Sender | None = None
        self.echo = 0
        self.buffer = b""
        self.ended = False


class Server:
    """A backend server that runs one request per flow at a time."""

    def __init__(self, identity, service, zone, address, requester_port, record, work=0.03, slots=2):
        self.identity, self.service, self.zone = identity, service, zone
        self.address, self.record, self.work, self.slots = address, record, work, slots
        self.number = int(identity.rpartition("-")[2], 16)
        self.state = "ready"
        self.born: int | None = None
        self.sequence = 0
        self.started: list[tuple[str, float]] = []
        self.opened: dict[tuple, float] = {}
        self.opening_packets: list[tuple[tuple, float]] = []
        self.resets = 0
        self.foreign = 0
        self._requester_port = requester_port
        self._flows: dict[tuple, _ServerFlow] = {}
        self._busy, self._queue = 0, []
        self._transport = None

    async def start(self) -> None:
        self._transport = await open_udp(self.address, self._receive)
        self.record.write("server", self.identity, self.service, self.zone, "listens at", self.address)

    def entry(self) -> dict:
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
        }
        if self.born is not None:
            entry["born"] = self.born
        return entry

    def _receive(self, raw: bytes) -> None:
        number = int.from_bytes(raw[:8], "big")
        if number not in (0, self.number):
            return
        packet = Packet.decode(raw[8:])
        if packet is None or not packet.is_whole:
            self.foreign += 1
            self.record.write("server", self.identity, "got a packet that its sender did not write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._open(key, packet)
            return
        if packet.flags & RST:
            if flow:
                self._end(key)
            return
        if flow is None or (not flow.opened and packet.ack != (flow.isn + 1) % MODULUS):
            self.resets += 1
            self.record.write("server", self.identity, "resets", show(key), "that it does not hold")
            self._send(key, RST, packet.ack, 0, packet.echo)
            return
        flow.echo = packet.echo
        if not flow.opened:
            flow.opened = True
            self.opened[key] = now()
            self.record.write("server", self.identity, "opens", show(key))
        flow.sender.acknowledge(packet.ack)
        data, at_once = flow.receiver.take(packet)
        if packet.flags & FIN:
            self._send(key, ACK | FIN, flow.sender.seq, packet.seq + len(packet.data) + 1, flow.echo)
            self._end(key)
            return
        if at_once:
            self._send(key, ACK, flow.sender.seq, flow.receiver.expected, flow.echo)
        if data:
            flow.buffer += data
            self._parse(key, flow)

    def _open(self, key, packet: Packet) -> None:
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _ServerFlow(packet.seq, random.getrandbits(32))
            flow.sender = Sender(
                (flow.isn + 1) % MODULUS,
                lambda seq, data: self._send(key, ACK, seq, flow.receiver.expected, flow.echo, data),
                lambda: self._end(key),
                8,
            )
            self.opening_packets.append((key, now()))
        if not flow.opened:
            flow.echo = packet.echo
            self._send(key, SYN | ACK, flow.isn, packet.seq + 1, flow.echo)

    def _end(self, key) -> None:
        flow = self._flows.pop(key, None)
        if flow:
            flow.ended = True
            flow.sender.stop()

    def _parse(self, key, flow) -> None:
        head, found, body = flow.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        fields = dict(re.findall(r"(?m)^([\w-]+): (.*?)\r?$", head.decode()))
        if len(body) < int(fields["Content-Length"]):
            return
        flow.buffer = b""
        self._queue.append((key, flow, fields["Request-Id"]))
        self._work_on()

    def _work_on(self) -> None:
        while self._queue and self._busy < self.slots:
            key, flow, request = self._queue.pop(0)
            self._busy += 1
            self.started.append((request, now()))
            self.record.write("server", self.identity, "runs", request)
            loop = asyncio.get_running_loop()
            loop.call_later(self.work, self._answer, key, flow, request)

    def _answer(self, key, flow, request) -> None:
        self._busy -= 1
        if not flow.ended:
            body = f"{request} by {self.identity}".encode()
            body += b"." * (600 - len(body))
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nContent-Length: {len(body)}\r\n\r\n"
            flow.sender.send(head.encode() + body)
            if self.state == "draining":
                self._send(key, ACK | FIN, flow.sender.seq, flow.receiver.expected, flow.echo)
        self._work_on()

    def _send(self, key, flags, seq, ack, echo, data=b"") -> None:
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, echo, data)
        self._transport.sendto(packet.encode(), (ip_text(src), self._requester_port))


def show(key) -> str:
    return f"{ip_text(key[0])}:{key[1]}>{ip_text(key[2])}:{key[3]}"


# Requesters


class Flow:
    """One flow of a requester, from its opening to its end.

    Attributes:
        outcome: None while it is opening; "open", "no answer", "reset" or "closed" by the server.
        reset_by: "system" or "server" once it was reset.
    """

    def __init__(self, requester: "Requester", node: "Node", route: tuple[str, int], port: int):
        self.requester, self.node, self.record = requester, node, requester.record
        self.key = (ip_number(requester.ip), port, ip_number(route[0]), route[1])
        self.opened_at = None
        self.sent_at = now()
        self.outcome = None
        self.reset_by = None
        self.reset_at = None
        self.echo = 0
        self.settled = asyncio.Event()
        self._isn = random.getrandbits(32)
        self._last_ack = 0
        self._sender: Sender | None = None
        self._receiver: Receiver | None = None
        self._answer: asyncio.Future | None = None
        self._buffer = b""
        self._syn(0)

    def _syn(self, copy: int) -> None:
        if self.outcome is not None:
            return
        self._transmit(SYN, self._isn, copy)
        loop = asyncio.get_running_loop()
        if copy < len(SYN_COPIES):
            delay = SYN_COPIES[copy] - (SYN_COPIES[copy - 1] if copy else 0.0)
            loop.call_later(delay, self._syn, copy + 1)
        else:
            loop.call_later(SYN_TIMEOUT - SYN_COPIES[-1], self._expire)

    def _expire(self) -> None:
        if self.outcome is None:
            self._settle("no answer")

    def _settle(self, outcome: str) -> None:
        self.outcome = outcome
        self.settled.set()

    def _transmit(self, flags, seq, ack, data=b"") -> None:
        packet = Packet(*self.key, flags, seq, ack, self.echo, data)
        self.requester.send(packet, self.node)

    def receive(self, packet: Packet) -> None:
        if packet.flags & RST:
            self._take_reset(packet)
            return
        if self.outcome not in (None, "open"):
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.outcome is None:
                self._last_ack = (packet.seq + 1) % MODULUS
                self._receiver = Receiver(self._last_ack)
                self._sender = Sender(
                    (self._isn + 1) % MODULUS,
                    lambda seq, data: self._transmit(ACK, seq, self._receiver.expected, data),
                    lambda: None,
                    1000,
                )
                self.opened_at = now()
                self._settle("open")
                self._transmit(ACK, self._sender.seq, self._receiver.expected)
            return
        if self.outcome != "open":
            return
        self._sender.acknowledge(packet.ack)
        data, at_once = self._receiver.take(packet)
        if data:
            self._last_ack = self._receiver.expected
            self._buffer += data
            head, found, body = self._buffer.partition(b"\r\n\r\n")
            fields = dict(re.findall(r"(?m)^([\w-]+): (.*?)\r?$", head.decode())) if found else {}
            if found and len(body) >= int(fields["Content-Length"]):
                self._buffer = b""
                at_once = True
                if self._answer and not self._answer.done():
                    self._answer.set_result((fields["Request-Id"], body))
        if at_once:
            self._transmit(ACK, self._sender.seq, self._receiver.expected)
        if packet.flags & FIN:
            self.close()
            self._settle("closed")

    def _take_reset(self, packet: Packet) -> None:
        is_system = packet.sum == 0 and not packet.data
        if is_system and self.outcome == "open" and abs(ahead(packet.seq, self._last_ack)) > 76_800:
            return
        if not is_system and not packet.is_whole or self.outcome not in (None, "open"):
            return
        self.reset_by, self.reset_at = "system" if is_system else "server", now()
        was_open = self.outcome == "open"
        self.record.write(
            "requester got a reset from the", self.reset_by, "on", show(self.key),
            "which was open" if was_open else "which was not open",
        )  # fmt: skip
        self._settle("reset")
        if self._sender:
            self._sender.stop()
        if self._answer and not self._answer.done():
            self._answer.set_result(None)

    async def request(self, request: str, deadline: float, size: int = 0) -> bytes | None:
        """Sends a request; returns the answer's body, or None without an answer in time."""
        self._answer = asyncio.get_running_loop().create_future()
        head = f"POST /holds HTTP/1.1\r\nRequest-Id: {request}\r\nContent-Length: {size}\r\n\r\n"
        self.record.write("requester sends", request, "on", show(self.key))
        self._sender.send(head.encode() + b"x" * size)
        try:
            async with asyncio.timeout(deadline):
                answer = await self._answer
        except TimeoutError:
            answer = None
        self.record.write("requester got", "an answer to" if answer else "no answer to", request)
        if answer and answer[0] != request:
            self.record.write("requester got a foreign answer", answer[0], "to", request)
            return None
        return answer[1] if answer else None

    def close(self) -> None:
        if self.outcome == "open":
            self._transmit(ACK | FIN, self._sender.seq, self._receiver.expected)
            self._sender.stop()
        self.requester.flows.pop(self.key, None)


class Requester:
    """All requesters behind one address."""

    def __init__(self, ip: str, port: int, record: Record):
        self.ip, self.port, self.record = ip, port, record
        self.flows: dict[tuple, Flow] = {}
        self._next_port = 20_000
        self._transport = None

    async def start(self) -> None:
        self._transport = await open_udp((self.ip, self.port), self._receive)

    def open(self, node: "Node", route: tuple[str, int]) -> Flow:
        """Opens a flow whose packets the router sends to a node."""
        self._next_port += 1
        flow = Flow(self, node, route, self._next_port)
        self.flows[flow.key] = flow
        return flow

    def send(self, packet: Packet, node: "Node") -> None:
        self._transport.sendto(packet.encode(), node.packet_address)

    def _receive(self, raw: bytes) -> None:
        packet = Packet.decode(raw)
        if packet is None:
            return
        flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
        if flow:
            flow.receive(packet)


# The store


def encode(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


class Store:
    """The platform's store: range reads and watches. It keeps 20 s of history."""

    def __init__(self, record: Record):
        self.record = record
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.largest_answer = 0
        self._values: dict[str, object] = {}
        self._history: list[tuple[float, dict]] = []
        self._dropped_through = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> int:
        """Writes an item and returns its revision; the return is the acknowledgement."""
        raw = encode(value)
        self.revision += 1
        created = self.items.get(key, {}).get("create_revision", self.revision)
        item = {
            "key": key,
            "value": b64encode(raw).decode(),
            "revision": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self.items[key] = item
        self._values[key] = value
        self._add(item)
        return self.revision

    def put_entry(self, server: Server) -> None:
        """Writes a server's entry; it changes if more than `sequence` changes."""
        key = f"servers/{server.identity}"
        entry = server.entry()
        known = self._values.get(key)
        if isinstance(known, dict) and {**known, "sequence": 0} == {**entry, "sequence": 0}:
            return
        revision = self.put(key, entry)
        self.record.write("store: entry of", server.identity, entry["state"], "revision", revision)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None):
            self._values.pop(key, None)
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "tombstone": True})

    def _add(self, event: dict) -> None:
        self._history.append((now(), event["revision"], event["key"], encode(event)))
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_old_history(self) -> None:
        while self._history and self._history[0][0] < now() - HISTORY_SECONDS:
            self._dropped_through = self._history.pop(0)[1]

    async def serve(self, address: tuple[str, int]) -> asyncio.Server:
        return await asyncio.start_server(self._serve, *address)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = re.search(r"(?i)content-length: *(\d+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                await asyncio.sleep(STORE_ANSWER_SECONDS)
                status, raw = await self._answer(target)
                self.largest_answer = max(self.largest_answer, len(raw))
                if len(raw) > 4_000_000:
                    self.record.write("store answers", len(raw), "bytes to", target)
                answer = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{answer}Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The connection has ended, or the case has.
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:PAGE_ITEMS]]
            has_more = len(keys) > PAGE_ITEMS
            return 200, encode({"items": items, "has_more": has_more, "as_of": self.revision})
        if parts.path != "/v1/kv-watch":
            return 404, b"{}"
        after, ends_at = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            self._drop_old_history()
            if after < self._dropped_through:
                return 410, b"{}"
            prefix = query.get("prefix", "")
            events = [
                event
                for _, revision, key, event in self._history
                if revision > after and key.startswith(prefix)
            ]
            if events or now() >= ends_at:
                body = b'{"events":[%b],"as_of":%d}' % (b",".join(events), self.revision)
                return 200, body
            try:
                async with asyncio.timeout(ends_at - now()):
                    await self._changed.wait()
            except TimeoutError:
                pass


class _Link:
    """A connection through a proxy; a silent one carries nothing and stays open."""

    silent = False


class StoreProxy:
    """Carries the entry VMs' connections to the store; can let the open ones go silent for good."""

    def __init__(self, store_address):
        self._store_address = store_address
        self._links: set[_Link] = set()

    async def serve(self, address) -> asyncio.Server:
        return await asyncio.start_server(self._serve, *address)

    def silence(self) -> int:
        """Lets all open connections go silent, without a reset; new ones work."""
        links = [link for link in self._links if not link.silent]
        for link in links:
            link.silent = True
        return len(links)

    async def _serve(self, reader, writer) -> None:
        link = _Link()
        self._links.add(link)
        upstream_reader, upstream_writer = await asyncio.open_connection(*self._store_address)
        jobs = [
            asyncio.create_task(self._carry(link, reader, upstream_writer)),
            asyncio.create_task(self._carry(link, upstream_reader, writer)),
        ]
        try:
            await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The case has ended.
            pass
        for job in jobs:
            job.cancel()
        self._links.discard(link)
        upstream_writer.close()
        writer.close()

    async def _carry(self, link, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass


# Entry VMs


def render(template: str, fields: dict) -> str:
    """Fills in deploy/entry-vm.json as DEPLOY.md describes it, as far as the file needs it."""

    def find(name: str):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match) -> str:
        value = find(match[1])
        if value is None or value is False:
            return ""
        return match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def place(match) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Node:
    """An entry VM: a process of the project, started as the deploy file says."""

    def __init__(self, name: str, zone: str, ip: str, deployment: "Deployment"):
        self.name, self.zone, self.ip, self._deployment = name, zone, ip, deployment
        self.packet_address = (ip, deployment.ports["datagram"])
        self.process: subprocess.Popen | None = None
        self.settings_path = deployment.folder / f"{name}.conf"
        self._log = None

    def write_settings(self) -> None:
        ports = self._deployment.ports
        fields = self._deployment.fields | {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "datagram_addr": f"{self.ip}:{ports['datagram']}",
                "ready": f"{self.ip}:{ports['ready']}",
                "control": f"{self.ip}:{ports['control']}",
            },
        }
        self.settings_path.write_text(render(self._deployment.template, fields))

    def start(self) -> None:
        self.write_settings()
        role = next(iter(self._deployment.deploy_file["roles"].values()))
        command = role["run"].split()
        self._log = (self._deployment.folder / f"{self.name}.log").open("ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MARJORAMFORD_BOOT"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        self.process = subprocess.Popen(
            command, cwd=REPOSITORY, env=environment, stdout=self._log, stderr=self._log
        )

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._deployment.ports["ready"]
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status = await reader.readline()
                writer.close()
                return b" 200" in status
        except (OSError, TimeoutError):
            return False

    def stop(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        if self._log:
            self._log.close()

    def log(self) -> list[dict]:
        """Returns the lines that the process logged."""
        lines = []
        for line in (self._deployment.folder / f"{self.name}.log").read_text().splitlines():
            if line.startswith("{"):
                lines.append(json.loads(line))
        return lines


ZONES = {"tunis-ville": 2, "sousse-depot": 2, "metlaoui-hall": 2, "bizerte-annex": 1}


class Deployment:
    """The entry VMs, store and servers of a site like svb-gare, on loopback addresses."""

    def __init__(self, folder: Path, record: Record):
        self.folder, self.record = folder, record
        self.net = f"127.{64 + os.getpid() % 150}"
        self.ports = self._find_ports()
        self.deploy_file = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = next(iter(self.deploy_file["roles"].values()))
        self.template = (REPOSITORY / role["template"]).read_text()
        self.store = Store(record)
        self.proxy = StoreProxy(self.store_address)
        self.servers: list[Server] = []
        self.requester = Requester(f"{self.net}.200.1", self.ports["datagram"], record)
        self.nodes: list[Node] = []
        for zone_number, (zone, count) in enumerate(ZONES.items(), 1):
            for number in range(1, count + 1):
                ip = f"{self.net}.{zone_number}.{number}"
                self.nodes.append(Node(f"front-{zone}-{number}", zone, ip, self))
        seeds = [f"{node.ip}:{self.ports['control']}" for node in (self.nodes[0], self.nodes[2], self.nodes[4])]
        self.fields = {
            "platform": {"address": f"{self.net}.100.1:{self.ports['store']}"},
            "internal_ports": [self.ports["internal"], self.ports["internal"] + 1],
            "seeds": seeds,
            "limits": {"link_mbps": 1000.0},
            "bounds": {"flow_max_s": 60, "grace_s": 6},
        }
        self._tasks: list[asyncio.Task] = []

    @property
    def store_address(self) -> tuple[str, int]:
        return f"{self.net}.100.2", self.ports["store"]

    def _find_ports(self) -> dict[str, int]:
        names = ["datagram", "ready", "control", "internal", "internal_2", "store", "server"]
        while True:
            base = random.randrange(21_000, 30_000)
            ports = {name: base + number for number, name in enumerate(names)}
            if all(map(_is_free, ports.values())):
                return ports

    def add_server(self, identity: str, service: str, zone: str, **options) -> Server:
        ip = f"{self.net}.150.{len(self.servers) + 1}"
        address = (ip, self.ports["server"])
        server = Server(
            identity, service, zone, address, self.ports["datagram"], self.record, **options
        )
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Starts everything and returns once all entry VMs are ready."""
        await self.store.serve(self.store_address)
        await self.proxy.serve((f"{self.net}.100.1", self.ports["store"]))
        await self.requester.start()
        for server in self.servers:
            await server.start()
            self.store.put_entry(server)
            self._tasks.append(asyncio.create_task(self._report(server)))
        for node in self.nodes:
            node.start()
        ends_at = now() + 20
        while not all([await node.is_ready() for node in self.nodes]):
            if now() > ends_at:
                raise CannotRun("the entry VMs did not become ready")
            await asyncio.sleep(0.2)
        self.record.write("all", len(self.nodes), "entry VMs are ready")

    async def _report(self, server: Server) -> None:
        await asyncio.sleep(random.random() * HEARTBEAT)
        while True:
            self.store.put_entry(server)
            await asyncio.sleep(HEARTBEAT)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.stop()


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                return False
    return True


class CannotRun(Exception):
    """The case could not run."""


def run_case(play, here: Path) -> None:
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    Args:
        play: coroutine function of the deployment and whether to disturb; returns what broke the
            rule, a line each.
        here: folder of the case, for record.txt.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(here / "record.txt")
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(_play(play, Path(folder), record, trouble))
        except CannotRun as error:
            record.write("could not run:", error)
            print(f"could not run: {error}")
    record.close()
    sys.exit(status)


async def _play(play, folder: Path, record: Record, trouble: bool) -> int:
    deployment = Deployment(folder, record)
    try:
        async with asyncio.timeout(110):
            broken = await play(deployment, trouble)
    except TimeoutError:
        raise CannotRun("took too long") from None
    finally:
        deployment.stop()
    for line in broken:
        record.write("BROKEN:", line)
    print(f"{len(broken)} breaks" + (f", first: {broken[0]}" if broken else ""))
    return 1 if broken else 0
