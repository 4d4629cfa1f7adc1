"""Packets of opaque flows: what an entry VM reads of them, and what it may do with one.

An opaque flow is a connection between a caller and a backend server whose bytes only these two
read. An entry VM sees the packets of the caller alone; the server answers the caller directly.
"""

from typing import NamedTuple, Protocol

import msgspec

from .addresses import Address
from .backend_servers import BackendServer


class FlowKey(NamedTuple):
    """The four addresses and ports that name a flow; IP addresses are 32-bit numbers."""

    caller_ip: int
    caller_port: int
    route_ip: int
    route_port: int

    def __str__(self) -> str:
        caller = f"{format_ip(self.caller_ip)}:{self.caller_port}"
        return f"{caller}>{format_ip(self.route_ip)}:{self.route_port}"


class PacketHeader(msgspec.Struct, frozen=True):
    """What an entry VM reads of a caller's packet.

    Attributes:
        label: the last label that reached the caller on this flow; 0 on an opening packet.
        opens: whether the packet opens the flow.
        closes: whether the caller sends nothing after it.
        aborts: whether it ends the flow at once.
        sequence: number of the first byte of data.
        acknowledged: number of the next byte that the caller expects; 0 on an opening packet.
        data_bytes: length of the data.
    """

    flow: FlowKey
    label: int
    opens: bool
    closes: bool
    aborts: bool
    sequence: int
    acknowledged: int
    data_bytes: int


class Forward(msgspec.Struct, frozen=True):
    """Send the packet to a backend server with a label."""

    server: BackendServer
    label: int


class ResetFlow(msgspec.Struct, frozen=True):
    """Tell the caller that its flow is over."""

    reason: str


class DropPacket(msgspec.Struct, frozen=True):
    """Do nothing; the caller sends the packet again."""

    reason: str


PacketAction = Forward | ResetFlow | DropPacket


class PacketCodec(Protocol):
    """Translates between datagrams and packet heads; an adapter provides it."""

    def decode(self, datagram: bytes) -> PacketHeader | None:
        """Reads a datagram from the fabric; returns None if it holds no packet."""

    def encode_forwarded(self, datagram: bytes, forward: Forward) -> bytes:
        """Returns the datagram that brings the packet to the server."""

    def encode_reset(self, flow: FlowKey, acknowledged: int) -> tuple[bytes, Address]:
        """Returns a reset of a flow and the address of its caller."""


def format_ip(number: int) -> str:
    """Returns a 32-bit IP address in dotted form."""
    return ".".join(str(number >> shift & 0xFF) for shift in (24, 16, 8, 0))
