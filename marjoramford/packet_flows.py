"""Opaque flows as one entry VM sees them: evidence of answers, gathered from the caller's half.

The table is a cache. A flow that is not in it is forwarded by its label.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from .backend_servers import BackendServer
from .flow_labels import derive_label
from .packets import FlowKey, PacketHead

SEQUENCE_MODULUS = 1 << 32
# Packets that an end may send without an acknowledgement; from the protocol.
SEND_WINDOW_PACKETS = 16
# A repeated packet this soon after the last new one was reordered, not sent again (seconds);
# below the protocol's 0.2 s to the first retransmission.
RETRANSMISSION_MIN_AGE = 0.15


def sequence_distance(later: int, earlier: int) -> int:
    """Returns how far a 32-bit sequence number is ahead of another; negative if behind."""
    return (later - earlier + (SEQUENCE_MODULUS >> 1)) % SEQUENCE_MODULUS - (SEQUENCE_MODULUS >> 1)


@dataclass(slots=True)
class PacketFlow:
    """One flow whose packets come through this entry VM.

    Attributes:
        server: where its packets go.
        label: written into packets for the server.
        opening: whether no packet but opening ones has been seen.
        tried: servers that got the opening packet before `server`.
        opened_at: when its first packet was forwarded, on the steady clock in seconds.
        active_at: when its last packet came.
        waiting_since: when the oldest packet without an answer was forwarded; None if none.
        retransmissions: packets sent again since the last sign of the server.
        counted: whether it counts as a request in progress at its server.
        first_sequence: the opening packet's number; None if it did not come through here.
    """

    key: FlowKey
    server: BackendServer
    label: int
    opening: bool
    opened_at: float
    active_at: float
    tried: tuple[BackendServer, ...] = ()
    waiting_since: float | None = None
    retransmissions: int = 0
    acknowledged: int = 0
    next_sequence: int = 0
    unconfirmed_packets: int = 0
    counted: bool = False
    first_sequence: int | None = None

    def knows_label(self, label: int) -> bool:
        """Tells whether a label is of a server that got this flow's opening packet.

        Another label means that the caller has used its port again, by way of another entry VM.
        """
        if label == self.label:
            return True
        return any(label == derive_label(old.name, old.incarnation) for old in self.tried)

    def note_packet(self, head: PacketHead, now: float) -> bool:
        """Takes a packet after the opening; tells whether it proves an answer of the server."""
        if self.opening:
            self._start(head)
            answered = True
        else:
            answered = self._note_acknowledgement(head)
        if answered:
            self.waiting_since = None
            self.retransmissions = 0
            self.unconfirmed_packets = 0
        if head.data_bytes:
            answered = self._note_data(head, now) or answered
        self.active_at = now
        return answered

    def _start(self, head: PacketHead) -> None:
        self.opening = False
        self.acknowledged = head.acknowledged
        self.next_sequence = head.sequence

    def _note_acknowledgement(self, head: PacketHead) -> bool:
        if sequence_distance(head.acknowledged, self.acknowledged) <= 0:
            return False
        self.acknowledged = head.acknowledged
        return True

    def _note_data(self, head: PacketHead, now: float) -> bool:
        end = head.sequence + head.data_bytes
        if sequence_distance(end, self.next_sequence) > 0:
            self.next_sequence = end % SEQUENCE_MODULUS
            self.unconfirmed_packets += 1
            confirmed = self.unconfirmed_packets > SEND_WINDOW_PACKETS
            if confirmed:
                self.retransmissions = 0
                self.unconfirmed_packets = SEND_WINDOW_PACKETS
            if confirmed or self.waiting_since is None:
                self.waiting_since = now
            return confirmed
        if self.waiting_since is None:
            self.waiting_since = now
        elif now - self.active_at >= RETRANSMISSION_MIN_AGE:
            self.retransmissions += 1
        return False


class PacketFlowTable:
    """The flows seen lately, oldest packet first."""

    def __init__(self, max_flows: int):
        self._max_flows = max_flows
        self._flows: dict[FlowKey, PacketFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[PacketFlow]:
        return iter(self._flows.values())

    def get(self, key: FlowKey) -> PacketFlow | None:
        """Returns a flow."""
        return self._flows.get(key)

    def add(self, flow: PacketFlow) -> PacketFlow | None:
        """Adds a flow; returns the one that had to go for it, if any."""
        evicted = None
        if len(self._flows) >= self._max_flows and flow.key not in self._flows:
            evicted = self._flows.pop(next(iter(self._flows)))
        self._flows[flow.key] = flow
        return evicted

    def remove(self, key: FlowKey) -> PacketFlow | None:
        """Takes a flow out."""
        return self._flows.pop(key, None)
