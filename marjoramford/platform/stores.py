"""Reads and watches the platform's store for servers, routes and drains of zones."""

import logging
import time
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from ..opaque_flows.flow_balancers import FlowBalancer
from ..opaque_flows.flow_settings import PacketVmSettings
from ..opaque_flows.http_messages import HttpReply, ReplyClient
from ..opaque_flows.read_cursors import (
    AnswerKind,
    ReadCursor,
    ReadEverything,
    RejectAnswer,
    UseAnswer,
)
from ..opaque_flows.server_lists import ListChanges
from ..opaque_flows.state_versions import StateVersion
from ..opaque_flows.zone_drains import ZoneDrain
from ..shared.addresses import Address
from ..shared.errors import Step, StepError
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from ..shared.records import VmRecord
from .entries import (
    DRAIN_PREFIX,
    OPERATOR_PREFIX,
    ROUTES_KEY,
    SERVER_PREFIX,
    StoreItem,
    check_drain_value,
    decode_drain,
    decode_item,
    decode_routes,
    decode_server,
)

logger = logging.getLogger(__name__)

STATUS_HISTORY_GONE = 410
ERA_HEADER = "store-era"
# Far above any number of restores, and within the integers that peers decode.
MAX_ERA_DIGITS = 15
MAX_WHOLE_READS = 3


