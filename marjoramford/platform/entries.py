"""Decodes entries of the platform's store into records, routes and drains of zones.

Entries come from several independent writers, so an invalid entry is rejected without affecting
the others. An invalid entry of a server removes that server from the list, as a tombstone does;
after an invalid entry of routes the previous routes stay. An entry that drains a zone counts by its
key alone: if its value cannot be read, flows opened in the zone would do more harm than the drain.
"""

import logging
import socket
from base64 import b64decode
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from ..opaque_flows.routes import Route, RouteTable, WarmupLimit, WeightedService
from ..opaque_flows.zone_drains import ZoneDrain
from ..shared.addresses import Address
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from ..shared.records import VmRecord
from .packets import server_number

logger = logging.getLogger(__name__)

SERVER_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
ROUTES_KEY = "op/config"
DRAIN_PREFIX = "op/evacuate/"
# Far above any real weight; keeps sums of weights finite.
MAX_WEIGHT = 1e9
MAX_PORT = 65535
# Far above what a server can handle.
MAX_WARMUP_PER_SECOND = 1e6

T = TypeVar("T")


class ItemHead(msgspec.Struct, frozen=True, kw_only=True):
    """The part of an item that can be read although its value is of an unexpected type."""

    key: str
    revision: int
    tombstone: bool = False


class StoreItem(msgspec.Struct, frozen=True):
    """An item of the store, or a tombstone for a removed one; `value` is base64."""

    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _Server(msgspec.Struct, frozen=True):
    """An entry that a backend server writes about itself."""

    service: Annotated[str, Meta(min_length=1, max_length=64)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: Annotated[int, Meta(ge=0, le=10_000)] = 0
    # Remaining warm-up in milliseconds, counted from when the server wrote the entry.
    warmup_left_ms: Annotated[float, Meta(ge=0)] = 0
    # Start time in Unix milliseconds; absent where every start gets a new id.
    born: Annotated[int, Meta(ge=0)] = 0


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]


class _Route(msgspec.Struct, frozen=True):
    # The public address.
    host: str
    # The public port between slashes, not a path.
    prefix: str
    service: str = ""
    split: tuple[_Split, ...] = ()
    priority: int = 0
    # Latency objective of the requests; 0 if there is none.
    target_latency_ms: Annotated[float, Meta(ge=0)] = 0


class _Limits(msgspec.Struct, frozen=True):
    idle_timeout_ms: Annotated[float, Meta(gt=0)] = 60_000


class _Service(msgspec.Struct, frozen=True):
    name: Annotated[str, Meta(min_length=1, max_length=64)]
    # Requests per second that a cold server handles; 0 if there is no limit.
    warmup_per_s: Annotated[float, Meta(ge=0, le=MAX_WARMUP_PER_SECOND)] = 0


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    limits: _Limits = _Limits()
    # Decoded one by one, so that an invalid one rejects nothing else.
    services: msgspec.Raw = msgspec.Raw(b"[]")


def decode_server(item: StoreItem, now: float) -> Result[VmRecord, str]:
    """Decodes a server's entry; `now` is on the monotonic clock, in seconds."""
    return _decode_value(item, _Server).and_then(lambda entry: _make_record(item, entry, now))


def _make_record(item: StoreItem, entry: _Server, now: float) -> Result[VmRecord, str]:
    name = item.key.removeprefix(SERVER_PREFIX)
    try:
        # Only validates the name: raises ValueError if it does not end in a hex number.
        server_number(name)
        address = Address.parse(entry.address)
        socket.inet_aton(address.host)
        if any(map(str.isspace, address.host)):
            # `inet_aton` ignores what follows; sending would look the host up by name.
            raise ValueError(f"expected an IPv4 address, got {address.host!r}")
        fields = {
            "name": name,
            "revision": item.revision,
            "incarnation": entry.born,
            "role": "server",
            "zone": entry.zone,
            "host": address.host,
            "data_port": address.port,
            "http_port": address.port,
            "service": entry.service,
            "slots": entry.slots,
            "warm_at": now + entry.warmup_left_ms / 1000 if entry.warmup_left_ms else 0.0,
            "state": "leaving" if entry.state == "draining" else "live",
        }
        # Validated here because followers reject a whole response that contains one invalid record.
        return Ok(msgspec.convert(fields, type=VmRecord))
    except (ValueError, OSError) as error:
        return Err(str(error))


