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
from .routes import RouteChanges, RouteTable
from .server_lists import ListChanges
from .shared_evidence import EvidenceCollector, PublishedEvidence
from .state_versions import StateVersion
from .zone_drains import ZoneDrain

# Smaller states are sent as they are. A table of hundreds of routes for each follower would fill a
# narrow link for a second, and packets of callers would be lost there.
MIN_COMPRESSED_BYTES = 2048
COMPRESSION_LEVEL = 1


class PublishedState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The changes since the state that a follower has.

    Attributes:
        records: entries that were written; `warm_at` is in seconds after this state was encoded.
        removed: names of removed entries, each with the revision of its removal.
        whole: whether `records` is a snapshot of the list instead of a delta.
        revision: revision of the list once the changes are applied.
        age: seconds since the platform confirmed this state; None if no list has been read yet.
        routes: changes of the routes; None if there are none.
        era: era of the revision; left out at 0, since older builds know no eras.
        reachable: seconds since the platform recovered from its last interruption, 0 while it does
            not answer; left out if it was never lost or long enough ago, and by older builds.
        drains: drains of zones that began or ended; those in force if `whole`. Sent also if empty:
            its absence shows an older build, or a sender that knows the drains only in part.
        evidence: the sender's decisions on dead servers; left out if there are none, or to
            followers that did not ask for them.
    """

    records: tuple[VmRecord, ...]
    removed: tuple[tuple[str, int], ...]
    whole: bool
    revision: Annotated[int, Meta(ge=0)]
    age: Annotated[float, Meta(ge=0)] | None
    routes: RouteChanges | None = None
    era: Annotated[int, Meta(ge=0)] = 0
    reachable: Annotated[float, Meta(ge=0)] | None = None
    drains: tuple[ZoneDrain, ...] | None = None
    evidence: PublishedEvidence | None = None


class _KnownVersions(msgspec.Struct, frozen=True):
    """The versions that a follower has; without eras if it is of an older build."""

    revision: int
    era: int | None
    routes_version: int
    routes_era: int | None
    evidence: int | None = None

    def is_list_older(self, version: StateVersion) -> bool:
        if self.era is None:
            return self.revision < version.revision
        return StateVersion(self.era, self.revision) < version

    def are_routes_older(self, routes: RouteTable) -> bool:
        era = routes.era if self.routes_era is None else self.routes_era
        return (self.routes_version, era) < routes.order


class StatePublisher:
    """Serves the state to followers, immediately or as soon as it changes (long polling).

    Args:
        balancer: holds the state.
        collector: decides on dead servers; None if no evidence is shared.
    """

    def __init__(self, balancer: FlowBalancer, collector: EvidenceCollector | None = None):
        self._balancer = balancer
        self._collector = collector
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes the followers that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        revision: int,
        routes_version: int,
        wait: float,
        compress: bool = False,
        era: int | None = None,
        routes_era: int | None = None,
        evidence: int | None = None,
    ) -> bytes:
        """Returns the changes after the versions that a follower has, encoded.

        Waits up to `wait` seconds if there are none yet.

        Args:
            revision: revision of the follower's list.
            routes_version: version of the follower's routes.
            wait: longest wait, in seconds.
            compress: whether the follower decodes compressed states.
            era: era of the revision; None if the follower is of an older build. It takes a state by
                its revision alone and asks again at once, so it is not answered for a higher era.
            routes_era: era of the routes version; None as for `era`.
            evidence: version of the decisions on dead servers that the follower has; None if it
                does not use them.
        """
        if self._collector is None:
            evidence = None
        if evidence is not None:
            self._collector.acknowledge(evidence, time.monotonic())
        known = _KnownVersions(revision, era, routes_version, routes_era, evidence)
        deadline = time.monotonic() + wait
        while not self._has_changes(known):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                break
        return encode_state(self._make_state(known), compress)

    def _has_changes(self, known: _KnownVersions) -> bool:
        routes = self._balancer.routes
        if known.evidence is not None and known.evidence != self._collector.version:
            return True
        newer_routes = routes is not None and known.are_routes_older(routes)
        return newer_routes or known.is_list_older(self._balancer.server_list.version)

    def _make_state(self, known: _KnownVersions) -> PublishedState:
        now = time.monotonic()
        balancer = self._balancer
        # A follower without eras may hold a revision of any era: unless there was one era only, it
        # gets a snapshot.
        changes = balancer.server_list.changes_since(StateVersion(known.era or 0, known.revision))
        confirmed_at = balancer.server_list.confirmed_at
        recovered_at = balancer.server_list.recovered_at
        return PublishedState(
            tuple(_shift_warm_at(record, -now) for record in changes.records),
            changes.removed,
            changes.whole,
            changes.version.revision,
            now - confirmed_at if balancer.server_list.loaded else None,
            balancer.route_history.changes_since(known.routes_version, known.routes_era),
            changes.version.era,
            None if recovered_at is None else max(0.0, now - recovered_at),
            changes.drains,
            self._make_evidence(known, now),
        )

    def _make_evidence(self, known: _KnownVersions, now: float) -> PublishedEvidence | None:
        if known.evidence is None:
            return None
        return self._collector.publish(now, known.evidence)


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


def apply_state(state: PublishedState, balancer: FlowBalancer, now: float) -> bool:
    """Applies another entry VM's state as far as it is newer than the balancer's own.

    Returns:
        Whether the state could be used. It cannot if it is of an older era, for example because the
        peer was frozen, is cut off from the platform or is of a build that knows no eras, or if it
        is a delta of a newer era, which has no base here.
    """
    server_list = balancer.server_list
    if state.era < server_list.version.era:
        return False
    if state.routes is not None:
        # Builds that know no drains know no limits of cold servers either.
        balancer.apply_route_changes(state.routes, has_limits=state.drains is not None)
    if state.age is None:
        return True
    records = tuple(_shift_warm_at(record, now) for record in state.records)
    version = StateVersion(state.era, state.revision)
    changes = ListChanges(records, state.removed, state.whole, version, state.drains)
    if server_list.apply(changes, now):
        recovered_at = float("-inf") if state.reachable is None else now - state.reachable
        server_list.confirm(now - state.age, recovered_at)
    return state.era == server_list.version.era


def _shift_warm_at(record: VmRecord, seconds: float) -> VmRecord:
    """Returns the record with its end of warm-up shifted, to convert between clock and offset."""
    if record.warm_at <= 0:
        return record
    return msgspec.structs.replace(record, warm_at=max(0.0, record.warm_at + seconds))
