"""Model of the platform's store over two eras, and an entry VM whose reads are stepped by hand.

The store is a frozen value. The entry VM runs the real code; between two reads it is a pickled
snapshot, and a read in progress is a snapshot with the replies that it has got so far. Both can be
hashed, so a state of the whole model is cheap to keep and to compare.
"""

import json
import pickle
from base64 import b64encode
from collections import deque
from functools import cache
from types import SimpleNamespace
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec
from result import Err, Ok

from marjoramford.opaque_flows.http_messages import HttpReply, HttpRequest
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.state_versions import NOTHING_READ
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.addresses import Address
from marjoramford.shared.errors import Step, StepError

from .flow_worlds import SETTINGS, START

CONFIG_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
PAGE_ITEMS = 2
PEER = Address("127.0.0.1", 9)
LOST_ANSWER = Err(StepError(Step.READ_PLATFORM, "store", "answer lost"))


class Answer(NamedTuple):
    """An answer of the store, or of a peer, which names no era in a header."""

    status: int
    body: bytes = b""
    era: int | None = None

    def to_result(self):
        if not self.status:
            return LOST_ANSWER
        headers = {} if self.era is None else {"store-era": str(self.era)}
        return Ok(HttpReply(self.status, self.body, headers))


LOST = Answer(0)


class Write(NamedTuple):
    """One write; `value` is the version of the config or the start of the server, 0 a removal.

    Of the key that drains a zone, any other value is a start.
    """

    key: str
    value: int


class Copy(NamedTuple):
    items: tuple[tuple[str, int, int], ...]
    revision: int


class StoreModel(NamedTuple):
    """The store; `items` and `events` hold key, value and revision.

    Its era is None if its answers do not name it.
    """

    era: int | None = 1
    revision: int = 1
    items: tuple[tuple[str, int, int], ...] = ()
    events: tuple[tuple[str, int, int], ...] = ()
    history_from: int = 1
    copy: Copy | None = None

    def write(self, write: Write) -> "StoreModel":
        revision = self.revision + 1
        change = (write.key, write.value, revision)
        kept = [item for item in self.items if item[0] != write.key]
        items = tuple(sorted([*kept, change] if write.value else kept))
        return self._replace(revision=revision, items=items, events=(*self.events, change))

    def take_copy(self) -> "StoreModel":
        return self._replace(copy=Copy(self.items, self.revision))

    def restore(self) -> "StoreModel":
        """Returns the store as of its copy, in the next era and without earlier history."""
        items, revision = self.copy
        era = None if self.era is None else self.era + 1
        return StoreModel(era, revision, items, (), revision, self.copy)

    def answer(self, target: str) -> Answer:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            later = [item for item in self.items if item[0] > query.get("after", "")]
            page = [_encode_item(*item) for item in later[:PAGE_ITEMS]]
            body = {"items": page, "has_more": len(later) > PAGE_ITEMS, "as_of": self.revision}
            return self._reply(200, body)
        after = int(query["after"])
        if not self.history_from <= after <= self.revision:
            return self._reply(410)
        events = [_encode_item(*event) for event in self.events if event[2] > after]
        return self._reply(200, {"events": events, "as_of": self.revision})

    def refuse(self) -> Answer:
        return self._reply(503)

    def servers(self) -> dict[str, int]:
        """Returns the number of the start of each server, by name."""
        servers = [item for item in self.items if not item[0].startswith("op/")]
        return {key.removeprefix("servers/"): value for key, value, _revision in servers}

    def drained_zones(self) -> tuple[str, ...]:
        return tuple(
            key.removeprefix(DRAIN_PREFIX)
            for key, _value, _revision in self.items
            if key.startswith(DRAIN_PREFIX)
        )

    @property
    def config_version(self) -> int:
        return next((value for key, value, _ in self.items if key == CONFIG_KEY), 0)

    def _reply(self, status: int, body: dict | None = None) -> Answer:
        return Answer(status, json.dumps(body).encode() if body else b"", self.era)


def _encode_item(key: str, value: int, revision: int) -> dict:
    if not value:
        return {"key": key, "revision": revision, "tombstone": True}
    raw = b64encode(json.dumps(_entry(key, value)).encode()).decode()
    return {"key": key, "revision": revision, "value": raw}


def _entry(key: str, value: int) -> dict:
    if key == CONFIG_KEY:
        route = {"host": "198.18.0.1", "prefix": f"/{value}/", "service": "booking"}
        return {"version": value, "routes": [route]}
    if key.startswith(DRAIN_PREFIX):
        return {}
    port = 1000 + int(key.rpartition("-")[2], 16)
    entry = {"service": "booking", "address": f"10.0.0.1:{port}", "zone": "a", "state": "ready"}
    return entry | {"born": value}


class VmModel(NamedTuple):
    """An entry VM: a snapshot, and the read in progress with the replies that it got so far.

    Attributes:
        source: `store` or `peer`; empty between two reads.
        target: what is asked; empty once the answer is under way.
        answer: the answer under way.
    """

    snapshot: bytes
    source: str = ""
    replies: tuple[Answer, ...] = ()
    target: str = ""
    answer: Answer | None = None


class Clock:
    """Stands for the module `time`; stands still while states are explored."""

    def __init__(self):
        self.now = START

    def monotonic(self) -> float:
        return self.now


