"""Watches the platform's catalogue and VM list by long polling."""

import asyncio
import logging

import aiohttp
import msgspec
from result import Err, Ok

from ..shared.errors import Step, StepError
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from .cores import Core
from .events import CatalogueRead, Event, VmListRead
from .response_bodies import read_body
from .settings import TimeSettings

logger = logging.getLogger(__name__)

NOT_READER_POLL_SECONDS = 1.0
RECORDS_PER_PAGE = 1000
MAX_PAGE_BYTES = 1_048_576
ESTIMATED_REQUEST_BYTES = 200


class PublishedPage(msgspec.Struct, frozen=True):
    """The platform's answer: records in order of revision, complete up to `through`."""

    records: tuple[msgspec.Raw, ...]
    through: int


class Watcher:
    """Keeps one collection up to date while this entry VM is one of its zone's platform readers.

    A watch is a long poll: the platform answers when there is a change or after `platform_wait`
    seconds.
    """

    def __init__(self, core: Core, platform: str, collection: str, times: TimeSettings):
        self._core = core
        self._url = f"{platform}/v1/{collection}"
        self._collection = collection
        self._times = times
        self._is_reachable = True

    async def run(self) -> None:
        """Watches until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                if not self._core.balancer.is_reader():
                    await asyncio.sleep(NOT_READER_POLL_SECONDS)
                elif not await self._watch_once(session):
                    await asyncio.sleep(self._times.platform_retry)

    async def _watch_once(self, session: aiohttp.ClientSession) -> bool:
        params = {
            "after": str(self._known_revision()),
            "wait": str(self._times.platform_wait),
            "limit": str(RECORDS_PER_PAGE),
        }
        timeout = aiohttp.ClientTimeout(total=self._times.platform_wait + 5.0, connect=2.0)
        self._core.balancer.charge_control_bytes(ESTIMATED_REQUEST_BYTES, self._core.clock())
        try:
            async with session.get(self._url, params=params, timeout=timeout) as response:
                response.raise_for_status()
                body = await read_body(response, 2 * MAX_PAGE_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._report_unreachable(StepError(Step.READ_PLATFORM, self._url, str(error)))
            return False
        match decode_json(body, PublishedPage):
            case Ok(page):
                self._report_reachable()
                self._core.submit(self._make_event(page))
                return True
            case Err(reason):
                self._report_unreachable(StepError(Step.READ_PLATFORM, self._url, reason))
        return False

    def _known_revision(self) -> int:
        node = self._core.balancer.node
        store = node.catalogue if self._collection == "catalogue" else node.vm_list
        return store.through

    def _make_event(self, page: PublishedPage) -> Event:
        records = tuple(bytes(raw) for raw in page.records)
        if self._collection == "catalogue":
            return CatalogueRead(records, page.through)
        return VmListRead(records, page.through)

    def _report_unreachable(self, error: StepError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            log_event(
                logger, LogEvent.PLATFORM_UNREACHABLE, collection=self._collection, error=error
            )

    def _report_reachable(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            log_event(logger, LogEvent.PLATFORM_BACK, collection=self._collection)
