"""The fabric stand-in: hands each datagram of a caller to any entry VM.

A caller's address is kept by giving each caller a socket of its own on the entry VMs' side.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..addresses import Address

MAX_CALLERS = 2000


@dataclass(frozen=True, slots=True)
class Weather:
    """What the fabric does to datagrams; shares from 0 to 1, times in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay: float = 0.0
    max_delay: float = 0.0


class FabricStandin:
    """Sprays callers' datagrams over the entry VMs and brings the answers back.

    Args:
        entry_vms: returns the data addresses to spray over, at the moment of each datagram.
    """

    def __init__(
        self, entry_vms: Callable[[], list[Address]], random: Random, weather: Weather = Weather()
    ):
        self.weather = weather
        self._entry_vms = entry_vms
        self._random = random
        self._front: asyncio.DatagramTransport | None = None
        self._backs: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self._opening: set[asyncio.Task] = set()
        self._host = "127.0.0.1"

    async def open(self, address: Address) -> None:
        """Opens the socket to which callers send."""
        self._host = address.host
        loop = asyncio.get_running_loop()
        self._front, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._from_caller), local_addr=(address.host, address.port)
        )

    def close(self) -> None:
        """Closes all sockets."""
        for transport in (self._front, *self._backs.values()):
            if transport is not None:
                transport.close()

    def _from_caller(self, payload: bytes, caller: tuple[str, int]) -> None:
        back = self._backs.get(caller)
        if back is not None:
            self._spray(back, payload)
        elif len(self._backs) < MAX_CALLERS:
            task = asyncio.get_running_loop().create_task(self._open_back(caller, payload))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open_back(self, caller: tuple[str, int], payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        back, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(lambda data, sender: self._to_caller(data, caller)),
            local_addr=(self._host, 0),
        )
        if caller in self._backs:
            back.close()
        else:
            self._backs[caller] = back
        self._spray(self._backs[caller], payload)

    def _spray(self, back: asyncio.DatagramTransport, payload: bytes) -> None:
        for _ in range(self._copies()):
            targets = self._entry_vms()
            if targets:
                target = self._random.choice(targets)
                self._send_later(back, payload, (target.host, target.port))

    def _to_caller(self, payload: bytes, caller: tuple[str, int]) -> None:
        for _ in range(self._copies()):
            self._send_later(self._front, payload, caller)

    def _copies(self) -> int:
        if self._random.random() < self.weather.loss:
            return 0
        return 2 if self._random.random() < self.weather.duplication else 1

    def _send_later(self, transport, payload: bytes, address: tuple[str, int]) -> None:
        delay = self._random.uniform(self.weather.min_delay, self.weather.max_delay)
        if delay <= 0:
            _send(transport, payload, address)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, _send, transport, payload, address)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]):
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)


def _send(transport, payload: bytes, address: tuple[str, int]) -> None:
    if transport is not None and not transport.is_closing():
        transport.sendto(payload, address)
