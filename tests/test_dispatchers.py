"""Dispatches to backend servers: which outcomes prove that a request did not run.

Guards against reporting a request as not run that may have run, against sending one after its
deadline, and against an answer that is not the whole answer to the request.
"""

import asyncio
from contextlib import asynccontextmanager
from itertools import chain, repeat

import pytest
from aiohttp import web

from marjoramford.shared.addresses import Address
from marjoramford.standins.ports import free_ports
from marjoramford.token_flows.actions import CancelDispatch, Dispatch
from marjoramford.token_flows.dispatchers import Dispatcher
from marjoramford.token_flows.events import AnswerReceived, BrokenOff, ProvedNotRun

DEADLINE = 1000.0
BEFORE, AFTER = DEADLINE - 5.0, DEADLINE + 5.0


class FakeCore:
    """Replaces the core: queues actions for the dispatcher and collects its events."""

    def __init__(self, times):
        self.dispatches = asyncio.Queue()
        self.ended = asyncio.Queue()
        self._times = iter(times)

    def clock(self) -> float:
        return next(self._times)

    def submit(self, event) -> None:
        self.ended.put_nowait(event)


def dispatch(handler, times=(), port=None, cancel=False):
    """Dispatches one request; returns its outcome and the number of requests the server received.

    Args:
        handler: the server's request handler.
        times: the first readings of the core's clock; later readings are before the deadline.
        port: port to dispatch to instead of the server's.
        cancel: whether to cancel the dispatch once the server has received it; no outcome then.
    """
    return asyncio.run(_dispatch(handler, times, port, cancel))


async def _dispatch(handler, times, port, cancel):
    seen = asyncio.Queue()

    async def handle(request):
        seen.put_nowait(request)
        return await handler(request)

    app = web.Application()
    app.add_routes([web.post("/requests", handle)])
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    listening_port = free_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", listening_port).start()
    core = FakeCore(chain(times, repeat(BEFORE)))
    dispatcher = asyncio.create_task(Dispatcher(core).run())
    address = Address("127.0.0.1", port or listening_port)
    action = Dispatch(1, address, "booking", "booking-1", 1, 7, 1, "hold", DEADLINE, b"work")
    core.dispatches.put_nowait(action)
    outcome = None
    if cancel:
        await seen.get()
        core.dispatches.put_nowait(CancelDispatch(1))
    else:
        outcome = (await asyncio.wait_for(core.ended.get(), 30)).outcome
    count = seen.qsize()
    await runner.cleanup()
    dispatcher.cancel()
    return outcome, count


@asynccontextmanager
async def raw_server(respond):
    """A server that handles its connections with `respond`; yields its address."""
    tasks = []

    async def serve(reader, writer):
        tasks.append(asyncio.current_task())
        try:
            await respond(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield Address("127.0.0.1", server.sockets[0].getsockname()[1])
    finally:
        server.close()
        await asyncio.gather(*tasks, return_exceptions=True)


async def dispatch_in_turn(address, bodies):
    """Dispatches a request for each body once the one before has ended; returns the outcomes."""
    core = FakeCore(repeat(BEFORE))
    dispatcher = asyncio.create_task(Dispatcher(core).run())
    outcomes = []
    for number, body in enumerate(bodies, 1):
        core.dispatches.put_nowait(
            Dispatch(number, address, "booking", "booking-1", 1, 7, number, "hold", DEADLINE, body)
        )
        outcomes.append((await asyncio.wait_for(core.ended.get(), 30)).outcome)
    dispatcher.cancel()
    return outcomes


async def answer(request):
    return web.Response(body=b"done:" + await request.read())


def refuse(reason):
    async def handler(request):
        return web.Response(status=503, headers={"X-Not-Run": reason})

    return handler


async def fail(request):
    return web.Response(status=503)


async def break_off(request):
    request.transport.abort()
    return web.Response()


def test_an_answer_is_returned_completely():
    assert dispatch(answer) == (AnswerReceived(b"done:work"), 1)


@pytest.mark.parametrize("times", [(AFTER,), (BEFORE, AFTER)])
def test_nothing_is_sent_after_a_pause_past_the_deadline(times):
    """The deadline may pass before the dispatch starts or while the connection is being made."""
    outcome, seen = dispatch(answer, times)
    assert outcome == ProvedNotRun("deadline passed before the send", expired=True)
    assert seen == 0


def test_refusals_prove_that_the_request_did_not_run():
    assert dispatch(refuse("shed"))[0] == ProvedNotRun("shed")
    assert dispatch(refuse("draining"))[0] == ProvedNotRun("draining", draining=True)
    assert dispatch(refuse("mismatch"))[0] == ProvedNotRun("mismatch", mismatch=True)
    assert dispatch(refuse("deadline"))[0] == ProvedNotRun("deadline", expired=True)


def test_a_failed_connection_proves_that_the_request_did_not_run():
    outcome, _ = dispatch(answer, port=free_ports(1)[0])
    assert isinstance(outcome, ProvedNotRun)
    assert outcome.unreachable


def test_a_plain_error_status_or_a_broken_connection_proves_nothing():
    assert isinstance(dispatch(fail)[0], BrokenOff)
    outcome, seen = dispatch(break_off)
    assert isinstance(outcome, BrokenOff)
    assert seen == 1


def test_a_cancellation_closes_the_connection_to_the_server():
    cancelled = []

    async def wait_for_cancellation(request):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    dispatch(wait_for_cancellation, cancel=True)
    assert cancelled


@pytest.mark.parametrize("with_next", [False, True], ids=["at once", "with the next answer"])
def test_a_second_copy_of_an_answer_is_not_the_answer_to_the_next_request(with_next):
    """The next request on the connection got the copy, which aiohttp cannot tell apart."""

    async def respond(reader, writer):
        copy = b""
        while True:
            await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(len(b"work-1"))
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + body
            if with_next:
                writer.write(copy + response)
                copy = response
            else:
                writer.write(response + response)

    async def scenario():
        async with raw_server(respond) as address:
            return await dispatch_in_turn(address, [b"work-1", b"work-2"])

    assert asyncio.run(scenario()) == [AnswerReceived(b"work-1"), AnswerReceived(b"work-2")]


@pytest.mark.parametrize(
    ("header", "begun"),
    [
        (b"Content-Length: 20\r\n", b"half of the"),
        (b"Transfer-Encoding: chunked\r\n", b"b\r\nhalf of the\r\n"),
        (b"", b"half of the"),
    ],
    ids=["length", "chunks", "until the connection ends"],
)
def test_an_answer_that_broke_off_is_no_answer(header, begun):
    """A body that only the end of the connection ends may have been cut off by a crash."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + header + b"\r\n" + begun)
        await writer.drain()

    async def scenario():
        async with raw_server(respond) as address:
            return await dispatch_in_turn(address, [b"work"])

    (outcome,) = asyncio.run(scenario())
    assert isinstance(outcome, BrokenOff)
