"""Packet format and runtime interface shared by the stand-ins for callers and backend servers.

The stand-ins do no I/O themselves. They run on loopback sockets (`packet_sockets`) or under a
virtual clock (`packet_worlds`).
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..opaque_flows.packets import FlowKey
from ..platform.packets import HEADER
from ..shared.addresses import Address

FLAG_ACK = 8
# Callers and servers use the same retransmission timers.
FIRST_RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 1.6
SEQUENCE_MODULUS = 2**32


class Endpoint(Protocol):
    """Clock, timer and socket of one caller or server."""

    def now(self) -> float:
        """Returns the current time in seconds."""

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback."""

    def send(self, datagram: bytes, address: Address) -> None:
        """Sends a datagram."""


@dataclass(slots=True)
class Packet:
    """A packet as the caller and the server of a flow see it.

    Attributes:
        src: IP address of the sender as a 32-bit number; `dst` is the receiver's.
        sport: port of the sender; `dport` is the receiver's.
        echo: label of the flow.
    """

    src: int
    sport: int
    dst: int
    dport: int
    echo: int
    flags: int
    seq: int
    ack: int
    data: bytes = b""

    @property
    def caller_flow_key(self) -> FlowKey:
        """Key of the flow of a packet from a caller."""
        return FlowKey(self.src, self.sport, self.dst, self.dport)

    def encode(self) -> bytes:
        """Returns the packet as a datagram."""
        head = HEADER.pack(
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
        """Returns the packet in a datagram."""
        dport, sport, src, dst, echo, flags, seq, ack, size, _ = HEADER.unpack_from(datagram)
        data = datagram[HEADER.size : HEADER.size + size]
        return cls(src, sport, dst, dport, echo, flags, seq, ack, data)
