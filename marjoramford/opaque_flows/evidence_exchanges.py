"""Calls that carry evidence of dead servers from the entry VMs of a zone to its readers.

The decisions come back with the state that followers read (`published_states`).
"""

import asyncio
import logging
import time
from itertools import count

import msgspec
from result import Err, Ok

from ..shared.addresses import Address
from ..shared.errors import Step, StepError
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from .evidence_collectors import EvidenceCollector
from .flow_balancers import FlowBalancer
from .flow_settings import PacketVmSettings
from .http_calls import HttpClient
from .peer_groups import PeerGroup
from .shared_evidence import EvidenceMessage, ReportLog, ServerReport
from .state_publishers import StatePublisher

logger = logging.getLogger(__name__)

# A connection that was idle for longer is opened anew; shorter than the server's idle timeout.
MAX_IDLE_SECONDS = 10.0


class _ReaderLink:
    """The calls to one reader, one at a time.

    Attributes:
        next_call_at: no call is made before this time, on the monotonic clock.
    """

    def __init__(
        self,
        address: Address,
        settings: PacketVmSettings,
        balancer: FlowBalancer,
        group: PeerGroup,
    ):
        self._settings = settings
        self._balancer = balancer
        self._group = group
        self._client = HttpClient(address, Step.SHARE_EVIDENCE)
        self._address = address
        self._last_call_at = float("-inf")
        self.log = ReportLog(settings.shared_evidence)
        self.next_call_at = float("-inf")
        self.task: asyncio.Task | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return self.task is not None and not self.task.done()

    async def send(self, message: EvidenceMessage) -> None:
        """Sends a message; after a failure everything is reported again."""
        now = time.monotonic()
        if now - self._last_call_at > MAX_IDLE_SECONDS:
            self._client.close()
        self._last_call_at = now
        timeout = self._settings.shared_evidence.timeout
        result = await self._client.post("/v1/evidence", msgspec.json.encode(message), timeout)
        peers = self._settings.peers
        match result:
            case Ok(reply) if reply.status == 200:
                self._balancer.evidence.record_call(now, time.monotonic())
                return
            case Ok(reply):
                # It is of an older build, or does not know this entry VM yet.
                pause_seconds = peers.avoid_seconds
                if reply.status == 400 and await self._introduce():
                    pause_seconds = peers.retry_seconds
                error = StepError(
                    Step.SHARE_EVIDENCE,
                    str(self._address),
                    f"expected HTTP status 200, got {reply.status}",
                )
            case Err(error):
                pause_seconds = peers.retry_seconds
        self.log.discard()
        self.next_call_at = time.monotonic() + pause_seconds
        log_event(logger, LogEvent.PEER_LOST, error=error)

    async def _introduce(self) -> bool:
        """Tells the reader of this entry VM, as gossip will; returns whether it answered."""
        body = msgspec.json.encode((self._group.entry_vms.own.to_update(),))
        result = await self._client.post(
            "/v1/members", body, self._settings.shared_evidence.timeout
        )
        return result.is_ok() and result.ok_value.status == 200

    def close(self) -> None:
        """Ends the call in progress and closes the connection."""
        if self.task is not None:
            self.task.cancel()
        self._client.close()


class EvidenceExchange:
    """Reports this entry VM's evidence to readers, and decides for followers on what it gets.

    Args:
        settings: settings of this entry VM.
        balancer: source of its own evidence; applies the decisions if it is a reader itself.
        group: knows the readers of its zone.
        collector: adds up the reports that this entry VM gets.
        publisher: is notified of changed decisions.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        balancer: FlowBalancer,
        group: PeerGroup,
        collector: EvidenceCollector,
        publisher: StatePublisher,
    ):
        self._settings = settings
        self._balancer = balancer
        self._group = group
        self._collector = collector
        self._publisher = publisher
        self._links: dict[Address, _ReaderLink] = {}
        self._own_log = ReportLog(settings.shared_evidence)
        self._sequence = count(1)
        self._evaluated_at = float("-inf")
        self._is_reader = False

    async def run(self) -> None:
        """Reports and decides in a loop until cancelled."""
        try:
            while True:
                self.advance(time.monotonic())
                await asyncio.sleep(self._settings.shared_evidence.call_seconds)
        finally:
            for link in self._links.values():
                link.close()

    def advance(self, now: float) -> None:
        """Starts the calls that are due, and decides anew."""
        balancer = self._balancer
        silences = balancer.evidence.find_silences(now)
        objections = balancer.evidence.find_objections(now)
        logs = [self._own_log, *(link.log for link in self._links.values())]
        if silences or objections or not all(log.is_empty for log in logs):
            reads_platform, readers = self._group.find_report_targets(now)
            if reads_platform:
                reports = self._own_log.select(
                    silences, objections, balancer.evidence.find_answer, now
                )
                if reports:
                    self._collector.record(self._make_message(reports), now)
            self._keep_links(readers)
            for link in self._links.values():
                if link.is_busy or now < link.next_call_at:
                    continue
                reports = link.log.select(silences, objections, balancer.evidence.find_answer, now)
                if reports:
                    link.next_call_at = now + self._settings.shared_evidence.call_seconds
                    balancer.counters["evidence_reports_sent"] += len(reports)
                    link.task = asyncio.create_task(link.send(self._make_message(reports)))
        self._evaluate(now)

    def handle(self, body: bytes) -> bool:
        """Records another entry VM's reports; returns whether they were accepted as a whole."""
        match decode_json(body, EvidenceMessage):
            case Ok(message) if self._group.is_member(message.sender, message.incarnation):
                now = time.monotonic()
                self._balancer.counters["evidence_reports_received"] += len(message.reports)
                if not self._collector.record(message, now):
                    self._balancer.counters["evidence_reports_old"] += len(message.reports)
                if now - self._evaluated_at >= self._settings.shared_evidence.call_seconds:
                    self._evaluate(now)
                return True
            case Ok(message):
                reason = f"sender {message.sender!r} is not known in this zone"
            case Err(reason):
                pass
        log_event(logger, LogEvent.CONTROL_BODY_REJECTED, reason=reason)
        return False

    def _evaluate(self, now: float) -> None:
        """Decides anew; the decisions are in force here too if this entry VM is a reader."""
        self._evaluated_at = now
        was_reader, self._is_reader = self._is_reader, self._group.find_report_targets(now)[0]
        # Answers are no longer reported here, so a decision could outlive them.
        if was_reader and not self._is_reader and self._collector.discard():
            self._publisher.notify()
        members = self._group.list_members()
        if self._collector.evaluate(self._balancer.evidence.is_running, members, now):
            self._publisher.notify()
        elif not self._collector.version:
            return
        if self._is_reader:
            self._balancer.evidence.apply(self._collector.publish(now), now)

    def _keep_links(self, readers: list[Address]) -> None:
        """Keeps links to the present readers only."""
        for address in [address for address in self._links if address not in readers]:
            self._links.pop(address).close()
        for address in readers:
            if address not in self._links:
                self._links[address] = _ReaderLink(
                    address, self._settings, self._balancer, self._group
                )

    def _make_message(self, reports: tuple[ServerReport, ...]) -> EvidenceMessage:
        own = self._group.entry_vms.own
        return EvidenceMessage(own.name, own.incarnation, next(self._sequence), reports)
