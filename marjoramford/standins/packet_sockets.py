"""Runs stand-ins for callers and backend servers of opaque flows on loopback sockets."""

import asyncio
import time
from collections.abc import Callable

from ..shared.addresses import Address


class LoopbackEndpoint(asyncio.DatagramProtocol):
    """Clock, timer and UDP socket of one caller or server.

    Attributes:
        sender: IP address from which the last datagram came, in dotted form.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]):
        self.sender = ""
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(
        cls, address: Address, on_datagram: Callable[[bytes], None]
    ) -> "LoopbackEndpoint":
        """Opens a socket at an address; `on_datagram` is called with each datagram received."""
        loop = asyncio.get_running_loop()
        endpoint = cls(on_datagram)
        endpoint._transport, _ = await loop.create_datagram_endpoint(
            lambda: endpoint, local_addr=(address.host, address.port)
        )
        return endpoint

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()

    def now(self) -> float:
        """Returns the monotonic clock in seconds."""
        return time.monotonic()

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback on the event loop."""
        asyncio.get_running_loop().call_later(seconds, callback)

    def send(self, datagram: bytes, address: Address) -> None:
        """Sends a datagram, unless the socket is closed."""
        if not self._transport.is_closing():
            self._transport.sendto(datagram, (address.host, address.port))

    def datagram_received(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Passes a received datagram on."""
        self.sender = address[0]
        self._on_datagram(datagram)


async def await_callback(start: Callable[[Callable], None]):
    """Calls `start` with a callback, and returns the value that the callback is called with."""
    future = asyncio.get_running_loop().create_future()
    start(lambda value: None if future.cancelled() else future.set_result(value))
    return await future
