"""Stand-in for a backend server of opaque flows.

A request is one line of text in a flow. The server has a fixed number of slots and a bounded queue.
The answer repeats the request and names the service and the server. If the queue was full, the
request did not run, and the answer says `busy` in place of the server. A server may be cold for
some time after each start; its requests then take longer.
"""

from collections import Counter, deque
from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..opaque_flows.packets import FlowKey, format_ip
from ..platform.packets import FLAG_FIN, FLAG_RST, FLAG_SYN, SERVER_ID, server_number
from ..shared.addresses import Address
from .packet_endpoints import (
    FIRST_RETRANSMISSION_SECONDS,
    FLAG_ACK,
    MAX_RETRANSMISSION_SECONDS,
    SEQUENCE_MODULUS,
    Endpoint,
    Packet,
)

SLOTS = 2
QUEUE_LIMIT = 8
# Retransmissions of an answer before the server abandons the flow.
MAX_RETRANSMISSIONS = 8
# Processing time of a request at a cold server, as a multiple of that at a warm one.
COLD_WORK_FACTOR = 5.0
BUSY = "busy"


@dataclass(slots=True)
class ServerFlow:
    """State of a flow at its server.

    Attributes:
        opened: whether the opening handshake is complete.
        seq: sequence number of the first byte that the caller has not acknowledged.
        expected_seq: sequence number of the next byte expected from the caller.
        echo: label of the last packet, sent back to the caller.
        received: bytes of an incomplete request.
        answer: bytes sent that the caller has not acknowledged.
    """

    opened: bool
    seq: int
    expected_seq: int
    echo: int
    received: bytes = b""
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class OpenedFlow:
    """A flow that opened at the server.

    Attributes:
        at: when the handshake completed, in seconds.
    """

    flow: FlowKey
    at: float


class ServerObserver(Protocol):
    """Receives the events of a server."""

    def on_packet_received(self, server: "PacketServer", packet: Packet) -> None:
        """Handles a packet addressed to the server."""

    def on_flow_opened(self, server: "PacketServer", opening: OpenedFlow) -> None:
        """Handles a flow that opened at the server."""

    def on_request_started(self, server: "PacketServer", request: str) -> None:
        """Handles the start of a request at the server."""


@dataclass(frozen=True, slots=True)
class WorkItem:
    """A request that waits in the queue or occupies a slot."""

    key: FlowKey
    flow: ServerFlow
    request: str