class _Pending:
    """Suspends a read until the model resolves its request."""

    def __init__(self, target: str):
        self._target = target

    def __await__(self):
        return (yield self._target)


class _Client:
    async def get(self, target: str, _timeout: float):
        return await _Pending(target)

    def close(self) -> None:
        """Leaves nothing open."""


async def _return_at_once(_seconds: float) -> None:
    """Stands for `asyncio.sleep`."""


# Left out of snapshots: what reads do not change, and the choice of sources, which is the model's.
_UNUSED = {
    "_balancer", "_changed", "_client", "_flows", "_group", "_loss_detector", "_overload_controls",
    "_platform", "_publisher", "_random", "_settings", "answer_latencies", "counters",
    "opening_latencies",
}  # fmt: skip


class VmStepper:
    """Runs one step of an entry VM at a time, with the real code, from snapshots."""

    def __init__(self, monkeypatch):
        clock = Clock()
        sleeper = SimpleNamespace(sleep=_return_at_once)
        for module in (
            "platform.stores",
            "opaque_flows.state_readers",
            "opaque_flows.state_publishers",
        ):
            monkeypatch.setattr(f"marjoramford.{module}.time", clock)
        monkeypatch.setattr("marjoramford.opaque_flows.state_readers.asyncio", sleeper)
        self._vm = PacketVm(SETTINGS, None, StoreReader, lambda: None)
        self._reader = self._vm._reader
        self._reader._client = self._reader._platform._client = _Client()
        self._reader._followed_address = PEER
        self._parts = (
            self._vm.balancer,
            self._reader,
            self._reader._platform,
            self._reader._publisher,
        )
        self._known: dict[tuple, bytes] = {}
        self.initial = self._save()
        self.start = cache(self._start)
        self.deliver = cache(self._deliver)
        self.answer_peer = cache(self._answer_peer)
        self.inspect = cache(self._inspect)

    def _start(self, vm: VmModel, source: str) -> VmModel:
        """Begins a read of a source."""
        _read, target = self._run(vm.snapshot, source, ())
        return vm._replace(source=source, target=target)

    def _deliver(self, vm: VmModel, answer: Answer) -> VmModel:
        """Resolves the request of the read in progress."""
        replies = (*vm.replies, answer)
        read, target = self._run(vm.snapshot, vm.source, replies)
        if read is None:
            return VmModel(self._save())
        return VmModel(vm.snapshot, vm.source, replies, target)

    def _answer_peer(self, vm: VmModel, target: str) -> Answer:
        """Returns the answer to a follower's request, as of now."""
        read = self._resume(vm)
        # The model delivers a request whenever it likes, so the wait for a change is left out.
        target = target.replace(f"wait={SETTINGS.peers.follower_wait}", "wait=0")
        answering = self._vm._handle_request(HttpRequest("GET", target, b""))
        response = _finish(answering)
        if read is not None:
            read.close()
        return Answer(response.status, response.body)

    def _inspect(self, vm: VmModel) -> tuple:
        """Returns the version, servers, version of the routes and drained zones that a VM holds.

        Without the drains that only a restored copy lacks: they last while the clock stands still.
        """
        read = self._resume(vm)
        server_list, routes = self._vm.balancer.server_list, self._vm.balancer.routes
        records = server_list.changes_since(NOTHING_READ).records
        servers = tuple(sorted((record.name, record.incarnation) for record in records))
        drained = tuple(sorted(drain.zone for drain in server_list.drains.snapshot()))
        if read is not None:
            read.close()
        return server_list.version, servers, routes.version if routes else 0, drained

    def _resume(self, vm: VmModel):
        if not vm.source:
            self._load(vm.snapshot)
            return None
        return self._run(vm.snapshot, vm.source, vm.replies)[0]

    def _run(self, snapshot: bytes, source: str, replies: tuple):
        """Runs a read up to its next request; returns it with that, or None and an empty one."""
        self._load(snapshot)
        if source == "store":
            # The clock stands still, so an answer without changes comes at once.
            read = self._reader._read_platform(0.0)
        else:
            read = self._reader._follow(PEER, SETTINGS.peers.follower_wait)
        try:
            target = read.send(None)
            for reply in replies:
                target = read.send(reply.to_result())
        except StopIteration:
            return None, ""
        return read, target

    def _save(self) -> bytes:
        kept = [
            {name: value for name, value in vars(part).items() if name not in _UNUSED}
            for part in self._parts
        ]
        return self._known.setdefault(_freeze(kept), pickle.dumps(kept))

    def _load(self, snapshot: bytes) -> None:
        for part, kept in zip(self._parts, pickle.loads(snapshot), strict=True):
            vars(part).update(kept)


def _finish(coroutine):
    """Runs a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


def _freeze(value):
    """Returns a hashable image of a value; pickles of equal values may differ."""
    match value:
        case dict():
            return tuple((_freeze(key), _freeze(item)) for key, item in value.items())
        case list() | tuple() | deque():
            return tuple(map(_freeze, value))
        case set() | frozenset():
            return frozenset(map(_freeze, value))
        case msgspec.Struct():
            names = value.__struct_fields__
            return (type(value).__name__, *(_freeze(getattr(value, name)) for name in names))
        case _ if hasattr(value, "__dict__"):
            return (type(value).__name__, _freeze(vars(value)))
        case _:
            return value
