"""Probes the load endpoints of backend servers, at a rate bounded by the control byte budget."""

import asyncio
from typing import Annotated

import aiohttp
import msgspec
from msgspec import Meta

from ..shared.json_bodies import decode_json
from .balancers import ProbeTarget
from .cores import Core
from .events import LoadReported, ProbeFailed
from .response_bodies import read_body
from .settings import EntryVmSettings

ESTIMATED_REQUEST_BYTES = 130
PROBE_TIMEOUT_SECONDS = 1.0
MAX_LOAD_BYTES = 4096
MAX_SLOTS = 100_000


class Load(msgspec.Struct, frozen=True):
    """The answer of a load endpoint; `measured_at` is in epoch seconds, 0 if not given."""

    busy: Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
    draining: bool = False
    measured_at: float = 0.0


class Prober:
    """Probes every backend server once per round, spread evenly over the round."""

    def __init__(self, core: Core, settings: EntryVmSettings):
        self._core = core
        self._min_interval = settings.times.min_probe_interval
        self._bytes_per_second = settings.control.bytes_per_second * settings.control.probe_share
        self._tasks: set[asyncio.Task] = set()

    def round_seconds(self, target_count: int) -> float:
        """Returns how long a round over `target_count` servers takes, in seconds.

        A round is at least the minimum probe interval, and longer where the byte budget for
        probes requires it.
        """
        return max(
            self._min_interval, target_count * ESTIMATED_REQUEST_BYTES / self._bytes_per_second
        )

    async def run(self) -> None:
        """Probes until cancelled."""
        headers = ("User-Agent", "Accept", "Accept-Encoding")
        async with aiohttp.ClientSession(skip_auto_headers=headers) as session:
            while True:
                targets = self._core.balancer.probe_targets()
                if not targets:
                    await asyncio.sleep(self._min_interval / 4)
                for target in targets:
                    task = asyncio.create_task(self._probe(session, target))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                    await asyncio.sleep(self.round_seconds(len(targets)) / len(targets))

    async def _probe(self, session: aiohttp.ClientSession, target: ProbeTarget) -> None:
        self._core.balancer.charge_control_bytes(ESTIMATED_REQUEST_BYTES, self._core.clock())
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        url = f"http://{target.address}/load"
        try:
            async with session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                body = await read_body(response, MAX_LOAD_BYTES)
            load = decode_json(body, Load).unwrap_or(None)
        except (aiohttp.ClientError, TimeoutError, OSError):
            load = None
        if load is None:
            self._core.submit(ProbeFailed(target.server, target.incarnation))
            return
        self._core.submit(
            LoadReported(
                target.server,
                target.incarnation,
                load.busy,
                load.slots,
                load.draining,
                min(load.measured_at or self._core.clock(), self._core.clock()),
            )
        )
