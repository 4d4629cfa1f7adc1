"""Answers of readers of the platform to their followers: the state, as soon as it changes."""

import asyncio
import time

import msgspec

from .evidence_collectors import EvidenceCollector
from .flow_balancers import FlowBalancer
from .published_states import PublishedState, encode_state, shift_warm_at
from .routes import RouteTable
from .shared_evidence import PublishedEvidence
from .state_versions import StateVersion


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
            tuple(shift_warm_at(record, -now) for record in changes.records),
            changes.removed,
            changes.whole,
            changes.version.revision,
            now - confirmed_at if balancer.server_list.loaded else None,
            balancer.installed_routes.history.changes_since(known.routes_version, known.routes_era),
            changes.version.era,
            None if recovered_at is None else max(0.0, now - recovered_at),
            changes.drains,
            self._make_evidence(known, now),
            changes.unverified,
        )

    def _make_evidence(self, known: _KnownVersions, now: float) -> PublishedEvidence | None:
        if known.evidence is None:
            return None
        return self._collector.publish(now, known.evidence)
