"""State of the opaque flows of one entry VM, inferred from the caller's packets alone.

Servers answer callers directly, so an answer shows only in the caller's next packets. The flow
table is a cache: packets of a flow that is not in it are forwarded by their label.
"""

from collections.abc import Iterator

import msgspec

from ..shared.backend_servers import BackendServer
from ..shared.responsiveness import MAX_RETRANSMISSION_GAP_SECONDS
from .flow_labels import derive_label
from .packets import FlowKey, PacketHeader

SEQUENCE_MODULUS = 1 << 32
# Data that an endpoint may have in flight without an acknowledgement: 16 packets of 1,200 bytes.
SEND_WINDOW_BYTES = 16 * 1200
# Below the protocol's 0.2 s to the first retransmission. A repeated packet that arrives sooner than
# this after the last new data was reordered, not retransmitted. A retransmission that arrives this
# long after the start of a round begins the next one. New data that arrives this long after the
# last new data means that the caller paused.
MIN_RETRANSMISSION_AGE_SECONDS = 0.15
# How long a half-closed flow stays in the table after its caller's last packet; several of the
# longest retransmission intervals.
CLOSED_FLOW_TTL_SECONDS = 5.0


def sequence_distance(later: int, earlier: int) -> int:
    """Returns how far `later` is ahead of `earlier` modulo 2**32; negative if it is behind."""
    return (later - earlier + (SEQUENCE_MODULUS >> 1)) % SEQUENCE_MODULUS - (SEQUENCE_MODULUS >> 1)


class RetransmissionRounds(msgspec.Struct, eq=False):
    """Counts the rounds in which a caller retransmits unacknowledged data.

    The first round always counts. A later round counts only if it starts no later in the data than
    the round before it: the oldest data of that round is then still unacknowledged, which shows
    that none of that round arrived. All packets of a round count once.

    Attributes:
        count: number of rounds counted.
        began_at: start of the latest round on the monotonic clock, in seconds.
        previous_began_at: start of the round before it.
        oldest: lowest sequence number in the latest round.
        previous_oldest: lowest sequence number in the round before it.
        counted: whether the latest round has been counted.
    """

    count: int = 0
    began_at: float = float("-inf")
    previous_began_at: float = float("-inf")
    oldest: int = 0
    previous_oldest: int = 0
    counted: bool = False

    def record(self, sequence: int, now: float) -> None:
        """Records a retransmitted packet by its sequence number."""
        if now - self.began_at >= MIN_RETRANSMISSION_AGE_SECONDS:
            self.previous_began_at = self.began_at
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
        """Resets the count after a sign of life of the server; the next packet begins a round."""
        self.count = 0
        self.began_at = float("-inf")
        self.previous_began_at = float("-inf")

    def latest_before(self, moment: float) -> float | None:
        """Returns the start of the latest round that began before a moment; None without one.

        None as well if the latest round does not count, since then data has arrived.
        """
        if not self.counted:
            return None
        latest = self.began_at if self.began_at <= moment else self.previous_began_at
        return latest if latest > float("-inf") else None


