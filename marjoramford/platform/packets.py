"""The platform's packet format: a header of 36 bytes and up to 1,200 bytes of data."""

from functools import lru_cache
from struct import Struct

from ..opaque_flows.packets import FlowKey, Forward, PacketHeader, format_ip
from ..shared.addresses import Address

# Little-endian: dport, sport, src, dst, echo, flags, pad, seq, ack, len, sum. `echo` is the label.
# On an opening packet `ack` is the number of copies sent before it.
HEADER = Struct("<HHIIIB5xIIHI")
ECHO = Struct("<I")
ECHO_OFFSET = 12
FLAG_SYN = 1
FLAG_FIN = 2
FLAG_RST = 64
MAX_DATA_BYTES = 1200
SERVER_ID = Struct(">Q")
SERVER_ID_MASK = 0xFFFF_FFFF_FFFF_FFFF


class PlatformCodec:
    """Translates datagrams of the fabric.

    Args:
        reset_udp_port: UDP port at which all callers receive resets; the same number as this entry
            VM's own packet port.
    """

    def __init__(self, reset_udp_port: int):
        self._reset_udp_port = reset_udp_port

    def decode(self, datagram: bytes) -> PacketHeader | None:
        """Returns the header of a caller's packet; None if the datagram is malformed."""
        if len(datagram) < HEADER.size:
            return None
        route_port, caller_port, caller_ip, route_ip, label, flags, sequence, ack, size, _ = (
            HEADER.unpack_from(datagram)
        )
        if len(datagram) != HEADER.size + size or size > MAX_DATA_BYTES:
            return None
        return PacketHeader(
            FlowKey(caller_ip, caller_port, route_ip, route_port),
            label,
            opens=bool(flags & FLAG_SYN),
            closes=bool(flags & FLAG_FIN),
            aborts=bool(flags & FLAG_RST),
            sequence=sequence,
            acknowledged=ack,
            data_bytes=size,
        )

    def encode_forwarded(self, datagram: bytes, forward: Forward) -> bytes:
        """Returns the datagram with the label set and the server's number prepended."""
        return b"".join(
            (
                server_number(forward.server.name),
                datagram[:ECHO_OFFSET],
                ECHO.pack(forward.label),
                datagram[ECHO_OFFSET + ECHO.size :],
            )
        )

    def encode_reset(self, flow: FlowKey, acknowledged: int) -> tuple[bytes, Address]:
        """Returns a reset from the route's address to the caller, and the address to send it to."""
        reset = HEADER.pack(
            flow.caller_port,
            flow.route_port,
            flow.route_ip,
            flow.caller_ip,
            0,
            FLAG_RST,
            acknowledged,
            0,
            0,
            0,
        )
        return reset, Address(format_ip(flow.caller_ip), self._reset_udp_port)


@lru_cache(maxsize=4096)
def server_number(name: str) -> bytes:
    """Returns the 8 bytes that identify a server, from the hex digits of its id.

    Raises:
        ValueError: the text after the last dash is not a hex number.
    """
    return SERVER_ID.pack(int(name.rpartition("-")[2], 16) & SERVER_ID_MASK)
