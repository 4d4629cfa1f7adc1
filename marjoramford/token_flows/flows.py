"""Table of the flows that an entry VM coordinates, with counts and expiry."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from .requests import Flow

EXPIRY_BUCKET_SECONDS = 10


class FlowTable:
    """Flows by number.

    Flows are grouped by expiry time into buckets of `EXPIRY_BUCKET_SECONDS`. To keep renewals
    cheap, a renewal only updates `expires_at`; the flow moves to a later bucket when its old
    bucket is swept.
    """

    def __init__(self) -> None:
        self._flows: dict[int, Flow] = {}
        self._buckets: defaultdict[int, list[int]] = defaultdict(list)
        self._service_counts: Counter[str] = Counter()
        self._server_counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[int]:
        return iter(self._flows)

    def __contains__(self, number: int) -> bool:
        return number in self._flows

    def get(self, number: int) -> Flow | None:
        """Returns a flow by its number, or None."""
        return self._flows.get(number)

    def count_by_service(self, service: str) -> int:
        """Returns how many flows of a service are coordinated here."""
        return self._service_counts[service]

    def count_by_server(self, server: str) -> int:
        """Returns how many flows coordinated here are assigned to a server."""
        return self._server_counts[server]

    def add(self, number: int, flow: Flow) -> None:
        """Adds a flow."""
        self._flows[number] = flow
        self._service_counts[flow.service] += 1
        self._server_counts[flow.server] += 1
        self._buckets[_bucket_of(flow.expires_at)].append(number)

    def remove(self, number: int) -> Flow | None:
        """Removes a flow and returns it, or None if it is unknown."""
        flow = self._flows.pop(number, None)
        if flow is not None:
            self._service_counts[flow.service] -= 1
            self._server_counts[flow.server] -= 1
        return flow

    def renew(self, number: int, expires_at: float) -> None:
        """Extends a flow's expiry to `expires_at` (epoch seconds) if that is later."""
        flow = self._flows.get(number)
        if flow is not None and expires_at > flow.expires_at:
            flow.expires_at = expires_at

    def expire(self, now: float) -> list[Flow]:
        """Removes and returns the expired flows that have no unfinished request.

        A bucket is swept only when its whole period has passed, so a flow may be removed later
        than it expires.
        """
        expired = []
        due_buckets = [bucket for bucket in self._buckets if bucket < _bucket_of(now)]
        for bucket in due_buckets:
            for number in self._buckets.pop(bucket):
                flow = self._flows.get(number)
                if flow is None:
                    continue
                if flow.expires_at > now:
                    self._buckets[_bucket_of(flow.expires_at)].append(number)
                elif flow.is_idle:
                    self.remove(number)
                    expired.append(flow)
                else:
                    self._buckets[_bucket_of(now) + 1].append(number)
        return expired


def _bucket_of(epoch_seconds: float) -> int:
    return int(epoch_seconds // EXPIRY_BUCKET_SECONDS)