class _Page(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    # The store's revision when the page was read, not the highest revision of the items.
    as_of: int
    has_more: bool = False


class _ItemKey(msgspec.Struct, frozen=True):
    """The part of an item that decides where the next page begins."""

    key: str


class _Items(msgspec.Struct, frozen=True):
    """Entries read in pages, and the store's revision at the oldest page."""

    items: list[msgspec.Raw]
    revision: int


class _Changes(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...]
    as_of: int


class StoreReader:
    """Reads all entries once, then watches for changes.

    The first read takes pages that may be seconds old, which cost a tenth, and the changes since
    then. All entries are read again if the store no longer has the history since the last read, or
    if it was restored from a copy.

    Args:
        settings: settings of the entry VM.
        balancer: gets what is read.
        client: makes the calls; None for one that needs a running asyncio loop.
    """

    def __init__(
        self, settings: PacketVmSettings, balancer: FlowBalancer, client: ReplyClient | None = None
    ):
        self._address = Address.parse(settings.platform)
        self._timeout = settings.reads.timeout
        self._balancer = balancer
        self._client = client or self._make_client()
        self._cursor = ReadCursor()
        # Entries of the servers, which may be old.
        self._preloaded: _Items | None = None

    def use_asyncio(self) -> None:
        """Makes the next calls with a client that needs a running asyncio loop."""
        self._client = self._make_client()

    async def read(self, wait: float) -> Result[bool, StepError]:
        """Updates routes and servers, waiting up to `wait` seconds for a change.

        The first read, and the first one after the store has lost the history since the last read,
        loads everything without waiting. So does a read that finds the store restored.

        Returns:
            Whether anything changed; always true if everything was loaded.
        """
        # A peer may have shown the new era while the store did not answer here.
        self._cursor.learn_era(self._balancer.server_list.version.era)
        self._adopt_followed_version()
        preloaded, self._preloaded = self._preloaded, None
        is_useful = preloaded is not None and self._cursor.whole_read_due
        if is_useful and await self._complete_preload(preloaded):
            return Ok(True)
        if not self._cursor.whole_read_due:
            match await self._watch(wait):
                case Ok(ReadEverything()):
                    pass
                case result:
                    return result
        return await self._read_all()

    def _adopt_followed_version(self) -> None:
        """Watches on from the version that a peer's state has brought, instead of reading all."""
        if self._balancer.ready and self._balancer.installed_routes.are_limits_known:
            self._cursor.adopt(self._balancer.server_list.known_version)

    async def _read_all(self) -> Result[bool, StepError]:
        for _ in range(MAX_WHOLE_READS):
            match await self._read_pages():
                case Ok(ReadEverything()):
                    continue
                case result:
                    return result
        return self._fail(f"restored {MAX_WHOLE_READS} times during one read")

    async def preload(self) -> Result[None, StepError]:
        """Reads the servers alone, so that packets of open flows can be forwarded.

        The first read then needs only the operator's entries, which are larger where there are many
        routes, and the changes since the servers were read.
        """
        match await self._read_prefix(SERVER_PREFIX, AnswerKind.FIRST_PAGE, may_be_old=True):
            case Ok(_Items() as servers):
                self._preloaded = servers
                self._preload_list(servers.items)
                return Ok(None)
            case Ok():
                return self._fail("restored during the first read")
            case error:
                return error

    def _preload_list(self, raw_items: Iterable[msgspec.Raw]) -> None:
        now = time.monotonic()
        decoded = map(decode_item, raw_items)
        # Entries that cannot be read are logged when all entries are applied.
        records = (decode_server(item.ok_value, now) for item in decoded if item.is_ok())
        self._balancer.server_list.preload(r.ok_value for r in records if r.is_ok())

    async def _complete_preload(self, servers: "_Items") -> bool:
        """Reads the operator's entries and what has changed since the preload; applies all.

        Returns:
            Whether the state is complete. It is not if one of the reads failed, or if a peer has
            brought a newer list meanwhile, which a whole would not replace.
        """
        read = await self._read_prefix(OPERATOR_PREFIX, AnswerKind.NEXT_PAGE, may_be_old=True)
        if read.is_err() or isinstance(read.ok_value, ReadEverything):
            return False
        operator = read.ok_value
        revision = min(servers.revision, operator.revision)
        asked_at = time.monotonic()
        changes = await self._get_changes(revision, 0.0)
        if changes.is_err() or isinstance(changes.ok_value, ReadEverything):
            return False
        version = StateVersion(self._cursor.version.era, revision)
        if version < self._balancer.server_list.version:
            return False
        applied = self._apply(servers.items + operator.items, True, revision)
        if applied.is_ok():
            applied = self._apply(changes.ok_value.events, False, changes.ok_value.as_of, asked_at)
        return applied.is_ok()

    async def _read_pages(self) -> Result[bool | ReadEverything, StepError]:
        asked_at = time.monotonic()
        match await self._read_prefix("", AnswerKind.FIRST_PAGE):
            case Ok(_Items(items, revision)):
                return self._apply(items, True, revision, asked_at).map(lambda _: True)
            case result:
                return result

    async def _read_prefix(
        self, prefix: str, kind: AnswerKind, may_be_old: bool = False
    ) -> Result["_Items | ReadEverything", StepError]:
        """Reads the entries whose keys begin with a prefix, in pages.

        Args:
            prefix: prefix of the keys, as in a query; empty for all entries.
            kind: kind of the first page, `NEXT_PAGE` if it continues an earlier read.
            may_be_old: whether the entries may be seconds old, as of the revision of each page.
        """
        after = ""
        items: list[msgspec.Raw] = []
        revision = None
        while True:
            query = f"prefix={prefix}" + (f"&after={_quote(after)}" if after else "")
            query += "&allow_stale=1" if may_be_old else ""
            reply = await self._get(f"/v1/kv-range?{query}", _Page, kind, self._timeout)
            if reply.is_err() or isinstance(reply.ok_value, ReadEverything):
                return reply
            page = reply.ok_value
            # The pages are no consistent snapshot; watching from the oldest page's revision misses
            # no change.
            revision = page.as_of if revision is None else min(revision, page.as_of)
            items.extend(page.items)
            if not page.has_more or not page.items:
                return Ok(_Items(items, revision))
            key = _find_last_key(page.items)
            if key is None or key == after:
                return self._fail(f"no page follows the key {after!r}")
            after = key
            kind = AnswerKind.NEXT_PAGE

    async def _watch(self, wait: float) -> Result[bool | ReadEverything, StepError]:
        asked_at = time.monotonic()
        reply = await self._get_changes(self._cursor.version.revision, wait)
        if reply.is_err() or isinstance(reply.ok_value, ReadEverything):
            return reply
        changes = reply.ok_value
        # Without events the store answers only at the end of the wait; a second copy of an earlier
        # answer may come before.
        confirmed_at = asked_at if changes.events else min(asked_at + wait, time.monotonic())
        applied = self._apply(changes.events, False, changes.as_of, confirmed_at)
        return applied.map(lambda _: bool(changes.events))

    async def _get_changes(
        self, revision: int, wait: float
    ) -> Result["_Changes | ReadEverything", StepError]:
        """Gets the changes after a revision, waiting up to `wait` seconds for one."""
        target = f"/v1/kv-watch?prefix=&after={revision}&wait_ms={int(wait * 1000)}"
        reply = await self._get(target, _Changes, AnswerKind.CHANGES, wait + self._timeout)
        match reply:
            case Ok(_Changes(as_of=as_of)) if as_of < revision:
                return self._fail("store revision went backwards")
        return reply

    async def _get(
        self, target: str, answer_type: type, kind: AnswerKind, timeout: float
    ) -> Result[msgspec.Struct | ReadEverything, StepError]:
        match await self._client.get(target, timeout):
            case Ok(HttpReply() as reply):
                return self._check(reply, answer_type, kind)
            case error:
                return error

    def _check(
        self, reply: HttpReply, answer_type: type, kind: AnswerKind
    ) -> Result[msgspec.Struct | ReadEverything, StepError]:
        """Returns the body of an answer that the cursor lets through."""
        if reply.status != 200:
            is_gone = reply.status == STATUS_HISTORY_GONE
            kind = AnswerKind.HISTORY_GONE if is_gone else AnswerKind.REFUSAL
        match _decode_era(reply.headers):
            case Ok(era):
                verdict = self._cursor.judge(kind, era)
            case Err(reason):
                verdict = self._cursor.reject(kind, reason)
        match verdict:
            case UseAnswer():
                return decode_json(reply.body, answer_type).map_err(self._make_error)
            case RejectAnswer(reason=reason):
                if reply.status != 200:
                    reason = f"expected HTTP status 200, got {reply.status}: {reason}"
                return self._fail(reason)
        return Ok(verdict)

    def _make_client(self) -> ReplyClient:
        # Imported here, because a start reads the store before it imports asyncio.
        from ..opaque_flows.http_calls import HttpClient

        return HttpClient(self._address, Step.READ_PLATFORM)

    def _fail(self, reason: str) -> Err[StepError]:
        return Err(self._make_error(reason))

    def _make_error(self, reason: str) -> StepError:
        return StepError(Step.READ_PLATFORM, "store", reason)

    def _apply(
        self,
        raw_items: Iterable[msgspec.Raw],
        whole: bool,
        revision: int,
        confirmed_at: float | None = None,
    ) -> Result[None, StepError]:
        """Applies entries or changes; see `ListChanges`.

        Args:
            raw_items: the entries or events.
            whole: whether these are all entries.
            revision: revision of the store that they lead to.
            confirmed_at: when the store was asked, on the monotonic clock in seconds; None if they
                may be old.
        """
        now = time.monotonic()
        records: list[VmRecord] = []
        removed: list[tuple[str, int]] = []
        drains: list[ZoneDrain] = []
        for item in filter(None, map(self._decode_item, raw_items)):
            if item.key == ROUTES_KEY and not item.tombstone:
                self._apply_routes(item)
            elif item.key.startswith(SERVER_PREFIX):
                record = self._decode_server(item, now)
                if record is None:
                    removed.append((item.key.removeprefix(SERVER_PREFIX), item.revision))
                else:
                    records.append(record)
            elif item.key.startswith(DRAIN_PREFIX):
                drains += self._decode_drain(item)
        version = StateVersion(self._cursor.version.era, revision)
        server_list = self._balancer.server_list
        changes = ListChanges(tuple(records), tuple(removed), whole, version, tuple(drains))
        if not server_list.apply(changes, now):
            return self._fail(f"answer {version} is older than the list {server_list.version}")
        if confirmed_at is not None:
            server_list.confirm(confirmed_at)
        self._cursor.advance(revision)
        return Ok(None)

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

    def _decode_drain(self, item: StoreItem) -> list[ZoneDrain]:
        """Returns the change of a zone's drain; nothing if the key names no valid zone."""
        match decode_drain(item):
            case Ok(drain):
                value = Ok({}) if item.tombstone else check_drain_value(item)
                if value.is_err():
                    self._reject(item, f"the zone is drained all the same: {value.err_value}")
                return [drain]
            case Err(reason):
                self._reject(item, reason)
        return []

    def _apply_routes(self, item: StoreItem) -> None:
        match decode_routes(item, self._cursor.version.era):
            case Ok(table):
                self._balancer.installed_routes.apply(table)
            case Err(reason):
                self._reject(item, reason)

    def _decode_item(self, raw: msgspec.Raw) -> StoreItem | None:
        match decode_item(raw):
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


def _quote(key: str) -> str:
    # Imported here, since a start rarely reads several pages.
    from urllib.parse import quote

    return quote(key)


def _find_last_key(items: tuple[msgspec.Raw, ...]) -> str | None:
    """Returns the last key that can be read, also of an item that is otherwise invalid."""
    for raw in reversed(items):
        match decode_json(raw, _ItemKey):
            case Ok(item):
                return item.key
    return None


def _decode_era(headers: dict[str, str]) -> Result[int, str]:
    """Returns the store's era; 0 for a store that names none."""
    text = headers.get(ERA_HEADER, "0").strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
        return Err(f"expected a number in the header {ERA_HEADER}, got {text[:40]!r}")
    return Ok(int(text))
