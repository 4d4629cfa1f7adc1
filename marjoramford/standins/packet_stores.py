"""Stand-in for the platform's metadata store: range reads and watches over HTTP."""

import asyncio
import time
from base64 import b64decode, b64encode
from collections import Counter
from urllib.parse import parse_qs, urlsplit

import msgspec

from ..opaque_flows.http_messages import HttpRequest
from ..opaque_flows.http_services import HttpResponse, serve_http
from ..shared.addresses import Address

PAGE_ITEMS = 50
ERA_HEADER = "Store-Era"


class StoreCopy(msgspec.Struct, frozen=True):
    """A copy of the store from which it can be restored."""

    items: dict[str, dict]
    revision: int


class PacketStore:
    """In-memory key-value store with one revision counter and a compactable change history.

    Attributes:
        era: how often the store was restored from a copy; sent in all responses unless it is 0.
        revision: revision of the last change.
        calls: number of requests for each URL path.
        down: whether every request is answered with 503.
        old_copy: what range reads that allow stale entries get; None for the newest entries.
    """

    def __init__(self, page_items: int = PAGE_ITEMS):
        self._page_items = page_items
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._first_kept_revision = 1
        self._changed = asyncio.Event()
        self.era = 0
        self.revision = 1
        self.calls: Counter[str] = Counter()
        self.down = False
        self.old_copy: StoreCopy | None = None

    def put(self, key: str, value: object) -> None:
        """Writes an item; `value` is encoded as JSON unless it is bytes."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.revision += 1
        created = self._items.get(key, {}).get("create_revision", self.revision)
        item = {
            "key": key,
            "value": b64encode(raw).decode(),
            "revision": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self._items[key] = item
        self._append_event(item)

    def remove(self, key: str) -> None:
        """Removes an item, if it exists, and records a tombstone."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "tombstone": True})

    def values(self, prefix: str) -> dict[str, object]:
        """Returns the decoded values of the items whose keys start with a prefix, by key."""
        return {
            key: msgspec.json.decode(b64decode(item["value"]))
            for key, item in self._items.items()
            if key.startswith(prefix)
        }

    def compact_history(self) -> None:
        """Drops the change history, so that watches from before it are answered with 410."""
        self._history.clear()
        self._first_kept_revision = self.revision + 1
        self._wake_watchers()

    def take_copy(self) -> StoreCopy:
        """Returns a copy for `restore`."""
        return StoreCopy(dict(self._items), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Starts a new era from a copy; waiting watches are answered with 410.

        Revisions after the copy's are assigned again, to other changes.
        """
        self._items = dict(copy.items)
        self.revision = copy.revision
        self.era += 1
        self.compact_history()

    async def serve(self, address: Address) -> asyncio.Server:
        """Starts serving the store's HTTP interface."""
        return await serve_http(address, self.answer)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Handles one HTTP request."""
        response = await self._answer(request)
        if not self.era:
            return response
        headers = (*response.headers, (ERA_HEADER, str(self.era)))
        return msgspec.structs.replace(response, headers=headers)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        parts = urlsplit(request.target)
        self.calls[parts.path] += 1
        if self.down:
            return HttpResponse(503)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/v1/kv-range":
                return self._range(query)
            case "/v1/kv-watch":
                return await self._watch(query)
        return HttpResponse(404)

    def _range(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        source = StoreCopy(self._items, self.revision)
        if query.get("allow_stale") == "1" and self.old_copy is not None:
            source = self.old_copy
        keys = sorted(key for key in source.items if key.startswith(prefix) and key > after)
        page = [source.items[key] for key in keys[: self._page_items]]
        more = len(keys) > self._page_items
        body = {"items": page, "has_more": more, "as_of": source.revision}
        return HttpResponse(200, msgspec.json.encode(body))

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            # A watch from a revision that was lost in a restore waits for no revision to come.
            unknown = after > self.revision or self.era != era
            if unknown or after + 1 < self._first_kept_revision:
                return HttpResponse(410)
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                body = {"events": events, "as_of": self.revision}
                return HttpResponse(503 if self.down else 200, msgspec.json.encode(body))
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _append_event(self, event: dict) -> None:
        self._history.append(event)
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
