"""HTTP client for requests to other entry VMs: gossip and handover of flows."""

import asyncio

import aiohttp

from ..shared.addresses import Address
from .actions import SendGossip, SendHandover
from .cores import Core
from .events import GossipFailed, GossipReplied, HandoverReplied
from .keys import KeyRing
from .response_bodies import read_body
from .seals import SEAL_HEADER, seal_header, verify_body

HANDOVER_TIMEOUT_SECONDS = 2.0
MAX_REPLY_BYTES = 1_048_576


class PeerClient:
    """Executes `SendGossip` and `SendHandover` actions, and submits one event for each."""

    def __init__(self, core: Core, keys: KeyRing, gossip_timeout: float):
        self._core = core
        self._keys = keys
        self._gossip_timeout = gossip_timeout
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Executes the core's actions until cancelled."""
        async with aiohttp.ClientSession(skip_auto_headers=("User-Agent", "Accept")) as session:
            while True:
                action = await self._core.peer_messages.get()
                task = asyncio.create_task(self._execute(session, action))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _execute(
        self, session: aiohttp.ClientSession, action: SendGossip | SendHandover
    ) -> None:
        match action:
            case SendGossip():
                payload = await self._post(
                    session, action.address, "gossip", action.payload, self._gossip_timeout
                )
                if payload:
                    self._core.submit(GossipReplied(action.peer, payload))
                else:
                    self._core.submit(GossipFailed(action.peer, action.incarnation))
            case SendHandover():
                payload = await self._post(
                    session, action.address, "handover", action.payload, HANDOVER_TIMEOUT_SECONDS
                )
                self._core.submit(HandoverReplied(action.batch, payload))

    async def _post(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        path: str,
        body: bytes,
        timeout_seconds: float,
    ) -> bytes | None:
        headers = {"Content-Type": "application/json"} | seal_header(body, self._keys)
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        url = f"http://{address}/v1/{path}"
        try:
            async with session.post(url, data=body, headers=headers, timeout=timeout) as response:
                if response.status != 200:
                    return None
                reply = await read_body(response, MAX_REPLY_BYTES)
                seal = response.headers.get(SEAL_HEADER, "")
                return verify_body(seal, reply, self._keys).ok()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