class PacketServer:
    """A backend server.

    Attributes:
        runs: number of times that each request ran.
        opened_flows: flows that opened at this server, in order.
        counters: packets that the server could not use, by reason, and rejected requests.
        observer: receives the events of this server.
        incarnation: number of earlier starts under this name.
        warm_at: when its cold start is over, in seconds on the endpoint's clock.
    """

    def __init__(self, name: str, service: str, zone: str, work_seconds: float, random: Random):
        self.name = name
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.runs: Counter[str] = Counter()
        self.opened_flows: list[OpenedFlow] = []
        self.counters: Counter[str] = Counter()
        self.address: Address | None = None
        self.observer: ServerObserver | None = None
        self.incarnation = -1
        self.warm_at = float("-inf")
        self._server_id = server_number(name)
        self._random = random
        self._flows: dict[FlowKey, ServerFlow] = {}
        self._queue: deque[WorkItem] = deque()
        self._busy_slots = 0
        self._endpoint: Endpoint | None = None

    @property
    def load(self) -> int:
        """Number of requests that run or wait in the queue."""
        return self._busy_slots + len(self._queue)

    @property
    def alive(self) -> bool:
        """Whether the server runs."""
        return self._endpoint is not None

    @property
    def warmup_left_seconds(self) -> float:
        """Remaining time of the cold start; 0 if the server is warm or does not run."""
        return max(0.0, self.warm_at - self._endpoint.now()) if self.alive else 0.0

    def start(
        self, endpoint: Endpoint, address: Address, caller_port: int, warmup_seconds: float = 0.0
    ) -> None:
        """Starts the server, also again after a crash.

        Args:
            endpoint: clock, timer and socket of the server.
            address: address that the server receives at.
            caller_port: UDP port that all callers receive at.
            warmup_seconds: how long the server is cold.
        """
        self._endpoint = endpoint
        self.address = address
        self.incarnation += 1
        self.warm_at = endpoint.now() + warmup_seconds
        self._caller_port = caller_port

    def crash(self) -> None:
        """Stops at once, without closing any flow; its requests in progress are lost."""
        self._endpoint = None
        self._flows.clear()
        self._queue.clear()
        self._busy_slots = 0

    def has_open_flow(self, key: FlowKey) -> bool:
        """Returns whether a flow is open at this server."""
        flow = self._flows.get(key)
        return flow is not None and flow.opened

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the entry that the server publishes in the store."""
        born = {"born": self.incarnation} if self.incarnation else {}
        return born | {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "warmup_left_ms": round(self.warmup_left_seconds * 1000),
            "sequence": 1,
        }

    def handle_datagram(self, datagram: bytes) -> None:
        """Handles a packet forwarded by an entry VM."""
        if datagram[: SERVER_ID.size] not in (self._server_id, bytes(SERVER_ID.size)):
            self.counters["for another server"] += 1
            return
        packet = Packet.decode(datagram[SERVER_ID.size :])
        if self.observer is not None:
            self.observer.on_packet_received(self, packet)
        key = packet.caller_flow_key
        flow = self._flows.get(key)
        if packet.flags & FLAG_SYN:
            self._handle_opening(key, flow, packet)
        elif flow is None:
            self.counters["packets of no flow"] += 1
            self._send(key, ServerFlow(False, packet.ack, 0, packet.echo), FLAG_RST)
        else:
            self._handle_packet(key, flow, packet)

    def _handle_opening(self, key: FlowKey, flow: ServerFlow | None, packet: Packet) -> None:
        if flow is None:
            seq = self._random.randrange(SEQUENCE_MODULUS)
            flow = ServerFlow(False, seq, (packet.seq + 1) % SEQUENCE_MODULUS, packet.echo)
            self._flows[key] = flow
        flow.echo = packet.echo
        self._send(key, flow, FLAG_SYN | FLAG_ACK)

    def _handle_packet(self, key: FlowKey, flow: ServerFlow, packet: Packet) -> None:
        flow.echo = packet.echo
        if not flow.opened:
            if packet.ack != (flow.seq + 1) % SEQUENCE_MODULUS:
                return
            flow.opened = True
            flow.seq = packet.ack
            self.opened_flows.append(OpenedFlow(key, self._endpoint.now()))
            if self.observer is not None:
                self.observer.on_flow_opened(self, self.opened_flows[-1])
        if flow.answer and packet.ack == (flow.seq + len(flow.answer)) % SEQUENCE_MODULUS:
            flow.seq = packet.ack
            flow.answer = b""
        if packet.data:
            self._handle_data(key, flow, packet)
        if packet.flags & FLAG_FIN:
            self._send(key, flow, FLAG_FIN | FLAG_ACK)
            self._flows.pop(key, None)

    def _handle_data(self, key: FlowKey, flow: ServerFlow, packet: Packet) -> None:
        if packet.seq == flow.expected_seq:
            flow.expected_seq = (flow.expected_seq + len(packet.data)) % SEQUENCE_MODULUS
            flow.received += packet.data
            if flow.received.endswith(b"\n"):
                work = WorkItem(key, flow, flow.received.decode().strip())
                flow.received = b""
                self._accept(work)
        self._send(key, flow, FLAG_ACK)

    def _accept(self, work: WorkItem) -> None:
        if self._busy_slots < SLOTS:
            self._run(work)
        elif len(self._queue) < QUEUE_LIMIT:
            self._queue.append(work)
        else:
            self.counters["turned away"] += 1
            self._answer(work, BUSY)

    def _run(self, work: WorkItem) -> None:
        self._busy_slots += 1
        self.runs[work.request] += 1
        if self.observer is not None:
            self.observer.on_request_started(self, work.request)
        factor = COLD_WORK_FACTOR if self.warmup_left_seconds else 1.0
        incarnation = self.incarnation
        self._endpoint.after(self.work_seconds * factor, lambda: self._finish(work, incarnation))

    def _finish(self, work: WorkItem, incarnation: int) -> None:
        if not self.alive or self.incarnation != incarnation:
            return
        self._busy_slots -= 1
        self._answer(work, self.name)
        if self._queue:
            self._run(self._queue.popleft())

    def _answer(self, work: WorkItem, result: str) -> None:
        flow = work.flow
        flow.answer = f"{work.request} {self.service} {result}\n".encode()
        self._send_answer(work.key, flow, flow.answer, 0)

    def _send_answer(
        self, key: FlowKey, flow: ServerFlow, answer: bytes, retransmissions: int
    ) -> None:
        """Sends an answer, and retransmits it until the caller acknowledges it."""
        if flow.answer is not answer or not self.alive:
            return
        if retransmissions > MAX_RETRANSMISSIONS or self._flows.get(key) is not flow:
            return
        self._send(key, flow, FLAG_ACK, answer)
        delay = min(MAX_RETRANSMISSION_SECONDS, FIRST_RETRANSMISSION_SECONDS * 2**retransmissions)
        self._endpoint.after(
            delay, lambda: self._send_answer(key, flow, answer, retransmissions + 1)
        )

    def _send(self, key: FlowKey, flow: ServerFlow, flags: int, data: bytes = b"") -> None:
        packet = Packet(
            key.route_ip,
            key.route_port,
            key.caller_ip,
            key.caller_port,
            flow.echo,
            flags,
            flow.seq,
            flow.expected_seq,
            data,
        )
        if self._endpoint is not None:
            self._endpoint.send(
                packet.encode(), Address(format_ip(key.caller_ip), self._caller_port)
            )
