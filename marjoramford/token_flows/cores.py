"""Connects the decision core to asyncio: submits events and executes the resulting actions."""

import asyncio
import logging
import time
from collections.abc import Callable

from . import signals
from .actions import (
    Action,
    CancelDispatch,
    Dispatch,
    DrainFinished,
    ReplyGossip,
    ReplyHandover,
    SendGossip,
    SendHandover,
    SendInner,
    SendToCaller,
)
from .balancers import Balancer
from .events import Event, Tick

logger = logging.getLogger(__name__)

Clock = Callable[[], float]


class Core:
    """Owns the balancer; all tasks of the daemon access it through `submit`.

    Attributes:
        dispatches: queue of actions for the dispatcher task.
        peer_messages: queue of actions for the task that sends to other entry VMs.
        drained: set when a planned stop is complete, after the linger time.
    """

    def __init__(self, balancer: Balancer, clock: Clock = time.time):
        self.balancer = balancer
        self.clock = clock
        self.dispatches: asyncio.Queue[Dispatch | CancelDispatch] = asyncio.Queue()
        self.peer_messages: asyncio.Queue[SendGossip | SendHandover] = asyncio.Queue()
        self.drained = asyncio.Event()
        self._data_transport: asyncio.DatagramTransport | None = None
        self._inner_transport: asyncio.DatagramTransport | None = None

    def set_transports(
        self, data: asyncio.DatagramTransport, inner: asyncio.DatagramTransport
    ) -> None:
        """Sets the transports on which datagrams are sent."""
        self._data_transport = data
        self._inner_transport = inner

    def close_transports(self) -> None:
        """Closes the transports."""
        for transport in (self._data_transport, self._inner_transport):
            if transport is not None:
                transport.close()

    def submit(self, event: Event) -> bytes | None:
        """Handles an event and executes the actions; returns the reply to a peer, or None."""
        reply = None
        for action in self.balancer.handle(event, self.clock()):
            payload = self._perform(action)
            reply = payload if payload is not None else reply
        return reply

    async def run_timer(self) -> None:
        """Submits a `Tick` whenever one is due, until `drained` is set."""
        while not self.drained.is_set():
            now = self.clock()
            await asyncio.sleep(max(0.001, self.balancer.next_tick_at(now) - now))
            self.submit(Tick())

    def _perform(self, action: Action) -> bytes | None:
        match action:
            case SendToCaller(caller=address, payload=payload):
                _send(self._data_transport, payload, address)
            case SendInner(address=address, payload=payload):
                _send(self._inner_transport, payload, address)
            case Dispatch() | CancelDispatch():
                self.dispatches.put_nowait(action)
            case SendGossip() | SendHandover():
                self.peer_messages.put_nowait(action)
            case ReplyGossip(payload=payload) | ReplyHandover(payload=payload):
                return payload
            case DrainFinished():
                if not self.drained.is_set():
                    self.drained.set()
                    signals.drained.send(self)
        return None


def _send(transport: asyncio.DatagramTransport | None, payload: bytes, address) -> None:
    if transport is not None and not transport.is_closing():
        transport.sendto(payload, (address.host, address.port))
