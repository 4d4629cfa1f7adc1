"""Background tasks that keep routes, servers and group membership up to date."""

import asyncio
import logging
import time
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.entry_vms import MemberUpdate
from ..shared.errors import Step, StepError
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from .flow_balancers import FlowBalancer
from .flow_settings import PacketVmSettings
from .http_calls import HttpClient
from .http_messages import HttpReply
from .peer_groups import FollowPeer, PauseReading, PeerGroup, ReadPlatform
from .published_states import apply_state, decode_state, make_question
from .state_publishers import StatePublisher

logger = logging.getLogger(__name__)


class PlatformReader(Protocol):
    """Reads the platform's state into the balancer; implemented by an adapter."""

    async def read(self, wait: float) -> Result[bool, StepError]:
        """Updates routes and servers, waiting up to `wait` seconds for a change.

        The first read, and the first one after the platform has lost the history since the last
        read, loads everything without waiting. So does a read that finds that the platform was
        restored from a copy.

        Returns:
            Whether anything changed; always true if everything was loaded.
        """

    async def preload(self) -> Result[None, StepError]:
        """Reads the servers alone, before the first read, so that open flows can be forwarded."""


class StateReader:
    """Keeps the balancer's state up to date from the source that the group chooses.

    The source is the platform or another entry VM. Waiting followers of this entry VM are notified
    of changes.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        balancer: FlowBalancer,
        group: PeerGroup,
        platform: PlatformReader,
        publisher: StatePublisher,
    ):
        self._settings = settings
        self._balancer = balancer
        self._group = group
        self._platform = platform
        self._publisher = publisher
        self._followed_address: Address | None = None
        self._client: HttpClient | None = None
        self._asks_whole_routes = False
        self._has_just_changed = False

    async def run(self) -> None:
        """Reads in a loop until cancelled."""
        if not (self._balancer.server_list.loaded or self._group.platform_failures):
            match await self._platform.preload():
                case Err(error):
                    self.record_platform_failure(error)
        while True:
            now = time.monotonic()
            match self._group.choose_source(now):
                case ReadPlatform(wait=wait):
                    await self._read_platform(wait)
                case FollowPeer(address=address, wait=wait):
                    await self._follow(address, wait)
                case PauseReading(until=until):
                    await asyncio.sleep(max(0.01, until - now))

    async def _read_platform(self, wait: float) -> None:
        result = await self._platform.read(wait)
        match result:
            case Ok(changed):
                failures = self._group.platform_failures
                self._group.record_platform_read(True, time.monotonic())
                if failures:
                    log_event(logger, LogEvent.PLATFORM_BACK, failures=failures)
                is_busy = changed and self._has_just_changed
                self._has_just_changed = changed
                if changed:
                    self._publisher.notify()
                    reads = self._settings.reads
                    pause = reads.busy_settle_seconds if is_busy else reads.settle_seconds
                    await asyncio.sleep(pause)
            case Err(error):
                self.record_platform_failure(error)

    def record_platform_failure(self, error: StepError) -> None:
        """Records a failed read, which begins a backoff."""
        if not self._group.platform_failures:
            log_event(logger, LogEvent.PLATFORM_UNREACHABLE, error=error)
        self._group.record_platform_read(False, time.monotonic())
        self._balancer.server_list.mark_unreachable(time.monotonic())

    async def _follow(self, address: Address, wait: float) -> None:
        if address != self._followed_address or self._client is None:
            if self._client is not None:
                self._client.close()
            self._followed_address = address
            self._asks_whole_routes = False
            self._client = HttpClient(address, Step.FOLLOW)
            log_event(logger, LogEvent.PEER_FOLLOWED, peer=str(address))
        # A fallback peer may be of another zone, which may reach other servers than this one.
        shares_evidence = self._balancer.evidence.is_shared and self._group.is_zone_reader(address)
        target = self._make_question(wait, shares_evidence)
        evidence_asked_at = time.monotonic() if shares_evidence else None
        reply = await self._client.get(target, wait + self._settings.peers.timeout)
        now = time.monotonic()
        match reply:
            case Ok(HttpReply(status=200, body=body)):
                # A fallback peer is asked without waiting for a change, so the pause is here.
                if self._apply_response(address, body, now, evidence_asked_at) and not wait:
                    await asyncio.sleep(self._settings.peers.helper_pause)
            case Ok(HttpReply(status=status)):
                self._record_peer_failure(
                    address,
                    StepError(Step.FOLLOW, str(address), f"expected HTTP status 200, got {status}"),
                )
            case Err(error):
                self._record_peer_failure(address, error)

    def _make_question(self, wait: float, shares_evidence: bool = False) -> str:
        routes = None if self._asks_whole_routes else self._balancer.routes
        evidence = self._balancer.evidence.verdicts.version if shares_evidence else None
        return make_question(self._balancer, routes, wait, evidence)

    def _apply_response(
        self, address: Address, body: bytes, now: float, evidence_asked_at: float | None = None
    ) -> bool:
        """Applies the state in another entry VM's response; returns whether it could be used.

        The decisions on dead servers are applied if they were asked for.
        """
        match decode_state(body):
            case Ok(state):
                if not apply_state(state, self._balancer, now):
                    known = self._balancer.server_list.version
                    reason = f"state of era {state.era} cannot follow version {known}"
                    self._record_peer_failure(address, StepError(Step.FOLLOW, str(address), reason))
                    return False
                is_missing = (
                    state.drains is not None
                    and not self._balancer.installed_routes.are_limits_known
                )
                # Not twice in a row: the answer comes at once, and the peer's routes may be older.
                self._asks_whole_routes = is_missing and not self._asks_whole_routes
                if self._balancer.server_list.are_drains_current:
                    self._group.record_peer_read(address, state.age, now)
                else:
                    reason = f"drains of zones not known as of {state.era}.{state.revision}"
                    self._record_peer_failure(address, StepError(Step.FOLLOW, str(address), reason))
                if evidence_asked_at is not None:
                    self._balancer.evidence.apply(state.evidence, now, evidence_asked_at)
                self._publisher.notify()
                return True
            case Err(reason):
                self._record_peer_failure(address, StepError(Step.FOLLOW, str(address), reason))
        return False

    def _record_peer_failure(self, address: Address, error: StepError) -> None:
        self._group.record_peer_read(address, None, time.monotonic())
        log_event(logger, LogEvent.PEER_LOST, error=error)


class MemberExchange:
    """Gossips membership updates with one entry VM at a time."""

    def __init__(self, settings: PacketVmSettings, group: PeerGroup):
        self._settings = settings
        self._group = group

    async def run(self) -> None:
        """Runs one exchange after another until cancelled."""
        while True:
            await self.exchange_once()
            known = len(self._group.entry_vms)
            peers = self._settings.peers
            await asyncio.sleep(peers.exchange_seconds if known else peers.join_seconds)

    async def exchange_once(self) -> None:
        """Sends updates to one entry VM and merges those in its response.

        An entry VM that does not answer is suspected. Expired suspicions are applied afterwards.
        """
        selected = self._group.choose_exchange_partner()
        if selected is None:
            return
        address, partner = selected
        client = HttpClient(address, Step.GOSSIP)
        body = msgspec.json.encode(self._group.select_updates())
        reply = await client.post("/v1/members", body, self._settings.peers.timeout)
        client.close()
        answered = reply.is_ok() and reply.ok_value.status == 200
        self._group.record_exchange(partner, answered, time.monotonic())
        if answered:
            merge_members(self._group, reply.ok_value.body)
        self._group.entry_vms.expire_suspicions(time.monotonic())


def merge_members(group: PeerGroup, body: bytes) -> bool:
    """Merges membership updates given as JSON; returns whether they could be decoded."""
    match decode_json(body, tuple[MemberUpdate, ...]):
        case Ok(updates):
            group.merge_updates(updates)
            return True
        case Err(reason):
            log_event(logger, LogEvent.CONTROL_BODY_REJECTED, reason=reason)
    return False
