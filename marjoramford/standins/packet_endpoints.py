"""What both ends of opaque flows on the platform share: packets, and what an end needs to run.

An end is a model without I/O. It runs on loopback sockets (`packet_sockets`) or under a virtual
clock (`packet_worlds`).
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..addresses import Address
from ..packets import FlowKey
from ..platform.packets import HEADER

FLAG_ACK = 8
# Seconds to the first retransmission, and the longest pause; both ends.
FIRST_RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 1.6
SEQUENCE_MODULUS = 2**32


class Endpoint(Protocol):
    """Clock, timer and socket of one end."""

    def now(self) -> float:
        """Returns the time in seconds."""

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Makes a call some time from now."""

    def send(self, datagram: bytes, address: Address) -> None:
        """Sends a datagram."""


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

    @property
    def caller_flow_key(self) -> FlowKey:
        """The flow, if the packet is a caller's."""
        return FlowKey(self.src, self.sport, self.dst, self.dport)

    def encode(self) -> bytes:
        """Returns the datagram."""
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
        """Reads a datagram."""
        dport, sport, src, dst, echo, flags, seq, ack, size, _ = HEADER.unpack_from(datagram)
        data = datagram[HEADER.size : HEADER.size + size]
        return cls(src, sport, dst, dport, echo, flags, seq, ack, data)
