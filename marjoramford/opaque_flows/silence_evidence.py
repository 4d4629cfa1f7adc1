"""Evidence that backend servers are silent, from the flows of one entry VM and from its zone.

Load pattern: servers stop answering under steady load, while their flows wait and further ones
open. The thresholds are in `failure_detectors` and `shared_evidence`; `SilenceEvidence` feeds them
with what packets show here, and applies their result to servers and flows.
"""

import logging

from ..shared.backend_servers import BackendServer
from ..shared.logs import LogEvent, log_event
from .failure_detectors import (
    LINK_PROOF_SECONDS,
    QUICK_ANSWER_SECONDS,
    ListStatus,
    LossDetector,
    OwnLinkMonitor,
    is_dead,
    is_idle_flow_dead,
)
from .flow_logs import log_dead_server, log_silence
from .flow_settings import PacketVmSettings
from .packet_flows import PacketFlow, PacketFlowTable
from .server_lists import ServerList
from .shared_evidence import LocalSilence, PublishedEvidence, ServerKey
from .verdicts import Verdicts
from .zone_contacts import ZoneContact

logger = logging.getLogger(__name__)

# Reasons for which flows are reset.
DEAD = "server is dead"
CONDEMNED = "condemned"
# A condemned server is suspected for this long, again at each tick; several ticks.
AVOID_SECONDS = 0.3