def decode_item(raw: bytes | msgspec.Raw) -> Result[StoreItem, str]:
    """Decodes an item; one that drains a zone also if only its value is invalid."""
    decoded = decode_json(raw, StoreItem)
    if decoded.is_err():
        head = decode_json(raw, ItemHead)
        if head.is_ok() and head.ok_value.key.startswith(DRAIN_PREFIX):
            return head.map(lambda head: StoreItem(head.key, head.revision, "", head.tombstone))
    return decoded


def decode_drain(item: StoreItem) -> Result[ZoneDrain, str]:
    """Decodes the start or end of a drain from its key; an error if that names no valid zone."""
    fields = {
        "zone": item.key.removeprefix(DRAIN_PREFIX),
        "revision": item.revision,
        "drained": not item.tombstone,
    }
    try:
        return Ok(msgspec.convert(fields, type=ZoneDrain))
    except msgspec.ValidationError as error:
        return Err(str(error))


def check_drain_value(item: StoreItem) -> Result[dict, str]:
    """Returns the value of an entry that drains a zone, which has no effect, or why it is none."""
    return _decode_value(item, dict)


def decode_routes(item: StoreItem, era: int = 0) -> Result[RouteTable, str]:
    """Decodes the operator's routes, read in an era of the store.

    Routes whose host cannot be parsed, whose port is none, or without a service of positive weight
    are left out, and so are limits of services that cannot be decoded.
    """
    return _decode_value(item, _Config).map(lambda config: _make_table(config, era))


def _decode_value(item: StoreItem, expected: type[T]) -> Result[T, str]:
    try:
        value = b64decode(item.value, validate=True)
    except ValueError as error:
        return Err(str(error))
    return decode_json(value, expected)


def _make_table(config: _Config, era: int) -> RouteTable:
    routes = tuple(route for route in map(_decode_route, config.routes) if route is not None)
    idle_timeout = config.limits.idle_timeout_ms / 1000
    return RouteTable(config.version, routes, idle_timeout, era, _decode_limits(config.services))


def _decode_limits(services: msgspec.Raw) -> tuple[WarmupLimit, ...]:
    limits: dict[str, WarmupLimit] = {}
    match decode_json(services, tuple[msgspec.Raw, ...] | None):
        case Ok(items):
            for item in items or ():
                match decode_json(item, _Service):
                    case Ok(service) if service.warmup_per_s > 0:
                        limits[service.name] = WarmupLimit(service.name, service.warmup_per_s)
                    case Err(reason):
                        log_event(
                            logger,
                            LogEvent.CATALOGUE_ENTRY_REJECTED,
                            key=ROUTES_KEY,
                            reason=f"a service has no limit: {reason}",
                        )
        case Err(reason):
            log_event(
                logger,
                LogEvent.CATALOGUE_ENTRY_REJECTED,
                key=ROUTES_KEY,
                reason=f"no service has a limit: {reason}",
            )
    return tuple(limits.values())


def _decode_route(route: _Route) -> Route | None:
    services = tuple(WeightedService(part.service, part.weight) for part in route.split)
    if not services and route.service:
        services = (WeightedService(route.service, 1.0),)
    try:
        ip = int.from_bytes(socket.inet_aton(route.host), "big")
        port = int(route.prefix.strip("/"))
    except (OSError, ValueError):
        return None
    if not 0 < port <= MAX_PORT:
        return None
    if not any(service.weight > 0 for service in services):
        return None
    target_seconds = route.target_latency_ms / 1000
    return Route(ip, port, services, route.priority, target_seconds)