class PacketFlow(msgspec.Struct, eq=False):
    """One flow whose packets pass through this entry VM.

    Times are on the monotonic clock, in seconds.

    Attributes:
        server: the backend server that its packets are forwarded to.
        label: label written into forwarded packets.
        opening: whether only opening packets have been seen so far.
        tried: servers that got the opening packet, apart from the latest choice. May hold `server`
            itself if the flow came back to it, and a server chosen after `server` if the caller
            accepted the answer of an earlier one.
        opened_at: when its first packet was forwarded.
        active_at: when its last packet arrived.
        waiting_since: when the oldest packet without an answer was forwarded; None if there is
            none.
        rounds: retransmission rounds since the server's last sign of life.
        acknowledged: highest acknowledgement number seen from the caller.
        next_sequence: sequence number after the newest data seen.
        window_start: all data before this sequence number has certainly been acknowledged.
        last_new_data_at: when data that had not been seen before last arrived.
        counted_in_progress: whether it counts as a request in progress at its server.
        closing: whether the caller has announced that it sends nothing more.
        first_sequence: the opening packet's sequence number; None if another entry VM handled the
            opening.
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
        """Whether the label is that of a server which received this flow's opening packet.

        Any other label means that the caller has reused its port for a new flow that another entry
        VM placed.
        """
        if label == self.label:
            return True
        return any(label == derive_label(old.name, old.incarnation) for old in self.tried)

    def is_stale(self, now: float) -> bool:
        """Whether the caller's packets have not come here for longer than it waits to retransmit.

        They then go through another entry VM, or the caller has nothing to send.
        """
        return now - self.active_at > MAX_RETRANSMISSION_GAP_SECONDS

    def record_packet(self, header: PacketHeader, now: float) -> bool:
        """Records a packet after the opening; returns whether it proves an answer of the server."""
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
        """Sets the sequence numbers to their state before this packet."""
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
        """Records data that had not been seen before; returns whether it proves an answer.

        New data beyond the send window, or after a pause, proves that older data has arrived.
        """
        resumed = now - self.last_new_data_at >= MIN_RETRANSMISSION_AGE_SECONDS
        beyond_window = sequence_distance(end, self.window_start) > SEND_WINDOW_BYTES
        confirmed = self.waiting_since is not None and (resumed or beyond_window)
        if beyond_window:
            self.window_start = (end - SEND_WINDOW_BYTES) % SEQUENCE_MODULUS
        if confirmed or self.waiting_since is None:
            self.waiting_since = now
        if confirmed:
            self.rounds.clear()
        self.next_sequence = end
        self.last_new_data_at = now
        return confirmed


class PacketFlowTable:
    """The flows seen recently, in the order in which they were added.

    Keeps the counts of open flows and of requests in progress of their servers.

    Args:
        max_flows: capacity; the oldest entry is evicted when the table is full.
    """

    def __init__(self, max_flows: int):
        self._max_flows = max_flows
        self._flows: dict[FlowKey, PacketFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[PacketFlow]:
        return iter(self._flows.values())

    def get(self, key: FlowKey) -> PacketFlow | None:
        """Returns the flow with this key, or None."""
        return self._flows.get(key)

    def add(self, flow: PacketFlow) -> None:
        """Adds a flow that is not closing; evicts the oldest one if the table is full."""
        if len(self._flows) >= self._max_flows and flow.key not in self._flows:
            self._release_counts(self._flows.pop(next(iter(self._flows))))
        self._flows[flow.key] = flow
        flow.server.open_flows += 1
        self.update_in_progress(flow)

    def end(self, flow: PacketFlow) -> None:
        """Removes a flow, if it is there."""
        if self._flows.pop(flow.key, None) is not None:
            self._release_counts(flow)

    def begin_close(self, flow: PacketFlow) -> None:
        """Records that the caller of a flow sends nothing more; it no longer counts as open."""
        if not flow.closing:
            flow.closing = True
            flow.server.open_flows -= 1

    def update_in_progress(self, flow: PacketFlow) -> None:
        """Counts a flow as a request in progress at its server while an answer is pending."""
        busy = flow.opening or flow.waiting_since is not None
        if busy and not flow.counted_in_progress:
            flow.counted_in_progress = True
            flow.server.in_progress += 1
        elif not busy:
            self._stop_counting(flow)

    def stop_counting_stale_flows(self, now: float) -> None:
        """Stops counting requests whose answers come through other entry VMs, which count them."""
        for flow in self._flows.values():
            if flow.is_stale(now):
                self._stop_counting(flow)

    def evict_expired(self, idle_seconds: float, max_age_seconds: float, now: float) -> None:
        """Evicts flows that were idle for too long or are too old.

        Args:
            idle_seconds: idle timeout of flows that are not closing, in seconds.
            max_age_seconds: maximum lifetime of a flow, in seconds.
            now: time on the monotonic clock, in seconds.
        """
        for flow in list(self._flows.values()):
            ttl_seconds = CLOSED_FLOW_TTL_SECONDS if flow.closing else idle_seconds
            if now - flow.active_at > ttl_seconds or now - flow.opened_at > max_age_seconds:
                self.end(flow)

    def _stop_counting(self, flow: PacketFlow) -> None:
        if flow.counted_in_progress:
            flow.counted_in_progress = False
            flow.server.in_progress -= 1

    def _release_counts(self, flow: PacketFlow) -> None:
        if not flow.closing:
            flow.server.open_flows -= 1
        self._stop_counting(flow)
