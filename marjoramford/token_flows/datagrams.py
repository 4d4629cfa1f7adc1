"""The UDP sockets of an entry VM."""

import asyncio
import socket
from collections.abc import Callable

from ..shared.addresses import Address
from .cores import Core
from .events import CallerDatagram, Event, InnerDatagram

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


class EventProtocol(asyncio.DatagramProtocol):
    """Submits each datagram received on a socket to the core as an event."""

    def __init__(self, core: Core, make_event: Callable[[Address, bytes], Event]):
        self._core = core
        self._make_event = make_event

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Submits one datagram as an event."""
        self._core.submit(self._make_event(Address(addr[0], addr[1]), data))

    def error_received(self, exc: Exception) -> None:
        """Counts an error reported by the network, such as an unreachable port."""
        self._core.balancer.node.counters["datagram_errors"] += 1


async def open_sockets(core: Core, data: Address, inner: Address) -> None:
    """Opens the data and inner UDP sockets and connects them to the core.

    Args:
        core: receives the datagrams, and sends through the sockets.
        data: address for datagrams of callers.
        inner: address for datagrams of backend servers and other entry VMs.
    """
    loop = asyncio.get_running_loop()
    data_transport, _ = await loop.create_datagram_endpoint(
        lambda: EventProtocol(core, CallerDatagram), local_addr=(data.host, data.port)
    )
    inner_transport, _ = await loop.create_datagram_endpoint(
        lambda: EventProtocol(core, InnerDatagram), local_addr=(inner.host, inner.port)
    )
    for transport in (data_transport, inner_transport):
        enlarge_receive_buffer(transport)
    core.set_transports(data_transport, inner_transport)


def enlarge_receive_buffer(transport: asyncio.DatagramTransport) -> None:
    """Requests a receive buffer large enough for a burst of datagrams."""
    udp_socket = transport.get_extra_info("socket")
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
