"""Opaque flows as one entry VM sees them: evidence of answers, gathered from the caller's half.

The table is a cache. A flow that is not in it is forwarded by its label.
"""

from collections.abc import Iterator

import msgspec

from .backend_servers import BackendServer
from .flow_labels import derive_label
from .packets import FlowKey, PacketHeader

SEQUENCE_MODULUS = 1 << 32
# Data that an end may send without an acknowledgement: 16 packets of 1,200 bytes.
SEND_WINDOW_BYTES = 16 * 1200
# A repeated packet this soon after the last new one was reordered, not sent again (seconds);
# below the protocol's 0.2 s to the first retransmission.
MIN_RETRANSMISSION_AGE_SECONDS = 0.15


def sequence_distance(later: int, earlier: int) -> int:
    """Returns how far a 32-bit sequence number is ahead of another; negative if behind."""
    return (later - earlier + (SEQUENCE_MODULUS >> 1)) % SEQUENCE_MODULUS - (SEQUENCE_MODULUS >> 1)


class RetransmissionRounds(msgspec.Struct, eq=False):
    """Rounds in which a caller sends data again that was not acknowledged.

    A round counts if the oldest data of the round before is in it again: then nothing has arrived.
    Several packets of one round count once.

    Attributes:
        count: rounds that count.
        began_at: when the newest round began, on the steady clock in seconds.
        oldest: the lowest sequence number in that round.
        previous_oldest: the lowest sequence number in the round before it.
        counted: whether the newest round counts.
    """

    count: int = 0
    began_at: float = float("-inf")
    oldest: int = 0
    previous_oldest: int = 0
    counted: bool = False

    def record(self, sequence: int, now: float) -> None:
        """Takes the sequence number of data that was sent again."""
        if now - self.began_at >= MIN_RETRANSMISSION_AGE_SECONDS:
            self.began_at = now
            self.counted = False
            self.previous_oldest = self.oldest if self.count else sequence
            self.oldest = sequence
        if sequence_distance(sequence, self.oldest) < 0:
            self.oldest = sequence
        if not self.counted and sequence_distance(sequence, self.previous_oldest) <= 0:
            self.counted = True
            self.count += 1

    def clear(self) -> None:
        """Starts anew after a sign of the server."""
        self.count = 0


class PacketFlow(msgspec.Struct, eq=False):
    """One flow whose packets come through this entry VM.

    Attributes:
        server: where its packets go.
        label: written into packets for the server.
        opening: whether no packet but opening ones has been seen.
        tried: servers that got the opening packet before `server`.
        opened_at: when its first packet was forwarded, on the steady clock in seconds.
        active_at: when its last packet came.
        waiting_since: when the oldest packet without an answer was forwarded; None if none.
        rounds: in which data was sent again since the last sign of the server.
        counted_in_progress: whether it counts as a request in progress at its server.
        closing: whether the caller has said that it sends nothing more.
        window_start: the caller has certainly sent nothing before this without an answer.
        last_new_data_at: when data not seen before came last.
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
    rounds: RetransmissionRounds = msgspec.field(default_factory=RetransmissionRounds)
    acknowledged: int = 0
    next_sequence: int = 0
    window_start: int = 0
    last_new_data_at: float = float("-inf")
    counted_in_progress: bool = False
    closing: bool = False
    first_sequence: int | None = None

    def matches_label(self, label: int) -> bool:
        """Tells whether a label is of a server that got this flow's opening packet.

        Another label means that the caller has used its port again, by way of another entry VM.
        """
        if label == self.label:
            return True
        return any(label == derive_label(old.name, old.incarnation) for old in self.tried)

    def record_packet(self, header: PacketHeader, now: float) -> bool:
        """Takes a packet after the opening; tells whether it proves an answer of the server."""
        if self.opening:
            self.opening = False
            self.initialize_sequences(header)
            answered = True
        else:
            answered = self._record_acknowledgement(header)
        if answered:
            self.waiting_since = None
            self.rounds.clear()
        if header.data_bytes:
            answered = self._record_data(header, now) or answered
        self.active_at = now
        return answered

    def initialize_sequences(self, header: PacketHeader) -> None:
        """Takes a packet's numbers as the state of the flow before it."""
        self.acknowledged = header.acknowledged
        self.next_sequence = header.sequence
        self.window_start = header.sequence

    def _record_acknowledgement(self, header: PacketHeader) -> bool:
        if sequence_distance(header.acknowledged, self.acknowledged) <= 0:
            return False
        self.acknowledged = header.acknowledged
        return True

    def _record_data(self, header: PacketHeader, now: float) -> bool:
        end = (header.sequence + header.data_bytes) % SEQUENCE_MODULUS
        if sequence_distance(end, self.next_sequence) > 0:
            return self._record_new_data(end, now)
        if self.waiting_since is None:
            self.waiting_since = now
        elif now - self.last_new_data_at >= MIN_RETRANSMISSION_AGE_SECONDS:
            self.rounds.record(header.sequence, now)
        return False

    def _record_new_data(self, end: int, now: float) -> bool:
        """Takes data not seen before; beyond the window it proves that older data arrived."""
        resumed = now - self.last_new_data_at >= MIN_RETRANSMISSION_AGE_SECONDS
        beyond = sequence_distance(end, self.window_start) > SEND_WINDOW_BYTES
        confirmed = self.waiting_since is not None and (resumed or beyond)
        if beyond:
            self.window_start = (end - SEND_WINDOW_BYTES) % SEQUENCE_MODULUS
        if confirmed or self.waiting_since is None:
            self.waiting_since = now
        if confirmed:
            self.rounds.clear()
        self.next_sequence = end
        self.last_new_data_at = now
        return confirmed


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
