"""Stand-ins for the two ends of opaque flows on the platform: backend servers and callers.

Both speak the platform's packets over UDP on loopback. A request is one line of text in a flow; the
answer is one line that repeats it and names the server.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from socket import inet_aton

from ..addresses import Address
from ..packets import FlowKey, format_ip
from ..platform.packets import FLAG_FIN, FLAG_RST, FLAG_SYN, HEAD, MAX_DATA_BYTES, server_number

FLAG_ACK = 8
COPY_TIMES = (0.2, 0.6)
OPEN_TIMEOUT = 1.4
FIRST_RETRANSMISSION = 0.2
MAX_RETRANSMISSION = 1.6


@dataclass(slots=True)
class Packet:
    """A packet as its ends see it."""

    src: int
    sport: int
    dst: int
    dport: int
    echo: int
    flags: int
    seq: int
    ack: int
    data: bytes = b""

    def encode(self) -> bytes:
        """Returns the datagram."""
        head = HEAD.pack(
            self.dport,
            self.sport,
            self.src,
            self.dst,
            self.echo,
            self.flags,
            self.seq,
            self.ack,
            len(self.data),
            0,
        )
        return head + self.data

    @classmethod
    def decode(cls, datagram: bytes) -> "Packet":
        """Reads a datagram."""
        dport, sport, src, dst, echo, flags, seq, ack, size, _ = HEAD.unpack_from(datagram)
        data = datagram[HEAD.size : HEAD.size + size]
        return cls(src, sport, dst, dport, echo, flags, seq, ack, data)


@dataclass(slots=True)
class ServerFlow:
    """A flow at a server."""

    opened: bool
    seq: int
    expected: int
    echo: int
    received: bytes = b""


class PacketServer(asyncio.DatagramProtocol):
    """A backend server: runs each request once and remembers that it did."""

    def __init__(self, name: str, service: str, zone: str, work_seconds: float, random: Random):
        self.name = name
        self.service = service
        self.zone = zone
        self.runs: Counter[str] = Counter()
        self.openings: list[float] = []
        self.counters: Counter[str] = Counter()
        self.address: Address | None = None
        self._number = server_number(name)
        self._work_seconds = work_seconds
        self._random = random
        self._flows: dict[FlowKey, ServerFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address, caller_port: int) -> None:
        """Listens at an address; callers receive at `caller_port`."""
        self._caller_port = caller_port
        self.address = address
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def crash(self) -> None:
        """Ends without a word."""
        if self._transport is not None:
            self._transport.close()

    def holds(self, key: FlowKey) -> bool:
        """Tells whether a flow is open here."""
        flow = self._flows.get(key)
        return flow is not None and flow.opened

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
        }

    def datagram_received(self, datagram: bytes, _address: tuple[str, int]) -> None:
        """Takes a packet that an entry VM sent on."""
        if datagram[:8] not in (self._number, bytes(8)):
            self.counters["for another server"] += 1
            return
        packet = Packet.decode(datagram[8:])
        key = FlowKey(packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & FLAG_SYN:
            if flow is None:
                seq = self._random.randrange(2**32)
                flow = ServerFlow(False, seq, (packet.seq + 1) % 2**32, packet.echo)
                self._flows[key] = flow
            flow.echo = packet.echo
            self._send(key, flow, FLAG_SYN | FLAG_ACK)
            return
        if flow is None:
            self.counters["packets of no flow"] += 1
            self._send(key, ServerFlow(False, packet.ack, 0, packet.echo), FLAG_RST)
            return
        flow.echo = packet.echo
        if not flow.opened:
            if packet.ack != (flow.seq + 1) % 2**32:
                return
            flow.opened = True
            flow.seq = packet.ack
            self.openings.append(time.monotonic())
        self._take(key, flow, packet)

    def _take(self, key: FlowKey, flow: ServerFlow, packet: Packet) -> None:
        if packet.data and packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % 2**32
            flow.received += packet.data
            if flow.received.endswith(b"\n"):
                request = flow.received.decode().strip()
                flow.received = b""
                self.runs[request] += 1
                loop = asyncio.get_running_loop()
                loop.call_later(self._work_seconds, self._respond, key, flow, request)
        if packet.data:
            self._send(key, flow, FLAG_ACK)
        if packet.flags & FLAG_FIN:
            self._send(key, flow, FLAG_FIN | FLAG_ACK)
            self._flows.pop(key, None)

    def _respond(self, key: FlowKey, flow: ServerFlow, request: str) -> None:
        answer = f"{request} {self.service} {self.name}\n".encode()
        self._send(key, flow, FLAG_ACK, answer)
        flow.seq = (flow.seq + len(answer)) % 2**32

    def _send(self, key: FlowKey, flow: ServerFlow, flags: int, data: bytes = b"") -> None:
        packet = Packet(
            key.route_ip,
            key.route_port,
            key.caller_ip,
            key.caller_port,
            flow.echo,
            flags,
            flow.seq,
            flow.expected,
            data,
        )
        if self._transport is not None and not self._transport.is_closing():
            address = (format_ip(key.caller_ip), self._caller_port)
            self._transport.sendto(packet.encode(), address)


class FlowEnd(Enum):
    """How a try ended."""

    ANSWERED = "answered"
    NEVER_OPENED = "never opened"
    RESET = "reset"
    TIMED_OUT = "timed out"


@dataclass(slots=True)
class CallerFlow:
    """A flow at its caller.

    Attributes:
        server_seq: the next number expected of the server; None while the flow is not open.
        opened_at: when the server's answer to the opening came, on the steady clock.
        reset_at: when a reset came.
    """

    key: FlowKey
    seq: int
    label: int = 0
    server_seq: int | None = None
    opened_at: float | None = None
    reset_at: float | None = None
    answer: bytes = b""
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class PacketCaller(asyncio.DatagramProtocol):
    """Callers of one address: flows from ever new ports.

    Args:
        choose_entry_vm: names the address to which the fabric takes a flow's packet now.
    """

    def __init__(self, ip: str, random: Random, choose_entry_vm):
        self._ip = int.from_bytes(inet_aton(ip), "big")
        self._random = random
        self._choose_entry_vm = choose_entry_vm
        self._flows: dict[tuple[int, int, int], CallerFlow] = {}
        self._next_port = 1024
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, port: int) -> None:
        """Receives at a port, the same for all callers and entry VMs."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(format_ip(self._ip), port)
        )

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def new_flow(self, route_ip: int, route_port: int) -> CallerFlow:
        """Makes a flow from a port that was not used before."""
        self._next_port += 1
        key = FlowKey(self._ip, self._next_port, route_ip, route_port)
        flow = CallerFlow(key, self._random.randrange(2**32))
        self._flows[(key.caller_port, route_ip, route_port)] = flow
        return flow

    async def open(self, flow: CallerFlow) -> bool:
        """Opens a flow with copies of the opening packet; tells whether a server answered."""
        started_at = time.monotonic()
        for copy, at in enumerate((*COPY_TIMES, OPEN_TIMEOUT)):
            self._send(flow, FLAG_SYN, ack=copy)
            await self._wait(flow, started_at + at, lambda: flow.opened_at is not None)
            if flow.opened_at is not None or flow.reset_at is not None:
                break
        return flow.opened_at is not None

    async def request(self, flow: CallerFlow, text: str, deadline: float) -> FlowEnd:
        """Sends one request on an open flow, again and again until its answer is there."""
        data = f"{text}\n".encode()[:MAX_DATA_BYTES]
        flow.answer = b""
        pause = FIRST_RETRANSMISSION
        while flow.reset_at is None and time.monotonic() < deadline:
            self._send(flow, FLAG_ACK, data)
            until = min(deadline, time.monotonic() + pause)
            await self._wait(flow, until, lambda: flow.answer.endswith(b"\n"))
            if flow.answer.endswith(b"\n"):
                flow.seq = (flow.seq + len(data)) % 2**32
                return FlowEnd.ANSWERED
            pause = min(MAX_RETRANSMISSION, 2 * pause)
        return FlowEnd.RESET if flow.reset_at is not None else FlowEnd.TIMED_OUT

    def close(self, flow: CallerFlow) -> None:
        """Ends a flow."""
        if flow.opened_at is not None and flow.reset_at is None:
            self._send(flow, FLAG_FIN | FLAG_ACK)
        key = flow.key
        self._flows.pop((key.caller_port, key.route_ip, key.route_port), None)

    def datagram_received(self, datagram: bytes, _address: tuple[str, int]) -> None:
        """Takes a packet of a server, or a reset."""
        packet = Packet.decode(datagram)
        flow = self._flows.get((packet.dport, packet.src, packet.sport))
        if flow is None:
            return
        if packet.flags & FLAG_RST:
            flow.reset_at = time.monotonic()
        elif packet.flags & FLAG_SYN:
            flow.label = packet.echo
            if flow.server_seq is None:
                flow.server_seq = (packet.seq + 1) % 2**32
                flow.opened_at = time.monotonic()
                flow.seq = (flow.seq + 1) % 2**32
            self._send(flow, FLAG_ACK)
        else:
            flow.label = packet.echo
            if packet.data and packet.seq == flow.server_seq:
                flow.server_seq = (flow.server_seq + len(packet.data)) % 2**32
                flow.answer += packet.data
                self._send(flow, FLAG_ACK)
        flow.changed.set()

    async def _wait(self, flow: CallerFlow, until: float, done) -> None:
        while not done() and flow.reset_at is None:
            flow.changed.clear()
            remaining = until - time.monotonic()
            if remaining <= 0:
                return
            try:
                async with asyncio.timeout(remaining):
                    await flow.changed.wait()
            except TimeoutError:
                return

    def _send(
        self, flow: CallerFlow, flags: int, data: bytes = b"", ack: int | None = None
    ) -> None:
        key = flow.key
        opening = bool(flags & FLAG_SYN)
        packet = Packet(
            key.caller_ip,
            key.caller_port,
            key.route_ip,
            key.route_port,
            0 if opening else flow.label,
            flags,
            flow.seq,
            ack if opening else flow.server_seq or 0,
            data,
        )
        address = self._choose_entry_vm(key)
        if address is not None and self._transport is not None:
            self._transport.sendto(packet.encode(), (address.host, address.port))
