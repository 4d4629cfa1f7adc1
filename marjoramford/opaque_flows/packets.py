"""Packets of opaque flows: the header fields that an entry VM reads and the actions it can take.

An opaque flow is a connection between a caller and a backend server whose payload only these two
interpret. An entry VM sees only the caller's packets; the server answers the caller directly
(direct server return).
"""

from typing import NamedTuple, Protocol

import msgspec

from ..shared.addresses import Address
from ..shared.backend_servers import BackendServer


class FlowKey(NamedTuple):
    """The addresses and ports that identify a flow; IP addresses are 32-bit integers."""

    caller_ip: int
    caller_port: int
    route_ip: int
    route_port: int

    def __str__(self) -> str:
        caller = f"{format_ip(self.caller_ip)}:{self.caller_port}"
        return f"{caller}>{format_ip(self.route_ip)}:{self.route_port}"


class PacketHeader(msgspec.Struct, frozen=True):
    """The fields of a caller's packet that an entry VM reads.

    Attributes:
        flow: addresses and ports of the flow.
        label: the last label that reached the caller on this flow; 0 on an opening packet.
        opens: whether the packet opens the flow.
        closes: whether the caller sends no data after it.
        aborts: whether it ends the flow immediately.
        sequence: sequence number of the first byte of data.
        acknowledged: number of the next byte that the caller expects. On an opening packet it is no
            acknowledgement but the number of copies that the caller sent before it.
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
    """Send the packet to a backend server, with a label written into it."""

    server: BackendServer
    label: int


class ResetFlow(msgspec.Struct, frozen=True):
    """Send the caller a reset that ends its flow."""

    reason: str


class DropPacket(msgspec.Struct, frozen=True):
    """Drop the packet; the caller retransmits it."""

    reason: str


PacketAction = Forward | ResetFlow | DropPacket


class PacketCodec(Protocol):
    """Translates between datagrams and packet headers; implemented by an adapter."""

    def decode(self, datagram: bytes) -> PacketHeader | None:
        """Returns the header of a datagram from the fabric; None if it holds no valid packet."""

    def encode_forwarded(self, datagram: bytes, forward: Forward) -> bytes:
        """Returns the datagram to send to the server for a caller's datagram."""

    def encode_reset(self, flow: FlowKey, acknowledged: int) -> tuple[bytes, Address]:
        """Returns a reset datagram for a flow and the caller's address to send it to."""


def format_ip(number: int) -> str:
    """Returns a 32-bit IPv4 address in dotted decimal form."""
    return ".".join(str(number >> shift & 0xFF) for shift in (24, 16, 8, 0))
