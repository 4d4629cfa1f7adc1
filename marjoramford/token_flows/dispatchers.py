"""Dispatches requests to backend servers over HTTP, with a connection for each request.

HTTP/1.1 responses do not name their request. On a connection that is used again, a second copy of
an answer would be taken for the answer to the next request.

Each dispatch reaches a server at most once, because TCP never delivers a request twice and aiohttp
does not retry a POST. A request provably did not run if the server refused it with the not-run
header, if no connection was made, or if the deadline had passed before it was sent.
"""

import asyncio
import logging

import aiohttp

from ..shared.logs import LogEvent, log_event
from .actions import CancelDispatch, Dispatch
from .cores import Core
from .events import AnswerReceived, BrokenOff, DispatchEnded, DispatchOutcome, ProvedNotRun

logger = logging.getLogger(__name__)

NOT_RUN_HEADER = "X-Not-Run"
CONNECT_TIMEOUT_SECONDS = 1.0


class _DeadlinePassedError(Exception):
    """The deadline passed between the decision to dispatch and the moment of sending."""


class Dispatcher:
    """Executes `Dispatch` actions, one task each, and submits one `DispatchEnded` for each.

    A cancelled dispatch submits nothing.
    """

    def __init__(self, core: Core):
        self._core = core
        self._tasks: dict[int, asyncio.Task] = {}

    async def run(self) -> None:
        """Executes the core's dispatches and cancellations until cancelled."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._check_deadline)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector, trace_configs=[trace]) as session:
            while True:
                action = await self._core.dispatches.get()
                match action:
                    case Dispatch():
                        task = asyncio.create_task(self._dispatch(session, action))
                        self._tasks[action.dispatch] = task
                    case CancelDispatch(dispatch=dispatch):
                        task = self._tasks.pop(dispatch, None)
                        if task is not None:
                            task.cancel()

    async def _dispatch(self, session: aiohttp.ClientSession, action: Dispatch) -> None:
        try:
            outcome = await self._post(session, action)
        finally:
            self._tasks.pop(action.dispatch, None)
        if not isinstance(outcome, AnswerReceived):
            log_event(
                logger,
                LogEvent.DISPATCH_FAILED,
                server=action.server,
                flow=action.flow,
                outcome=outcome,
            )
        self._core.submit(DispatchEnded(action.dispatch, outcome))

    async def _post(self, session: aiohttp.ClientSession, action: Dispatch) -> DispatchOutcome:
        remaining = action.deadline - self._core.clock()
        if remaining <= 0:
            return ProvedNotRun("deadline passed before the send", expired=True)
        timeout = aiohttp.ClientTimeout(total=remaining, connect=CONNECT_TIMEOUT_SECONDS)
        url = f"http://{action.address}/requests"
        try:
            async with session.post(
                url,
                data=action.body,
                headers=_headers(action),
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=action,
            ) as response:
                return await _read_outcome(response)
        except _DeadlinePassedError:
            return ProvedNotRun("deadline passed before the send", expired=True)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return ProvedNotRun(f"connection was not made: {error}", unreachable=True)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return BrokenOff(f"connection broke: {type(error).__name__}")

    async def _check_deadline(self, session, context, params) -> None:
        action = context.trace_request_ctx
        if action is not None and self._core.clock() >= action.deadline:
            raise _DeadlinePassedError


def _headers(action: Dispatch) -> dict[str, str]:
    return {
        "Content-Type": "application/octet-stream",
        "X-Service": action.service,
        "X-Server": action.server,
        "X-Server-Incarnation": str(action.server_incarnation),
        "X-Request": f"{action.flow}/{action.number}",
        "X-Kind": action.kind,
        "X-Deadline": repr(action.deadline),
    }


async def _read_outcome(response: aiohttp.ClientResponse) -> DispatchOutcome:
    if response.status == 200:
        if not _shows_its_end(response):
            return BrokenOff("answer does not show where it ends")
        return AnswerReceived(await response.read())
    reason = response.headers.get(NOT_RUN_HEADER)
    if reason is None:
        return BrokenOff(f"status {response.status}")
    return ProvedNotRun(
        reason,
        draining=reason == "draining",
        mismatch=reason == "mismatch",
        expired=reason == "deadline",
    )


def _shows_its_end(response: aiohttp.ClientResponse) -> bool:
    """Whether a body that broke off can be told from a complete one.

    A body without a length and not in chunks ends with the connection, also when a server crashes.
    """
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or response.content_length is not None
