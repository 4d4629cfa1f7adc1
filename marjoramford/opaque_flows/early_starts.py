"""Forwards packets while the rest of an entry VM is still being imported.

Load pattern: all entry VMs lose power at once under full load. Callers retransmit on their open
flows and give up at their deadlines. asyncio, the HTTP services and membership take longer to
import than all that a packet needs. So a minimal loop reads the platform's state and forwards
packets first, and imports the other modules between packets.

While the platform does not answer, another entry VM may have its state, so one is asked too. If
neither answers soon, the start goes on all the same: another entry VM may be about to hand its
state over, and needs this one's HTTP service for that.
"""

import importlib
import logging
import select
import socket
import time
import types
from collections.abc import Coroutine, Generator, Iterable
from random import Random
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.errors import Step, StepError
from ..shared.logs import LogEvent, log_event
from .flow_balancers import FlowBalancer
from .flow_settings import PacketVmSettings
from .http_messages import (
    MAX_REPLY_BODY_BYTES,
    HttpError,
    HttpReply,
    ReplyReader,
    encode_request,
)
from .packet_sockets import PacketSocket
from .published_states import apply_state, decode_state, make_question

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
READ_CHUNK_BYTES = 65_536
# Nothing is imported for so long while the platform may answer, since an import delays the packets.
IMPORT_DELAY_SECONDS = 0.1
# The platform answers within milliseconds; other entry VMs are asked if it takes this long.
PEER_DELAY_SECONDS = 0.3
# The early part ends without a state after this time, once everything is imported, unless the
# platform has begun to answer.
MAX_EARLY_SECONDS = 0.6


class Wait(msgspec.Struct, frozen=True):
    """What a task waits for: a socket, or only the time if there is none.

    Attributes:
        until: time on the monotonic clock, in seconds. A task that waits for a socket then gets
            `TimeoutError`.
        events: flags of `select.poll`.
    """

    until: float
    descriptor: int | None = None
    events: int = 0


@types.coroutine
def _suspend(wait: Wait) -> Generator[Wait, None, None]:
    yield wait


class EarlyClient:
    """Makes GET requests to one address, one at a time, in tasks of an `EarlyLoop`.

    The connection is closed after any failure.
    """

    def __init__(self, address: Address, step: Step):
        self._address = address
        self._step = step
        self._socket: socket.socket | None = None
        self._replies = ReplyReader(MAX_REPLY_BODY_BYTES)

    async def get(self, target: str, timeout: float) -> Result[HttpReply, StepError]:
        """Sends a GET request; `timeout` covers the whole call, in seconds."""
        try:
            reply = await self._exchange(target, time.monotonic() + timeout)
        except (OSError, EOFError, HttpError) as error:
            self.close()
            reason = str(error) or type(error).__name__
            return Err(StepError(self._step, str(self._address), reason))
        if not reply.keeps_connection:
            self.close()
        return Ok(reply)

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    async def _exchange(self, target: str, deadline: float) -> HttpReply:
        if self._socket is None:
            await self._connect(deadline)
        unsent = encode_request("GET", str(self._address), target)
        while unsent:
            await self._wait(select.POLLOUT, deadline)
            unsent = unsent[self._socket.send(unsent) :]
        while (reply := self._replies.take()) is None:
            await self._wait(select.POLLIN, deadline)
            data = self._socket.recv(READ_CHUNK_BYTES)
            if not data:
                raise EOFError("connection closed before the response was complete")
            self._replies.feed(data)
        return reply

    async def _connect(self, deadline: float) -> None:
        self._replies = ReplyReader(MAX_REPLY_BODY_BYTES)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            self._socket.connect((self._address.host, self._address.port))
        except BlockingIOError:
            await self._wait(select.POLLOUT, deadline)
            error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, "connection failed") from None

    async def _wait(self, events: int, deadline: float) -> None:
        await _suspend(Wait(deadline, self._socket.fileno(), events))


class _Task:
    """A coroutine that runs in an `EarlyLoop`; `result` is None until it has ended."""

    def __init__(self, coroutine: Coroutine):
        self._coroutine = coroutine
        self.wait: Wait | None = None
        self.result = None
        self._advance(lambda: coroutine.send(None))

    def resume(self) -> None:
        """Continues after the awaited event."""
        self._advance(lambda: self._coroutine.send(None))

    def expire(self) -> None:
        """Continues after the time of the wait is over."""
        if self.wait.descriptor is None:
            self.resume()
        else:
            self._advance(lambda: self._coroutine.throw(TimeoutError("timed out")))

    def cancel(self) -> None:
        """Ends the task without a result."""
        self.wait = None
        self._coroutine.close()

    def _advance(self, step) -> None:
        try:
            self.wait = step()
        except StopIteration as end:
            self.wait = None
            self.result = end.value


