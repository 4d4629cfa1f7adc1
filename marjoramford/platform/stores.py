"""Reads and watches the platform's store for servers and routes."""

import logging
import time
from collections.abc import Iterable
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from ..addresses import Address
from ..errors import Step, StepError
from ..flow_balancers import FlowBalancer
from ..flow_settings import PacketVmSettings
from ..http_calls import HttpClient, HttpReply
from ..json_bodies import decode_json
from ..logs import LogEvent, log_event
from ..records import VmRecord
from ..server_lists import ListChanges
from ..state_versions import StateVersion
from .entries import ROUTES_KEY, SERVER_PREFIX, StoreItem, decode_routes, decode_server

logger = logging.getLogger(__name__)

STATUS_HISTORY_GONE = 410


class _Page(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    # The store's revision when the page was read, not the highest revision of the items.
    as_of: int
    has_more: bool = False


class _Changes(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    as_of: int


class StoreReader:
    """Reads all entries once, then watches for changes.

    All entries are read again if the store no longer has the history since the last read.
    """

    def __init__(self, settings: PacketVmSettings, balancer: FlowBalancer):
        self._timeout = settings.reads.timeout
        self._balancer = balancer
        self._client = HttpClient(Address.parse(settings.platform), Step.READ_PLATFORM)
        self._watch_revision = 0

    async def read(self, wait: float) -> Result[bool, StepError]:
        """Updates routes and servers, waiting up to `wait` seconds for a change.

        The first read, and the first one after the store has lost the history since the last read,
        loads everything without waiting.

        Returns:
            Whether anything changed; always true if everything was loaded.
        """
        return await (self._watch(wait) if self._watch_revision else self._read_all())

    async def _read_all(self) -> Result[bool, StepError]:
        after = ""
        items: list[msgspec.Raw] = []
        revision = 0
        asked_at = time.monotonic()
        while True:
            query = f"prefix=&after={quote(after)}" if after else "prefix="
            reply = await self._get(f"/v1/kv-range?{query}", _Page, self._timeout)
            if reply.is_err():
                return reply
            page = reply.ok_value
            # The pages are no consistent snapshot; watching from the first page's revision misses
            # no change.
            revision = revision or page.as_of
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = msgspec.json.decode(page.items[-1], type=StoreItem).key
        self._apply(items, True, revision, asked_at)
        return Ok(True)

    async def _watch(self, wait: float) -> Result[bool, StepError]:
        query = f"prefix=&after={self._watch_revision}&wait_ms={int(wait * 1000)}"
        asked_at = time.monotonic()
        reply = await self._get(f"/v1/kv-watch?{query}", _Changes, wait + self._timeout)
        if reply.is_err():
            return reply
        changes = reply.ok_value
        if changes.as_of < self._watch_revision:
            return self._fail("store revision went backwards")
        # Without events the store answers only at the end of the wait.
        confirmed_at = asked_at if changes.events else asked_at + wait
        self._apply(changes.events, False, changes.as_of, confirmed_at)
        return Ok(bool(changes.events))

    async def _get(self, target: str, answer_type: type, timeout: float) -> Result:
        reply = await self._client.get(target, timeout)
        match reply:
            case Ok(HttpReply(status=200, body=body)):
                return decode_json(body, answer_type).map_err(self._make_error)
            case Ok(HttpReply(status=status)):
                if status == STATUS_HISTORY_GONE:
                    self._watch_revision = 0
                return self._fail(f"expected HTTP status 200, got {status}")
        return reply

    def _fail(self, reason: str) -> Err[StepError]:
        return Err(self._make_error(reason))

    def _make_error(self, reason: str) -> StepError:
        return StepError(Step.READ_PLATFORM, "store", reason)

    def _apply(
        self, raw_items: Iterable[msgspec.Raw], whole: bool, revision: int, confirmed_at: float
    ) -> None:
        now = time.monotonic()
        records: list[VmRecord] = []
        removed: list[tuple[str, int]] = []
        for item in filter(None, map(self._decode_item, raw_items)):
            if item.key == ROUTES_KEY and not item.tombstone:
                self._apply_routes(item)
            elif item.key.startswith(SERVER_PREFIX):
                record = self._decode_server(item, now)
                if record is None:
                    removed.append((item.key.removeprefix(SERVER_PREFIX), item.revision))
                else:
                    records.append(record)
        changes = ListChanges(tuple(records), tuple(removed), whole, StateVersion(0, revision))
        self._balancer.server_list.apply(changes, now)
        self._balancer.server_list.confirm(confirmed_at)
        self._watch_revision = revision

    def _decode_server(self, item: StoreItem, now: float) -> VmRecord | None:
        """Returns a server's record; None for a tombstone or an invalid entry.

        Both remove the server from the list.
        """
        if item.tombstone:
            return None
        match decode_server(item, now):
            case Ok(record):
                return record
            case Err(reason):
                self._reject(item, reason)
        return None

    def _apply_routes(self, item: StoreItem) -> None:
        match decode_routes(item):
            case Ok(table):
                self._balancer.apply_routes(table)
            case Err(reason):
                self._reject(item, reason)

    def _decode_item(self, raw: msgspec.Raw) -> StoreItem | None:
        match decode_json(raw, StoreItem):
            case Ok(item):
                return item
            case Err(reason):
                log_event(logger, LogEvent.CATALOGUE_ENTRY_REJECTED, reason=reason)
        return None

    def _reject(self, item: StoreItem, reason: str) -> None:
        log_event(
            logger,
            LogEvent.CATALOGUE_ENTRY_REJECTED,
            key=item.key,
            revision=item.revision,
            reason=reason,
        )
