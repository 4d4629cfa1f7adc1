"""The state of routes and servers that readers of the platform send to their followers."""

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Result

from ..shared.json_bodies import decode_json
from ..shared.records import VmRecord
from .flow_balancers import FlowBalancer
from .http_messages import MAX_REPLY_BODY_BYTES
from .routes import RouteChanges, RouteTable
from .server_lists import ListChanges
from .shared_evidence import PublishedEvidence
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
        unverified: names of those in `records` whose servers had left before a restore; left out if
            there are none, and by older builds.
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
    unverified: tuple[str, ...] = ()


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
            body = stream.decompress(body, MAX_REPLY_BODY_BYTES)
        except zlib.error as error:
            return Err(str(error))
        if not stream.eof:
            return Err(f"compressed state is truncated or longer than {MAX_REPLY_BODY_BYTES} bytes")
    return decode_json(body, PublishedState)


def make_question(
    balancer: FlowBalancer, routes: RouteTable | None, wait: float, evidence: int | None = None
) -> str:
    """Returns the request target that asks another entry VM for changes.

    The eras are sent even if they are 0: their absence shows a follower of an older build.
    Entries after the version up to which the drains are known are asked for again, since the
    drains of an answer begin at the same version.

    Args:
        balancer: holds the state so far.
        routes: the routes so far; None to ask for the whole table.
        wait: how long the other entry VM may wait for a change, in seconds.
        evidence: version of the decisions on dead servers; None if they are not asked for.
    """
    version = balancer.server_list.known_version
    routes_version, routes_era = routes.order if routes else (0, 0)
    return (
        f"/v1/published?after={version.revision}&era={version.era}&routes={routes_version}"
        f"&routes_era={routes_era}&wait={wait}&compress=true"
        + (f"&evidence={evidence}" if evidence is not None else "")
    )


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
        balancer.installed_routes.apply_changes(state.routes, has_limits=state.drains is not None)
    if state.age is None:
        return True
    records = tuple(shift_warm_at(record, now) for record in state.records)
    version = StateVersion(state.era, state.revision)
    changes = ListChanges(
        records, state.removed, state.whole, version, state.drains, state.unverified
    )
    if server_list.apply(changes, now):
        recovered_at = float("-inf") if state.reachable is None else now - state.reachable
        server_list.confirm(now - state.age, recovered_at, state.reachable == 0)
    return state.era == server_list.version.era


def shift_warm_at(record: VmRecord, seconds: float) -> VmRecord:
    """Returns the record with its end of warm-up shifted, to convert between clock and offset."""
    if record.warm_at <= 0:
        return record
    return msgspec.structs.replace(record, warm_at=max(0.0, record.warm_at + seconds))
