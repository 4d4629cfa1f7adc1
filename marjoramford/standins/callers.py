"""Caller stand-in: runs a caller session on a UDP socket."""

import asyncio
import time
from collections.abc import Callable

from ..shared.addresses import Address
from .caller_sessions import CallerSession

POLL_SECONDS = 0.02


class CallerStandin:
    """One caller with its own socket."""

    def __init__(self, session: CallerSession, fabric: Address):
        self.session = session
        self._fabric = fabric
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _SessionProtocol(self.session),
            remote_addr=(self._fabric.host, self._fabric.port),
        )

    async def run(self) -> None:
        """Sends due datagrams until cancelled."""
        assert self._transport is not None
        while True:
            for payload in self.session.poll(time.time()):
                self._transport.sendto(payload)
            await asyncio.sleep(POLL_SECONDS)

    async def wait_for(self, condition: Callable[[CallerSession], bool], deadline: float) -> bool:
        """Waits until a condition of the session holds; returns whether it did in time."""
        while time.time() < deadline:
            if condition(self.session):
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    def close(self) -> None:
        """Ends the flow and closes the socket."""
        if self._transport is not None:
            for payload in self.session.close():
                self._transport.sendto(payload)
            self._transport.close()


class _SessionProtocol(asyncio.DatagramProtocol):
    def __init__(self, session: CallerSession):
        self._session = session

    def datagram_received(self, data: bytes, addr) -> None:
        self._session.receive(data, time.time())