class SilenceEvidence:
    """What one entry VM knows of servers that do not answer.

    Args:
        settings: settings of the entry VM.
        server_list: the servers of all services.
        flows: the flows of this entry VM.
        zone_contact: gets the evidence on servers of other zones.
        now: time on the monotonic clock, in seconds.

    Attributes:
        verdicts: which servers a reader of the zone considers dead.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        server_list: ServerList,
        flows: PacketFlowTable,
        zone_contact: ZoneContact,
        now: float,
    ):
        self._settings = settings
        self._server_list = server_list
        self._flows = flows
        self._zone_contact = zone_contact
        self._loss_detector = LossDetector(settings.silence)
        self._own_link = OwnLinkMonitor()
        self._quick_call_at = float("-inf")
        self._last_tick_at = now
        self._resumed_at = float("-inf")
        self._other_entry_vms: frozenset[tuple[str, int]] = frozenset()
        self._paths_changed_at = float("-inf")
        self.verdicts = Verdicts(settings.name, settings.shared_evidence)

    @property
    def is_shared(self) -> bool:
        """Whether evidence of dead servers beyond that of waiting flows here is used."""
        return self._settings.shared_evidence.enabled

    def record_tick(self, now: float) -> bool:
        """Records a tick; returns whether this process was stalled since the last one.

        A pause of more than `silence.stall_seconds` counts as a stall. All evidence of silent
        servers is then discarded: no packets were forwarded, so missing answers prove nothing.
        """
        was_stalled = self.is_stalled(now)
        if was_stalled:
            self._resumed_at = now
            self._discard(now)
        self._last_tick_at = now
        return was_stalled

    def is_stalled(self, now: float) -> bool:
        """Whether the last tick was so long ago that this process may have been suspended."""
        return now - self._last_tick_at > self._settings.silence.stall_seconds

    def update_entry_vms(self, others: frozenset[tuple[str, int]], now: float) -> None:
        """Records which other entry VMs may get packets, by name and incarnation.

        When they change, packets of some flows take another way. Whether flows that were idle then
        get answers there is not known here.
        """
        if others != self._other_entry_vms:
            self._other_entry_vms = others
            self._paths_changed_at = now

    # What packets and calls show

    def record_answer(self, server: BackendServer, waiting_since: float | None, now: float) -> None:
        """Records a sign of life of a server.

        Args:
            server: the server.
            waiting_since: when the packet that it answered was first forwarded; None if unknown.
            now: time on the monotonic clock, in seconds.
        """
        if waiting_since is not None:
            self._own_link.record_answer(server.name, waiting_since, now)
        if server.responsiveness.unanswered:
            self._loss_detector.record_loss(now)
            log_event(logger, LogEvent.SERVER_ANSWERS, server=server.name)
        server.responsiveness.record_answer(now)
        self._zone_contact.record_answer(server, now)

    def record_retransmission(self, flow: PacketFlow, now: float) -> None:
        """Records that a caller retransmitted data that a flow's server has not answered."""
        server = flow.server
        self._own_link.record_retransmission(server.name, now)
        self._zone_contact.record_silence(server, now)
        if flow.waiting_since >= server.responsiveness.answered_at:
            self._suspect(server, flow.waiting_since, now)
        server.responsiveness.record_retransmission(
            flow.waiting_since, now, self._settings.silence.doubt_seconds, flow.rounds.count
        )

    def record_silent_opening(
        self, server: BackendServer, waiting_since: float, now: float
    ) -> None:
        """Records that a server has not answered an opening packet.

        It is no more than suspected: a full server does not answer opening packets.
        """
        self._suspect(server, waiting_since, now)
        self._zone_contact.record_silence(server, now)
        self.verdicts.record_silent_opening(key_of(server), waiting_since, now)

    def record_call(self, called_at: float, now: float) -> None:
        """Records a call to another entry VM that was answered.

        If the answer was quick, the own link is not full, so what is reported as silence is that of
        the servers. While all servers of a zone are dark, there are no quick answers of servers.
        """
        if now - called_at <= QUICK_ANSWER_SECONDS:
            self._quick_call_at = now

    def _suspect(self, server: BackendServer, waiting_since: float, now: float) -> None:
        """Keeps new flows from a server that has not answered, and logs when this begins."""
        evidence = server.responsiveness
        if evidence.suspected_until <= now:
            log_silence(server, waiting_since, self._is_link_suspected(server, now), now)
        evidence.suspect(now + self._settings.silence.doubt_seconds)

    # Conclusions

    def is_dead(self, flow: PacketFlow, now: float) -> bool:
        """Whether a flow's server is considered dead on the evidence of this entry VM."""
        server = flow.server
        rounds = 0 if flow.is_stale(now) or self.is_stalled(now) else flow.rounds.count
        return is_dead(
            server.responsiveness,
            ListStatus(server.unlisted_since, server.gone),
            rounds,
            self._loss_detector.is_lossy(now),
            now,
            self._settings.silence,
            self._is_link_suspected(server, now),
        )

    def is_condemned(self, server: BackendServer, now: float) -> bool:
        """Whether the zone considers a server dead and nothing here contradicts it."""
        if not self.is_shared or self.is_stalled(now):
            return False
        answered_at = server.responsiveness.answered_at
        return self.verdicts.is_condemned(key_of(server), answered_at, now)

    def count_condemned(self, now: float) -> int:
        """Returns how many servers are considered dead here on the zone's evidence."""
        servers = self._server_list.servers.values()
        return sum(self.is_condemned(server, now) for server in servers)

    def find_dead_waiting_flows(self, now: float) -> list[PacketFlow]:
        """Returns the flows that wait for an answer of a dead server."""
        return [
            flow
            for flow in self._flows
            if not flow.opening and flow.waiting_since is not None and self.is_dead(flow, now)
        ]

    def find_dead_idle_flows(self, now: float) -> list[tuple[PacketFlow, str]]:
        """Returns the idle flows of dead servers, each with the reason.

        Flows that may have moved to another entry VM are among them only if the zone considers the
        server dead: an entry VM to which it answers would have objected. A caller that has used the
        port again since ignores a reset, whose number is far from its last acknowledgement.
        """
        reasons: dict[ServerKey, str] = {}
        for server in self._server_list.labels.servers():
            if self._are_idle_flows_dead(server, now):
                reasons[key_of(server)] = DEAD
            elif self.is_condemned(server, now):
                reasons[key_of(server)] = CONDEMNED
        if not reasons:
            return []
        dead = []
        for flow in self._flows:
            busy = flow.opening or flow.closing or flow.waiting_since is not None
            reason = reasons.get(key_of(flow.server))
            if busy or reason is None:
                continue
            may_have_moved = flow.active_at <= self._paths_changed_at
            if reason == CONDEMNED or not may_have_moved:
                dead.append((flow, reason))
        return dead

    def avoid_condemned_servers(self, now: float) -> None:
        """Keeps new flows from the servers that the zone considers dead, until the next ticks."""
        if not self.is_shared or self.verdicts.are_empty(now):
            return
        for server in self._server_list.servers.values():
            evidence = server.responsiveness
            if self.verdicts.is_avoided(key_of(server), evidence.answered_at, now):
                evidence.suspect(now + AVOID_SECONDS)

    def log_reset(self, flow: PacketFlow, reason: str, now: float) -> None:
        """Logs that a flow is reset, with the evidence."""
        lossy = self._loss_detector.is_lossy(now)
        link_suspected = self._is_link_suspected(flow.server, now)
        log_dead_server(flow, self._server_list, lossy, link_suspected, now, reason)

    def _are_idle_flows_dead(self, server: BackendServer, now: float) -> bool:
        return is_idle_flow_dead(
            server.responsiveness,
            ListStatus(server.unlisted_since, server.gone),
            self._loss_detector.is_lossy(now),
            now,
            self._settings.silence,
            self._is_link_suspected(server, now),
        )

    def _is_link_suspected(self, server: BackendServer, now: float) -> bool:
        return self._own_link.is_suspected(server.name, now)

    # Exchange with the zone

    def apply(
        self, evidence: PublishedEvidence | None, now: float, asked_at: float | None = None
    ) -> None:
        """Puts the decisions of a reader on dead servers in force, in place of earlier ones.

        Args:
            evidence: the decisions; None if there are none.
            now: time on the monotonic clock, in seconds.
            asked_at: when another entry VM was asked for them. If this process has stalled since
                then, the reply may have waited in the socket, and the decisions are discarded.
        """
        if asked_at is not None and (asked_at < self._resumed_at or self.is_stalled(now)):
            evidence = None
        self.verdicts.apply(evidence, now)
        self.avoid_condemned_servers(now)

    def find_silences(self, now: float) -> dict[ServerKey, LocalSilence]:
        """Returns this entry VM's evidence of servers that are silent, from its open flows."""
        if self.is_stalled(now):
            return {}
        silences = self.verdicts.find_silent_openings(now)
        servers = self._server_list.servers.values()
        if not any(server.responsiveness.unanswered for server in servers):
            return silences
        latest = now - self._settings.shared_evidence.unanswered_seconds
        for flow in self._flows:
            server, waiting_since = flow.server, flow.waiting_since
            if flow.opening or waiting_since is None or not flow.rounds.count:
                continue
            repeated_at = flow.rounds.latest_before(latest)
            answered_at = server.responsiveness.answered_at
            if repeated_at is None or waiting_since < answered_at or flow.is_stale(now):
                continue
            silence = silences.get(key_of(server))
            if silence is None:
                silence = LocalSilence(0, waiting_since, repeated_at, repeated_at, answered_at)
                silence.lossy = self._loss_detector.is_lossy(now)
                proven = now - self._quick_call_at <= LINK_PROOF_SECONDS
                silence.link_suspected = not proven and self._is_link_suspected(server, now)
                silence.decided = self.is_dead(flow, now)
                silences[key_of(server)] = silence
            silence.flows += 1
            silence.silent_since = min(silence.silent_since, waiting_since)
            silence.repeated_at = min(silence.repeated_at, repeated_at)
            silence.latest_at = max(silence.latest_at, repeated_at)
        return silences

    def find_objections(self, now: float) -> dict[ServerKey, float]:
        """Returns the servers in question that have answered here, with the time of the answer."""
        answers = (
            (key_of(server), server.responsiveness.answered_at)
            for server in self._server_list.servers.values()
        )
        return self.verdicts.find_objections(answers, now)

    def find_answer(self, key: ServerKey) -> float:
        """Returns when a server last answered here; minus infinity if it has not."""
        server = self._server_list.servers.get(key[0])
        if server is None or server.incarnation != key[1]:
            return float("-inf")
        return server.responsiveness.answered_at

    def is_running(self, key: ServerKey) -> bool:
        """Whether this incarnation of a server is known and not gone."""
        server = self._server_list.servers.get(key[0])
        return server is not None and server.incarnation == key[1] and not server.gone

    def _discard(self, now: float) -> None:
        self.verdicts.discard()
        self._zone_contact.discard()
        for server in self._server_list.servers.values():
            server.responsiveness.discard_evidence()
        for flow in self._flows:
            flow.rounds.clear()
            if flow.waiting_since is not None:
                flow.waiting_since = now
        stall_seconds = round(now - self._last_tick_at, 3)
        log_event(logger, LogEvent.EVIDENCE_VOID, stood_still_seconds=stall_seconds)


def key_of(server: BackendServer) -> ServerKey:
    """Returns the key of one incarnation of a server."""
    return server.name, server.incarnation
