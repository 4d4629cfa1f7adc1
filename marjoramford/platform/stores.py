"""The platform's store, read and watched for servers and routes."""

import asyncio
import logging
import time
from random import Random
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from ..addresses import Address
from ..errors import Step, StepError
from ..flow_balancers import FlowBalancer
from ..flow_settings import PacketVmSettings
from ..http_calls import HttpClient, HttpReply
from ..logs import LogEvent, log_event
from .entries import ROUTES_KEY, SERVER_PREFIX, StoreItem, decode_routes, decode_server

logger = logging.getLogger(__name__)

HISTORY_GONE = 410


class _Page(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    # The store's revision, not that of the items.
    as_of: int
    has_more: bool = False


class _Changes(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    as_of: int


class StoreReader:
    """Reads everything once, then watches for changes; reads anew if the history is gone."""

    def __init__(self, settings: PacketVmSettings, balancer: FlowBalancer):
        self._times = settings.reads
        self._balancer = balancer
        self._client = HttpClient(Address.parse(settings.platform), Step.READ_PLATFORM)
        self._random = Random()
        self._failures = 0
        self._watched_from = 0

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            step = self._watch() if self._watched_from else self._read_all()
            result = await step
            match result:
                case Ok():
                    self._note_reachable()
                case Err(error):
                    self._note_unreachable(error)
                    await asyncio.sleep(self._retry_pause())

    async def _read_all(self) -> Result[None, StepError]:
        after = ""
        items: list[msgspec.Raw] = []
        revision = 0
        while True:
            query = {"prefix": ""} | ({"after": after} if after else {})
            reply = await self._get("/v1/kv-range", query, _Page, self._times.timeout)
            if reply.is_err():
                return reply
            page = reply.ok_value
            # Pages are no snapshot: watching from the first one's revision misses nothing.
            revision = revision or page.as_of
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = msgspec.json.decode(page.items[-1], type=StoreItem).key
        self._apply_all(items, revision)
        self._watched_from = revision
        return Ok(None)

    async def _watch(self) -> Result[None, StepError]:
        wait = self._times.watch_seconds
        query = {"prefix": "", "after": self._watched_from, "wait_ms": int(wait * 1000)}
        reply = await self._get("/v1/kv-watch", query, _Changes, wait + self._times.timeout)
        if reply.is_err():
            return reply
        changes = reply.ok_value
        self._apply_changes(changes)
        self._watched_from = changes.as_of
        if changes.events:
            await asyncio.sleep(self._times.settle_seconds)
        return Ok(None)

    async def _get(self, path: str, query: dict, answer_type: type, timeout: float) -> Result:
        reply = await self._client.get(f"{path}?{urlencode(query)}", timeout)
        match reply:
            case Ok(HttpReply(status=200, body=body)):
                try:
                    return Ok(msgspec.json.decode(body, type=answer_type))
                except msgspec.MsgspecError as error:
                    return self._fail(str(error))
            case Ok(HttpReply(status=status)):
                if status == HISTORY_GONE:
                    self._watched_from = 0
                return self._fail(f"{path} answered {status}")
        return reply

    def _fail(self, reason: str) -> Err[StepError]:
        return Err(StepError(Step.READ_PLATFORM, "store", reason))

    def _apply_all(self, items: list[msgspec.Raw], revision: int) -> None:
        now = time.monotonic()
        records = []
        for item in filter(None, map(self._decode_item, items)):
            if item.key == ROUTES_KEY:
                self._apply_routes(item)
            elif item.key.startswith(SERVER_PREFIX):
                record = decode_server(item, now)
                if record.is_ok():
                    records.append(record.ok_value)
                else:
                    self._reject(item, record.err_value)
        self._balancer.list.replace(tuple(records), revision, now)

    def _apply_changes(self, changes: _Changes) -> None:
        now = time.monotonic()
        for item in filter(None, map(self._decode_item, changes.events)):
            if item.key == ROUTES_KEY and not item.tombstone:
                self._apply_routes(item)
            elif item.key.startswith(SERVER_PREFIX):
                self._apply_server(item, now)
        self._balancer.list.advance(changes.as_of, now)

    def _apply_server(self, item: StoreItem, now: float) -> None:
        server_list = self._balancer.list
        if item.tombstone:
            server_list.remove(item.key.removeprefix(SERVER_PREFIX), now)
            return
        match decode_server(item, now):
            case Ok(record):
                server_list.put(record, now)
            case Err(reason):
                self._reject(item, reason)
                server_list.remove(item.key.removeprefix(SERVER_PREFIX), now)

    def _apply_routes(self, item: StoreItem) -> None:
        match decode_routes(item):
            case Ok(table):
                self._balancer.take_routes(table)
            case Err(reason):
                self._reject(item, reason)

    def _decode_item(self, raw: msgspec.Raw) -> StoreItem | None:
        try:
            return msgspec.json.decode(raw, type=StoreItem)
        except msgspec.MsgspecError as error:
            log_event(logger, LogEvent.CATALOGUE_ENTRY_REJECTED, reason=str(error))
            return None

    def _reject(self, item: StoreItem, reason: str) -> None:
        log_event(
            logger,
            LogEvent.CATALOGUE_ENTRY_REJECTED,
            key=item.key,
            revision=item.revision,
            reason=reason,
        )

    def _note_reachable(self) -> None:
        if self._failures:
            log_event(logger, LogEvent.PLATFORM_BACK, failures=self._failures)
        self._failures = 0

    def _note_unreachable(self, error: StepError) -> None:
        self._failures += 1
        self._balancer.list.note_unreachable()
        if self._failures == 1:
            log_event(logger, LogEvent.PLATFORM_UNREACHABLE, error=error)

    def _retry_pause(self) -> float:
        longest = min(
            self._times.max_retry_seconds, self._times.retry_seconds * 2 ** (self._failures - 1)
        )
        return longest * self._random.uniform(0.5, 1.0)
