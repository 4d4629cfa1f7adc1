"""Routes and servers as entry VMs pass them on to each other."""

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
    """What changed since the asker's state.

    Attributes:
        records: entries that were written; `warm_at` counts from now, in seconds.
        removed: names of removed entries with the revision of the removal.
        whole: whether `records` is the whole list.
        age: seconds since the platform confirmed this state; None if it never did.
        routes: what changed in the routes, if anything did.
    """

    records: tuple[VmRecord, ...]
    removed: tuple[tuple[str, int], ...]
    whole: bool
    revision: Annotated[int, Meta(ge=0)]
    age: Annotated[float, Meta(ge=0)] | None
    routes: RouteChanges | None = None


class StatePublisher:
    """Answers other entry VMs, at once or as soon as something changes."""

    def __init__(self, balancer: FlowBalancer):
        self._balancer = balancer
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes those that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, revision: int, routes_version: int, wait: float) -> bytes:
        """Returns the JSON of what changed after a revision and a version of the routes."""
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
    """Takes another entry VM's state as far as it is newer."""
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
    """Moves the end of a cold start between this process's clock and a time from now."""
    if record.warm_at <= 0:
        return record
    return msgspec.structs.replace(record, warm_at=max(0.0, record.warm_at + seconds))
