"""The state of routes and servers that readers of the platform send to their followers."""

import asyncio
import time
from typing import Annotated

import msgspec
from msgspec import Meta

from .flow_balancers import FlowBalancer
from .records import VmRecord
from .routes import RouteChanges
from .server_lists import ListChanges


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

    async def answer(self, revision: int, routes_version: int, wait: float) -> bytes:
        """Returns the changes after a list revision and a routes version, as JSON.

        Waits up to `wait` seconds if there are none yet.
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
        return msgspec.json.encode(self._make_state(revision, routes_version))

    def _has_changes(self, revision: int, routes_version: int) -> bool:
        routes = self._balancer.routes
        newer_routes = routes is not None and routes.version > routes_version
        return newer_routes or self._balancer.server_list.revision > revision

    def _make_state(self, revision: int, routes_version: int) -> PublishedState:
        now = time.monotonic()
        balancer = self._balancer
        changes = balancer.server_list.changes_since(revision)
        confirmed_at = balancer.server_list.confirmed_at
        return PublishedState(
            tuple(_shift_warm_at(record, -now) for record in changes.records),
            changes.removed,
            changes.whole,
            changes.revision,
            now - confirmed_at if balancer.server_list.loaded else None,
            balancer.route_history.changes_since(routes_version),
        )


def apply_state(state: PublishedState, balancer: FlowBalancer, now: float) -> None:
    """Applies another entry VM's state as far as it is newer than the balancer's own."""
    if state.routes is not None:
        balancer.apply_route_changes(state.routes)
    if state.age is None:
        return
    records = tuple(_shift_warm_at(record, now) for record in state.records)
    changes = ListChanges(records, state.removed, state.whole, state.revision)
    balancer.server_list.apply(changes, now)
    if state.revision >= balancer.server_list.revision:
        balancer.server_list.confirm(now - state.age)


def _shift_warm_at(record: VmRecord, seconds: float) -> VmRecord:
    """Returns the record with its end of warm-up shifted, to convert between clock and offset."""
    if record.warm_at <= 0:
        return record
    return msgspec.structs.replace(record, warm_at=max(0.0, record.warm_at + seconds))
