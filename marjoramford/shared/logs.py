"""Numbered log events, log formatters and rate limiting of log records."""

import logging
import os
import time
from enum import IntEnum

import msgspec

MAX_EVENTS_PER_SECOND = 20


class LogEvent(IntEnum):
    """Every event that is logged; docs/events.md describes them."""

    ENTRY_VM_STARTED = 100
    ENTRY_VM_STOPPED = 101
    DRAIN_STARTED = 102
    DRAIN_FINISHED = 103
    STOPPED_AT_ONCE = 104
    DATAGRAM_DROPPED = 200
    TOKEN_REJECTED = 201
    LABEL_REJECTED = 202
    PEER_REJECTED = 203
    CONTROL_BODY_REJECTED = 204
    CATALOGUE_APPLIED = 300
    CATALOGUE_ENTRY_REJECTED = 301
    PLATFORM_UNREACHABLE = 302
    PLATFORM_BACK = 303
    VM_LIST_APPLIED = 304
    ENTRY_VM_SUSPECTED = 400
    ENTRY_VM_LEFT = 401
    ENTRY_VM_BACK = 402
    PEER_FOLLOWED = 406
    PEER_LOST = 407
    STATE_ACCEPTED = 408
    HANDOVER_SENT = 403
    HANDOVER_ADOPTED = 404
    HANDOVER_FAILED = 405
    ROUTES_APPLIED = 305
    SETTINGS_RELOADED = 306
    PLATFORM_RESTORED = 307
    PLATFORM_ANSWER_IGNORED = 308
    LIST_REPLACED = 309
    ZONE_DRAIN_BEGAN = 310
    ZONE_DRAIN_ENDED = 311
    SERVER_EJECTED = 500
    SERVER_LEAVING = 502
    SERVER_REPORT_DISTRUSTED = 503
    DISPATCH_FAILED = 504
    SERVER_LISTED = 505
    SERVER_UNLISTED = 506
    SERVER_GONE = 507
    SERVER_SILENT = 508
    SERVER_ANSWERS = 509
    SERVER_CONDEMNED = 510
    SERVER_CLEARED = 511
    REQUEST_REFUSED = 600
    REQUEST_UNKNOWN = 601
    FLOW_PLACED = 610
    FLOW_MOVED = 611
    FLOW_RESET = 612
    FLOW_DROPPED = 613
    FLOW_ADOPTED = 614
    EVIDENCE_VOID = 615
    OVERLOAD_BEGAN = 616
    OVERLOAD_ENDED = 617
    COLD_START_LIMITED = 618
    INVARIANT_VIOLATED = 900
    TASK_FAILED = 901


_LEVELS = {
    LogEvent.INVARIANT_VIOLATED: logging.ERROR,
    LogEvent.TASK_FAILED: logging.ERROR,
    LogEvent.STOPPED_AT_ONCE: logging.WARNING,
    LogEvent.PLATFORM_UNREACHABLE: logging.WARNING,
    LogEvent.PLATFORM_RESTORED: logging.WARNING,
    LogEvent.PLATFORM_ANSWER_IGNORED: logging.WARNING,
    LogEvent.LIST_REPLACED: logging.WARNING,
    LogEvent.HANDOVER_FAILED: logging.WARNING,
    LogEvent.CATALOGUE_ENTRY_REJECTED: logging.WARNING,
    LogEvent.OVERLOAD_BEGAN: logging.WARNING,
    LogEvent.REQUEST_REFUSED: logging.DEBUG,
    LogEvent.REQUEST_UNKNOWN: logging.DEBUG,
}


class RateLimitFilter(logging.Filter):
    """Drops records of an event number beyond `per_second` in a calendar second."""

    def __init__(self, per_second: int = MAX_EVENTS_PER_SECOND):
        super().__init__()
        self._per_second = per_second
        self._second = 0
        self._event_counts: dict[int, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record is within the limit, and counts it."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._event_counts.clear()
        event = getattr(record, "event", 0)
        self._event_counts[event] = self._event_counts.get(event, 0) + 1
        return self._event_counts[event] <= self._per_second


class PlainFormatter(logging.Formatter):
    """Formats a record as one line: time, level, event number and name, fields."""

    converter = time.gmtime

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record, followed by its traceback if it has one."""
        fields = getattr(record, "fields", {})
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        timestamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%SZ")
        number = int(getattr(record, "event", 0))
        line = f"{timestamp} {record.levelname} {number:03d} {record.getMessage()} {text}".rstrip()
        if record.exc_info:
            return f"{line}\n{self.formatException(record.exc_info)}"
        return line


# Types whose values JSON has, or msgspec converts.
_JSON_TYPES = (str, int, float, list, tuple, dict, type(None))


def _to_json(value: object) -> object:
    return value if isinstance(value, _JSON_TYPES) else str(value)


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON: time, level, message, and event number and fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record; values that JSON does not have are given as text."""
        line = {
            "asctime": self.formatTime(record),
            "levelname": record.levelname,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exc_info"] = self.formatException(record.exc_info)
        if hasattr(record, "event"):
            line["event"] = record.event
            line["fields"] = {name: _to_json(value) for name, value in record.fields.items()}
        return msgspec.json.encode(line, enc_hook=str).decode()


def log_event(logger: logging.Logger, event: LogEvent, **fields: object) -> None:
    """Logs a numbered event with its fields."""
    level = _LEVELS.get(event, logging.INFO)
    if logger.isEnabledFor(level):
        extra = {"event": int(event), "fields": fields}
        logger.log(level, event.name.lower().replace("_", " "), extra=extra)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking; counts the lines it drops.

    A line that cannot be written at once is dropped. A pipe takes a line of up to 4,096 bytes
    either completely or not at all, since such writes are atomic.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or drops it if the write fails."""
        try:
            os.write(self._descriptor, f"{self.format(record)}\n".encode())
        except OSError:
            self.dropped += 1


def configure_logging(style: str, level: str, descriptor: int | None = None) -> None:
    """Configures the package's logger to write to standard error.

    Args:
        style: ``plain`` or ``json``.
        level: name of the lowest level that is written.
        descriptor: file descriptor to write to instead, without ever blocking.
    """
    if descriptor is None:
        handler: logging.Handler = logging.StreamHandler()
    else:
        handler = NonBlockingHandler(descriptor)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(JsonFormatter() if style == "json" else PlainFormatter())
    package = logging.getLogger(__package__.partition(".")[0])
    package.handlers[:] = [handler]
    package.setLevel(level.upper())
    package.propagate = False
