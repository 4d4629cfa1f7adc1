"""Requests in progress through the other entry VMs, as these report them.

Load pattern: for some seconds callers ask for more than all slots of a service can do. One entry VM
sees only its own requests. What it extrapolates from them refuses flows while slots are free, and
lets others wait in full queues. So entry VMs tell each other their requests in progress, only under
load and only as many of them as the budget for control traffic allows. From the part of the fleet
that has reported lately the rest is extrapolated; without any report, from the own requests alone.
"""

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from .flow_settings import LoadReportSettings

MAX_COUNT = 10_000
MAX_REPORTED_SERVERS = 512


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The requests in progress through one entry VM.

    Attributes:
        incarnation: of the entry VM, which the address of the datagram names.
        sequence: rises with each report of this incarnation.
        counts: requests in progress by the label of their server; 0 is left out.
    """

    incarnation: Annotated[int, Meta(ge=0)]
    sequence: Annotated[int, Meta(ge=0)]
    counts: Annotated[
        dict[int, Annotated[int, Meta(ge=0, le=MAX_COUNT)]], Meta(max_length=MAX_REPORTED_SERVERS)
    ]


class _Received(msgspec.Struct, frozen=True):
    """A report with the time of its arrival, on the monotonic clock in seconds."""

    report: LoadReport
    at: float


class PeerLoads:
    """The latest reports of other entry VMs, and when this one reports.

    Args:
        settings: limits and times.
    """

    def __init__(self, settings: LoadReportSettings):
        self._settings = settings
        self._received: dict[str, _Received] = {}
        self._reports_until = float("-inf")
        self._sequence = 0

    def record(self, sender: str, report: LoadReport, now: float) -> bool:
        """Records a report; returns False for one that is older than the latest of its sender."""
        latest = self._received.get(sender)
        if latest is not None:
            known = latest.report
            if (report.incarnation, report.sequence) <= (known.incarnation, known.sequence):
                return False
        self._received[sender] = _Received(report, now)
        return True

    def count_reporting(self, now: float) -> int:
        """Returns how many other entry VMs have reported lately."""
        self._expire(now)
        return len(self._received)

    def count_requests(self, label: int, now: float) -> int:
        """Returns the requests in progress at a server through those entry VMs."""
        self._expire(now)
        return sum(received.report.counts.get(label, 0) for received in self._received.values())

    def make_report(
        self, incarnation: int, counts: Mapping[int, int], loaded: bool, now: float
    ) -> LoadReport | None:
        """Returns the report to send, or None; must be called every `interval_seconds`.

        Args:
            incarnation: of this entry VM.
            counts: its requests in progress by the label of their server.
            loaded: whether the slots of a service are nearly taken.
            now: time on the monotonic clock, in seconds.
        """
        if loaded:
            self._reports_until = now + self._settings.linger_seconds
        if now >= self._reports_until:
            return None
        self._sequence += 1
        busiest = sorted(counts.items(), key=lambda item: -item[1])[:MAX_REPORTED_SERVERS]
        return LoadReport(incarnation, self._sequence, dict(busiest))

    def _expire(self, now: float) -> None:
        since = now - self._settings.ttl_seconds
        if any(received.at < since for received in self._received.values()):
            self._received = {
                sender: received
                for sender, received in self._received.items()
                if received.at >= since
            }


def choose_receivers(own: str, others: Iterable[str], limit: int) -> list[str]:
    """Returns the entry VMs to report to: the next ones on a ring, so that all get as many reports.

    Args:
        own: name of this entry VM.
        others: names of the others.
        limit: greatest number of receivers.
    """
    ring = sorted({own, *others}, key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))
    position = ring.index(own)
    return (ring[position + 1 :] + ring[:position])[:limit]