class EarlyLoop:
    """Handles packets and ticks, and runs a few tasks that wait for sockets or for the time.

    Args:
        packets: the socket that is served.
    """

    def __init__(self, packets: PacketSocket):
        self._packets = packets
        self._next_tick_at = time.monotonic() + TICK_SECONDS
        self._tasks: list[_Task] = []

    @property
    def is_idle(self) -> bool:
        """Whether all tasks have ended."""
        return not self._tasks

    def start(self, coroutine: Coroutine) -> _Task:
        """Runs a coroutine up to its first wait, and goes on with it in `run_once`."""
        task = _Task(coroutine)
        if task.wait is not None:
            self._tasks.append(task)
        return task

    def run_once(self, until: float) -> None:
        """Handles what has arrived; waits for something until a time on the monotonic clock."""
        poll = select.poll()
        poll.register(self._packets.fileno(), select.POLLIN)
        for task in self._tasks:
            if task.wait.descriptor is not None:
                poll.register(task.wait.descriptor, task.wait.events)
        due_at = min([until, self._next_tick_at, *(task.wait.until for task in self._tasks)])
        ready = dict(poll.poll(max(0.0, (due_at - time.monotonic()) * 1000)))
        if self._packets.fileno() in ready:
            self._packets.receive()
        now = time.monotonic()
        for task in list(self._tasks):
            if task.wait.descriptor in ready:
                task.resume()
            elif now >= task.wait.until:
                task.expire()
        self._tasks = [task for task in self._tasks if task.wait is not None]
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_SECONDS
            self._packets.run_tick(now)

    def cancel(self) -> None:
        """Ends all tasks."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()


class EarlyReader(Protocol):
    """Reads the platform's state into a balancer; see `state_readers.PlatformReader`."""

    async def read(self, wait: float) -> Result[bool, StepError]:
        """Updates routes and servers."""

    async def preload(self) -> Result[None, StepError]:
        """Reads the servers alone."""


class ReloadRequest:
    """Whether SIGHUP has arrived since the settings were read."""

    def __init__(self) -> None:
        self.is_pending = False

    def record(self, *_signal: object) -> None:
        """Handles the signal."""
        self.is_pending = True


class EarlyStart:
    """The parts of an entry VM that run before asyncio is imported.

    Attributes:
        packets: the open socket. It is served while `run` runs, and stays open.
        reader: reads the platform.
        reload_request: whether the settings have to be read again.
        error: why the platform could not be read; None if it was, or another entry VM was faster.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        balancer: FlowBalancer,
        packets: PacketSocket,
        reader: EarlyReader,
        reload_request: ReloadRequest,
    ):
        self._settings = settings
        self.balancer = balancer
        self.packets = packets
        self.reader = reader
        self.reload_request = reload_request
        self.error: StepError | None = None
        self._has_answered = False

    def run(self, modules: Iterable[str]) -> None:
        """Serves until the modules are imported, and the state is read or no source has answered.

        A read of the platform that is still going on then counts as failed.
        """
        end_at = time.monotonic() + MAX_EARLY_SECONDS
        loop = EarlyLoop(self.packets)
        platform_task = loop.start(self._read_platform())
        loop.start(self._read_peers())
        import_at = time.monotonic() + IMPORT_DELAY_SECONDS
        remaining = list(modules)
        while remaining or not loop.is_idle:
            now = time.monotonic()
            gives_up = not (remaining or self._has_answered) and now >= end_at
            if self.balancer.ready or gives_up:
                loop.cancel()
            may_import = remaining and (loop.is_idle or now >= import_at)
            wait_until = float("inf") if self._has_answered else end_at
            loop.run_once(now if may_import else import_at if remaining else wait_until)
            if may_import:
                importlib.import_module(remaining.pop(0), __package__)
        match platform_task.result:
            case Err(error) if not self.balancer.ready:
                self.error = error
            case None if not self.balancer.ready:
                reason = f"no answer within {MAX_EARLY_SECONDS} s"
                self.error = StepError(Step.READ_PLATFORM, self._settings.platform, reason)

    async def _read_platform(self) -> Result[bool, StepError]:
        match await self.reader.preload():
            case Ok():
                self._has_answered = True
                return await self.reader.read(0.0)
            case failure:
                return failure

    async def _read_peers(self) -> None:
        await _suspend(Wait(time.monotonic() + PEER_DELAY_SECONDS))
        seeds = [seed for seed in self._settings.seeds if seed != self._settings.control_address]
        for seed in Random().sample(seeds, len(seeds)):
            client = EarlyClient(Address.parse(seed), Step.FOLLOW)
            target = make_question(self.balancer, self.balancer.routes, 0.0)
            reply = await client.get(target, self._settings.peers.timeout)
            client.close()
            if self._apply_reply(seed, reply):
                return

    def _apply_reply(self, seed: str, reply: Result[HttpReply, StepError]) -> bool:
        """Applies a peer's state; returns whether flows can be placed with it."""
        match reply:
            case Ok(HttpReply(status=200, body=body)):
                match decode_state(body):
                    case Ok(state):
                        apply_state(state, self.balancer, time.monotonic())
                        return self.balancer.ready
                    case Err(reason):
                        error = StepError(Step.FOLLOW, seed, reason)
            case Ok(HttpReply(status=status)):
                error = StepError(Step.FOLLOW, seed, f"expected HTTP status 200, got {status}")
            case Err(error):
                pass
        log_event(logger, LogEvent.PEER_LOST, error=error)
        return False
