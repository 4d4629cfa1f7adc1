"""Labels in callers' packets that belong to no known server, and the flows that wait for them.

Load pattern: a zone loses power, and its entry VMs start again before the servers do or under new
names. Callers retransmit on flows of servers that are gone, at growing intervals, and give up at
their deadlines. A label that is not listed may also be that of a server whose entry is still on its
way, so its flow must not be reset before a list that was read late enough lacks the server too. At
that moment all flows that wait are reset, without waiting for their next packets.
"""

from collections.abc import Callable

import msgspec

from ..shared.responsiveness import MAX_RETRANSMISSION_GAP_SECONDS
from .packets import FlowKey, PacketHeader

# Far more than the servers that can start between two reads of the platform. Forged labels must not
# take unbounded memory.
MAX_UNKNOWN_LABELS = 1024
# Flows that are reset without a further packet; others are reset by their next one.
MAX_WAITING_FLOWS = 8192


class WaitingFlow(msgspec.Struct, frozen=True):
    """A flow whose label is not listed.

    Attributes:
        acknowledged: acknowledgement number of its caller's last packet.
        active_at: when that packet arrived, on the monotonic clock in seconds.
    """

    key: FlowKey
    label: int
    acknowledged: int
    active_at: float


class UnknownLabels:
    """Remembers when each unknown label was first seen, and the flows that wait.

    Evicts the oldest if there are too many of either.
    """

    def __init__(self) -> None:
        self._first_seen: dict[int, float] = {}
        self._waiting: dict[FlowKey, WaitingFlow] = {}

    def __len__(self) -> int:
        return len(self._first_seen)

    def record(self, header: PacketHeader, now: float) -> float:
        """Records a packet with an unknown label; returns when the label was first seen."""
        label = header.label
        first_seen = self._first_seen.setdefault(label, now)
        if len(self._first_seen) > MAX_UNKNOWN_LABELS:
            del self._first_seen[next(iter(self._first_seen))]
        self._waiting.pop(header.flow, None)
        if not (header.aborts or header.closes):
            self._waiting[header.flow] = WaitingFlow(header.flow, label, header.acknowledged, now)
        if len(self._waiting) > MAX_WAITING_FLOWS:
            del self._waiting[next(iter(self._waiting))]
        return first_seen

    def release(self, flow: FlowKey) -> None:
        """Records that a flow no longer waits: its label is known, or it was reset."""
        self._waiting.pop(flow, None)

    def take_lost_flows(
        self, is_gone: Callable[[int, float], bool], now: float
    ) -> list[WaitingFlow]:
        """Returns the waiting flows whose server is gone; they wait no longer.

        Flows whose callers have stopped retransmitting are left out: they have given up, or send
        through another entry VM.

        Args:
            is_gone: whether no server has a label that was first seen at a time.
            now: time on the monotonic clock, in seconds.
        """
        oldest = now - MAX_RETRANSMISSION_GAP_SECONDS
        lost = []
        for flow in list(self._waiting.values()):
            first_seen = self._first_seen.get(flow.label, flow.active_at)
            is_lost = is_gone(flow.label, first_seen)
            if is_lost and flow.active_at >= oldest:
                lost.append(flow)
            if is_lost or flow.active_at < oldest:
                del self._waiting[flow.key]
        return lost

    def evict(self, seen_before: float) -> None:
        """Forgets the labels that were first seen before a time."""
        for label, first_seen in list(self._first_seen.items()):
            if first_seen < seen_before:
                del self._first_seen[label]
