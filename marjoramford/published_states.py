"""The state of routes and servers that readers of the platform send to their followers."""

import asyncio
import time
import zlib
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Result

from .flow_balancers import FlowBalancer
from .http_calls import MAX_BODY_BYTES
from .json_bodies import decode_json
from .records import VmRecord
from .routes import RouteChanges
from .server_lists import ListChanges
from .state_versions import StateVersion

# Smaller states are sent as they are. A table of hundreds of routes for each follower would fill a
# narrow link for a second, and packets of callers would be lost there.
MIN_COMPRESSED_BYTES = 2048
COMPRESSION_LEVEL = 1


class PublishedState(msgspec.Struct, frozen=True):
    """The changes since the state that a follower has.

    Attributes:
        records: entries that were written; `warm_at` is in seconds after this state was encoded.
        removed: names of removed entries, each with the revision of its removal.
        whole: whether `records` is a snapshot of the list instead of a delta.
        revision: revision of the list once the changes are applied.
        age: seconds since the platform confirmed this state; None if no list has been read yet.
        routes: changes of the routes; None if there are none.
    """

    records: tuple[VmRecord, ...]
    removed: tuple[tuple[str, int], ...]
    whole: bool
    revision: Annotated[int, Meta(ge=0)]
    age: Annotated[float, Meta(ge=0)] | None
    routes: RouteChanges | None = None


class StatePublisher:
    """Serves the state to followers, immediately or as soon as it changes (long polling)."""

    def __init__(self, balancer: FlowBalancer):
        self._balancer = balancer
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes the followers that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self, revision: int, routes_version: int, wait: float, compress: bool = False
    ) -> bytes:
        """Returns the changes after a list revision and a routes version, encoded.

        Waits up to `wait` seconds if there are none yet. `compress` says whether the follower
        decodes compressed states.
        """
        deadline = time.monotonic() + wait
        while not self._has_changes(revision, routes_version):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                break
        return encode_state(self._make_state(revision, routes_version), compress)

    def _has_changes(self, revision: int, routes_version: int) -> bool:
        routes = self._balancer.routes
        newer_routes = routes is not None and routes.version > routes_version
        return newer_routes or self._balancer.server_list.version.revision > revision

    def _make_state(self, revision: int, routes_version: int) -> PublishedState:
        now = time.monotonic()
        balancer = self._balancer
        changes = balancer.server_list.changes_since(StateVersion(0, revision))
        confirmed_at = balancer.server_list.confirmed_at
        return PublishedState(
            tuple(_shift_warm_at(record, -now) for record in changes.records),
            changes.removed,
            changes.whole,
            changes.version.revision,
            now - confirmed_at if balancer.server_list.loaded else None,
            balancer.route_history.changes_since(routes_version),
        )


def encode_state(state: PublishedState, compress: bool) -> bytes:
    """Returns a state as JSON, compressed by zlib if that is wanted and the state is large."""
    body = msgspec.json.encode(state)
    if compress and len(body) >= MIN_COMPRESSED_BYTES:
        return zlib.compress(body, COMPRESSION_LEVEL)
    return body


def decode_state(body: bytes) -> Result[PublishedState, str]:
    """Decodes a state as JSON, which may be compressed; limits its size."""
    # No zlib stream begins with the first byte of a JSON object.
    if not body.startswith(b"{"):
        stream = zlib.decompressobj()
        try:
            body = stream.decompress(body, MAX_BODY_BYTES)
        except zlib.error as error:
            return Err(str(error))
        if not stream.eof:
            return Err(f"compressed state is truncated or longer than {MAX_BODY_BYTES} bytes")
    return decode_json(body, PublishedState)


def apply_state(state: PublishedState, balancer: FlowBalancer, now: float) -> None:
    """Applies another entry VM's state as far as it is newer than the balancer's own."""
    if state.routes is not None:
        balancer.apply_route_changes(state.routes)
    if state.age is None:
        return
    records = tuple(_shift_warm_at(record, now) for record in state.records)
    changes = ListChanges(records, state.removed, state.whole, StateVersion(0, state.revision))
    balancer.server_list.apply(changes, now)
    if changes.version >= balancer.server_list.version:
        balancer.server_list.confirm(now - state.age)


def _shift_warm_at(record: VmRecord, seconds: float) -> VmRecord:
    """Returns the record with its end of warm-up shifted, to convert between clock and offset."""
    if record.warm_at <= 0:
        return record
    return msgspec.structs.replace(record, warm_at=max(0.0, record.warm_at + seconds))
