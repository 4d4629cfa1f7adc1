"""Requests to backend servers over pooled HTTP connections.

TCP never delivers a request twice, and aiohttp repeats no POST by itself, so each dispatch reaches
a server at most once. What proves that a request did not run: a refusal that says so, or a
connection that was never made.
"""

import asyncio
import logging

import aiohttp

from .actions import CancelDispatch, Dispatch
from .cores import Core
from .events import AnsweredWhole, BrokenOff, DispatchEnded, DispatchOutcome, ProvedNotRun
from .logs import LogEvent, log_event

logger = logging.getLogger(__name__)

NOT_RUN_HEADER = "X-Not-Run"
CONNECT_SECONDS = 1.0
KEEPALIVE_SECONDS = 15.0


class _DeadlinePassedError(Exception):
    """The deadline passed between the decision and the moment of sending."""


class Dispatcher:
    """Carries out dispatches; each is a task that ends in one `DispatchEnded`."""

    def __init__(self, core: Core):
        self._core = core
        self._tasks: dict[int, asyncio.Task] = {}

    async def run(self) -> None:
        """Takes orders from the core until cancelled."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._check_deadline)
        trace.on_connection_reuseconn.append(self._check_deadline)
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
        async with aiohttp.ClientSession(connector=connector, trace_configs=[trace]) as session:
            while True:
                order = await self._core.dispatches.get()
                match order:
                    case Dispatch():
                        task = asyncio.create_task(self._dispatch(session, order))
                        self._tasks[order.dispatch] = task
                    case CancelDispatch(dispatch=dispatch):
                        task = self._tasks.pop(dispatch, None)
                        if task is not None:
                            task.cancel()

    async def _dispatch(self, session: aiohttp.ClientSession, order: Dispatch) -> None:
        try:
            outcome = await self._post(session, order)
        finally:
            self._tasks.pop(order.dispatch, None)
        if not isinstance(outcome, AnsweredWhole):
            log_event(
                logger,
                LogEvent.DISPATCH_FAILED,
                server=order.server,
                flow=order.flow,
                outcome=outcome,
            )
        self._core.submit(DispatchEnded(order.dispatch, outcome))

    async def _post(self, session: aiohttp.ClientSession, order: Dispatch) -> DispatchOutcome:
        remaining = order.deadline - self._core.clock()
        if remaining <= 0:
            return ProvedNotRun("deadline passed before the send")
        timeout = aiohttp.ClientTimeout(total=remaining, connect=CONNECT_SECONDS)
        url = f"http://{order.address}/requests"
        try:
            async with session.post(
                url,
                data=order.body,
                headers=_headers(order),
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=order,
            ) as response:
                return await _read_outcome(response)
        except _DeadlinePassedError:
            return ProvedNotRun("deadline passed before the send")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return ProvedNotRun(f"connection was not made: {error}", unreachable=True)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return BrokenOff(f"connection broke: {type(error).__name__}")

    async def _check_deadline(self, session, context, params) -> None:
        order = context.trace_request_ctx
        if order is not None and self._core.clock() >= order.deadline:
            raise _DeadlinePassedError


def _headers(order: Dispatch) -> dict[str, str]:
    return {
        "Content-Type": "application/octet-stream",
        "X-Service": order.service,
        "X-Server": order.server,
        "X-Server-Incarnation": str(order.server_incarnation),
        "X-Request": f"{order.flow}/{order.number}",
        "X-Kind": order.kind,
        "X-Deadline": repr(order.deadline),
    }


async def _read_outcome(response: aiohttp.ClientResponse) -> DispatchOutcome:
    if response.status == 200:
        return AnsweredWhole(await response.read())
    reason = response.headers.get(NOT_RUN_HEADER)
    if reason is None:
        return BrokenOff(f"status {response.status}")
    return ProvedNotRun(reason, draining=reason == "draining", mismatch=reason == "mismatch")
