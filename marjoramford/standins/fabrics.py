"""Fabric stand-in: sends each datagram of a caller to a random entry VM.

Each caller has its own socket towards the entry VMs, so that they see one address per caller.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..shared.addresses import Address

MAX_CALLERS = 2000


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """Loss and duplication of datagrams as shares from 0 to 1, and the range of their delay."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_seconds: float = 0.0
    max_delay_seconds: float = 0.0


class FabricStandin:
    """Sprays callers' datagrams over the entry VMs and returns the answers to the callers.

    Args:
        entry_vms: returns the data addresses to spray over; called for each datagram.
    """

    def __init__(
        self,
        entry_vms: Callable[[], list[Address]],
        random: Random,
        conditions: NetworkConditions = NetworkConditions(),
    ):
        self.conditions = conditions
        self._entry_vms = entry_vms
        self._random = random
        self._caller_transport: asyncio.DatagramTransport | None = None
        self._entry_transports: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self._opening_tasks: set[asyncio.Task] = set()
        self._host = "127.0.0.1"

    async def open(self, address: Address) -> None:
        """Opens the socket that callers send to."""
        self._host = address.host
        loop = asyncio.get_running_loop()
        self._caller_transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._receive_from_caller), local_addr=(address.host, address.port)
        )

    def close(self) -> None:
        """Closes all sockets."""
        for transport in (self._caller_transport, *self._entry_transports.values()):
            if transport is not None:
                transport.close()

    def _receive_from_caller(self, payload: bytes, caller: tuple[str, int]) -> None:
        transport = self._entry_transports.get(caller)
        if transport is not None:
            self._spray(transport, payload)
        elif len(self._entry_transports) < MAX_CALLERS:
            task = asyncio.get_running_loop().create_task(
                self._open_entry_transport(caller, payload)
            )
            self._opening_tasks.add(task)
            task.add_done_callback(self._opening_tasks.discard)

    async def _open_entry_transport(self, caller: tuple[str, int], payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(lambda data, sender: self._send_to_caller(data, caller)),
            local_addr=(self._host, 0),
        )
        if caller in self._entry_transports:
            transport.close()
        else:
            self._entry_transports[caller] = transport
        self._spray(self._entry_transports[caller], payload)

    def _spray(self, transport: asyncio.DatagramTransport, payload: bytes) -> None:
        for _ in range(self._draw_copies()):
            targets = self._entry_vms()
            if targets:
                target = self._random.choice(targets)
                self._send_delayed(transport, payload, (target.host, target.port))

    def _send_to_caller(self, payload: bytes, caller: tuple[str, int]) -> None:
        for _ in range(self._draw_copies()):
            self._send_delayed(self._caller_transport, payload, caller)

    def _draw_copies(self) -> int:
        if self._random.random() < self.conditions.loss:
            return 0
        return 2 if self._random.random() < self.conditions.duplication else 1

    def _send_delayed(self, transport, payload: bytes, address: tuple[str, int]) -> None:
        delay = self._random.uniform(
            self.conditions.min_delay_seconds, self.conditions.max_delay_seconds
        )
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
