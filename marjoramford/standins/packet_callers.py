"""Stand-in for the callers of opaque flows, with the platform's timers for retransmission."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from socket import inet_aton

from ..opaque_flows.packets import FlowKey
from ..platform.packets import FLAG_FIN, FLAG_RST, FLAG_SYN, MAX_DATA_BYTES
from ..shared.addresses import Address
from .packet_endpoints import (
    FIRST_RETRANSMISSION_SECONDS,
    FLAG_ACK,
    MAX_RETRANSMISSION_SECONDS,
    SEQUENCE_MODULUS,
    Endpoint,
    Packet,
)
from .packet_servers import BUSY

# When copies of an opening packet are sent, counted from the first one.
COPY_DELAYS_SECONDS = (0.2, 0.6)
OPEN_TIMEOUT_SECONDS = 1.4


class AttemptOutcome(Enum):
    """Outcome of one attempt at a request."""

    ANSWERED = "answered"
    TURNED_AWAY = "turned away"
    NEVER_OPENED = "never opened"
    RESET = "reset"
    TIMED_OUT = "timed out"


@dataclass(slots=True)
class CallerFlow:
    """State of a flow at its caller.

    Attributes:
        seq: sequence number of the first byte that the server has not answered.
        label: label of the last packet from the server.
        server_seq: next sequence number expected from the server; None while the flow is not open.
        opened_at: when the server's reply to the opening packet arrived, in seconds.
        reset_at: when a reset arrived, in seconds.
        sent_at: when the first opening packet was sent, in seconds.
        acknowledged: highest acknowledgement number received from the server.
        answer: bytes of the current answer received so far.
        on_change: called after each packet received; None while nothing is awaited.
        wait_number: number of the current wait; timers of an earlier one are ignored.
    """

    key: FlowKey
    seq: int
    label: int = 0
    server_seq: int | None = None
    opened_at: float | None = None
    reset_at: float | None = None
    sent_at: float | None = None
    acknowledged: int = 0
    answer: bytes = b""
    on_change: Callable[[], None] | None = None
    wait_number: int = 0


class PacketCaller:
    """Callers at one IP address; each flow uses a new port.

    Args:
        ip: address of the callers in dotted form.
        random: source of initial sequence numbers.
        choose_entry_vm: returns the address that the fabric now delivers a flow's packets to.

    Attributes:
        on_packet_sent: called with each packet sent.
        on_reset: called with each flow that receives a reset.
    """

    def __init__(
        self, ip: str, random: Random, choose_entry_vm: Callable[[FlowKey], Address | None]
    ):
        self.ip = int.from_bytes(inet_aton(ip), "big")
        self.on_packet_sent: Callable[[Packet], None] | None = None
        self.on_reset: Callable[[CallerFlow], None] | None = None
        self._random = random
        self._choose_entry_vm = choose_entry_vm
        self._flows: dict[tuple[int, int, int], CallerFlow] = {}
        self._next_port = 1024
        self._endpoint: Endpoint | None = None

    def start(self, endpoint: Endpoint) -> None:
        """Connects the callers to the network."""
        self._endpoint = endpoint

    def new_flow(self, route_ip: int, route_port: int) -> CallerFlow:
        """Creates a flow from a port not used before, without opening it."""
        self._next_port += 1
        key = FlowKey(self.ip, self._next_port, route_ip, route_port)
        flow = CallerFlow(key, self._random.randrange(SEQUENCE_MODULUS))
        self._flows[(key.caller_port, route_ip, route_port)] = flow
        return flow

    def open(self, flow: CallerFlow, on_done: Callable[[bool], None]) -> None:
        """Opens a flow, sending copies of the opening packet until a reply or a reset arrives.

        Args:
            flow: the flow to open.
            on_done: called with whether the flow opened before `OPEN_TIMEOUT_SECONDS`.
        """
        flow.sent_at = self._endpoint.now()

        def check_progress() -> None:
            if flow.opened_at is not None or flow.reset_at is not None:
                self._end_wait(flow)
                on_done(flow.opened_at is not None and flow.reset_at is None)

        def give_up() -> None:
            self._end_wait(flow)
            on_done(False)

        wait = self._begin_wait(flow, check_progress)
        self._send(flow, FLAG_SYN, ack=0)
        for copy, delay in enumerate(COPY_DELAYS_SECONDS, start=1):
            self._after_in_wait(
                delay, flow, wait, lambda copy=copy: self._send(flow, FLAG_SYN, ack=copy)
            )
        self._after_in_wait(OPEN_TIMEOUT_SECONDS, flow, wait, give_up)

    def send_request(
        self,
        flow: CallerFlow,
        text: str,
        deadline: float,
        on_done: Callable[[AttemptOutcome], None],
    ) -> None:
        """Sends a request on an open flow, and retransmits it until the server acknowledges it.

        Args:
            flow: an open flow.
            text: the request, without the line end.
            deadline: when the caller stops waiting, in seconds on the endpoint's clock.
            on_done: called with the outcome.
        """
        data = f"{text}\n".encode()[:MAX_DATA_BYTES]
        flow.answer = b""

        def finish(outcome: AttemptOutcome) -> None:
            self._end_wait(flow)
            on_done(outcome)

        def check_progress() -> None:
            if flow.reset_at is not None:
                finish(AttemptOutcome.RESET)
            elif flow.answer.endswith(b"\n"):
                flow.seq = (flow.seq + len(data)) % SEQUENCE_MODULUS
                busy = flow.answer.decode().split()[-1] == BUSY
                finish(AttemptOutcome.TURNED_AWAY if busy else AttemptOutcome.ANSWERED)

        def send(delay: float) -> None:
            if flow.acknowledged == (flow.seq + len(data)) % SEQUENCE_MODULUS:
                return
            self._send(flow, FLAG_ACK, data)
            next_delay = min(MAX_RETRANSMISSION_SECONDS, 2 * delay)
            self._after_in_wait(delay, flow, wait, lambda: send(next_delay))

        wait = self._begin_wait(flow, check_progress)
        if flow.reset_at is not None:
            check_progress()
            return
        remaining = deadline - self._endpoint.now()
        self._after_in_wait(
            max(0.0, remaining), flow, wait, lambda: finish(AttemptOutcome.TIMED_OUT)
        )
        send(FIRST_RETRANSMISSION_SECONDS)

    def close(self, flow: CallerFlow) -> None:
        """Closes a flow and forgets it."""
        if flow.opened_at is not None and flow.reset_at is None:
            self._send(flow, FLAG_FIN | FLAG_ACK)
        key = flow.key
        self._flows.pop((key.caller_port, key.route_ip, key.route_port), None)

    def handle_datagram(self, datagram: bytes) -> None:
        """Handles a packet from a server, or a reset."""
        packet = Packet.decode(datagram)
        flow = self._flows.get((packet.dport, packet.src, packet.sport))
        if flow is None:
            return
        if packet.flags & FLAG_RST:
            flow.reset_at = self._endpoint.now()
            if self.on_reset is not None:
                self.on_reset(flow)
        elif packet.flags & FLAG_SYN:
            self._handle_opened(flow, packet)
        else:
            flow.label = packet.echo
            flow.acknowledged = packet.ack
            if packet.data:
                self._handle_answer(flow, packet)
        if flow.on_change is not None:
            flow.on_change()

    def _handle_opened(self, flow: CallerFlow, packet: Packet) -> None:
        flow.label = packet.echo
        if flow.server_seq is None:
            flow.server_seq = (packet.seq + 1) % SEQUENCE_MODULUS
            flow.opened_at = self._endpoint.now()
            flow.seq = (flow.seq + 1) % SEQUENCE_MODULUS
        self._send(flow, FLAG_ACK)

    def _handle_answer(self, flow: CallerFlow, packet: Packet) -> None:
        if packet.seq == flow.server_seq:
            flow.server_seq = (flow.server_seq + len(packet.data)) % SEQUENCE_MODULUS
            flow.answer += packet.data
        self._send(flow, FLAG_ACK)

    def _begin_wait(self, flow: CallerFlow, check_progress: Callable[[], None]) -> int:
        flow.on_change = check_progress
        flow.wait_number += 1
        return flow.wait_number

    def _end_wait(self, flow: CallerFlow) -> None:
        flow.on_change = None
        flow.wait_number += 1

    def _after_in_wait(
        self, seconds: float, flow: CallerFlow, wait: int, callback: Callable[[], None]
    ) -> None:
        """Schedules a callback that runs only if the flow is still in the same wait."""

        def call_if_waiting() -> None:
            if flow.wait_number == wait:
                callback()

        self._endpoint.after(seconds, call_if_waiting)

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
        if self.on_packet_sent is not None:
            self.on_packet_sent(packet)
        address = self._choose_entry_vm(key)
        if address is not None:
            self._endpoint.send(packet.encode(), address)
