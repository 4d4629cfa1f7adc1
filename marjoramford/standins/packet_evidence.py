"""Emulated exchange of evidence between entry VMs, and faults of their links."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Protocol

import msgspec

from ..opaque_flows.evidence_collectors import EvidenceCollector
from ..opaque_flows.flow_settings import PacketVmSettings
from ..opaque_flows.shared_evidence import EvidenceMessage, PublishedEvidence, ReportLog
from ..shared.entry_vms import rendezvous_order
from .networks import Network
from .packet_vms import EmulatedVm

# How often a reader repeats its decisions; a follower asks again after `peers.follower_wait`.
REPEAT_SECONDS = 0.7
# A call whose packet is lost takes this much longer.
RETRANSMISSION_SECONDS = 0.2


@dataclass(slots=True)
class LinkFaults:
    """Faults of single links; they affect packets to servers, and calls between entry VMs.

    Attributes:
        cuts: pairs of entry VM and zone; the entry VM's packets do not arrive at the zone's
            servers, while all other packets do.
        delays: delay of all packets from and to an entry VM whose link is full, in seconds.
        losses: share of the packets from and to an entry VM that are lost.
    """

    cuts: set[tuple[str, str]] = field(default_factory=set)
    delays: dict[str, float] = field(default_factory=dict)
    losses: dict[str, float] = field(default_factory=dict)

    def draw_delay(self, vm: str, random: Random) -> float | None:
        """Returns the further delay of a packet from or to an entry VM; None if it is lost."""
        share = self.losses.get(vm, 0.0)
        if share and random.random() < share:
            return None
        return self.delays.get(vm, 0.0)


class EvidenceHost(Protocol):
    """Clock, timer, entry VMs and network."""

    now: float
    vms: list[EmulatedVm]
    network: Network
    random: Random
    link_faults: LinkFaults

    def after(self, seconds: float, callback) -> None:
        """Schedules a callback."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """A condemnation by the reader of a zone."""

    at: float
    zone: str
    server: str


@dataclass(slots=True)
class _Participant:
    """The state of one run of an entry VM's process."""

    collector: EvidenceCollector
    version: int = 0
    log: ReportLog | None = None
    log_target: tuple[str, int] | None = None
    unread: list[EvidenceMessage] = field(default_factory=list)
    published_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Call:
    """A call from an entry VM to a reader, each in one run of its process."""

    vm: EmulatedVm
    vm_boots: int
    reader: EmulatedVm
    reader_boots: int
    message: EvidenceMessage
    called_at: float


class EvidenceNetwork:
    """Carries reports to the reader of each zone and its decisions back.

    Every zone has one reader: the first of its running entry VMs by rendezvous hash, also while it
    is suspended. As in the product, a zone of few entry VMs shares nothing.

    Attributes:
        verdicts: all condemnations.
        sent_bytes: bytes of the bodies of all reports and decisions.
    """

    def __init__(self, host: EvidenceHost):
        self._host = host
        self._participants: dict[tuple[str, int], _Participant] = {}
        self._sequence = count(1)
        self.verdicts: list[Verdict] = []
        self.sent_bytes = 0

    def advance(self, vm: EmulatedVm) -> None:
        """Sends the reports of an entry VM that are due; a reader also decides."""
        members = [each for each in self._host.vms if each.zone == vm.zone and each.balancer]
        if len(members) <= vm.settings.peers.all_read_up_to:
            return
        by_name = {each.name: each for each in members}
        reader = by_name[rendezvous_order("reader", by_name)[0]]
        self._report(vm, reader)
        if vm is reader:
            participant = self._participant(vm)
            unread, participant.unread = participant.unread, []
            for message in unread:
                participant.collector.record(message, self._host.now)
            self._decide(vm, members)

    def _report(self, vm: EmulatedVm, reader: EmulatedVm) -> None:
        now, balancer = self._host.now, vm.balancer
        participant = self._participant(vm)
        if participant.log is None or participant.log_target != (reader.name, reader.boots):
            participant.log = ReportLog(vm.settings.shared_evidence)
            participant.log_target = (reader.name, reader.boots)
        reports = participant.log.select(
            balancer.evidence.find_silences(now),
            balancer.evidence.find_objections(now),
            balancer.evidence.find_answer,
            now,
        )
        if not reports:
            return
        message = EvidenceMessage(vm.name, vm.boots, next(self._sequence), reports)
        if vm is reader:
            self._participant(reader).collector.record(message, now)
            return
        self.sent_bytes += len(msgspec.json.encode(message))
        delay = self._draw_call_delay(vm, reader)
        if delay > vm.settings.shared_evidence.timeout:
            participant.log.discard()
        call = _Call(vm, vm.boots, reader, reader.boots, message, now)
        self._host.after(delay, partial(self._receive, call))

    def _receive(self, call: _Call) -> None:
        reader, message = call.reader, call.message
        if reader.boots != call.reader_boots or reader.balancer is None:
            return
        participant = self._participant(reader)
        if reader.is_frozen:
            participant.unread.append(message)
            return
        participant.collector.record(message, self._host.now)
        self._host.after(self._draw_call_delay(reader, call.vm), partial(self._answer, call))
        self._decide(reader, [each for each in self._host.vms if each.zone == reader.zone])

    def _answer(self, call: _Call) -> None:
        vm = call.vm
        if vm.boots == call.vm_boots and vm.balancer is not None and not vm.is_frozen:
            vm.balancer.evidence.record_call(call.called_at, self._host.now)

    def _decide(self, reader: EmulatedVm, members: Sequence[EmulatedVm]) -> None:
        now = self._host.now
        participant = self._participant(reader)
        collector = participant.collector
        names = [vm.name for vm in members]
        before = self._condemned(participant)
        changed = collector.evaluate(reader.balancer.evidence.is_running, names, now)
        for server in self._condemned(participant) - before:
            self.verdicts.append(Verdict(now, reader.zone, server))
        if not changed and (
            not collector.version or now - participant.published_at < REPEAT_SECONDS
        ):
            return
        participant.published_at = now
        reader.balancer.evidence.apply(collector.publish(now), now)
        for vm in members:
            if vm is not reader and vm.balancer is not None:
                evidence = collector.publish(now, vm.balancer.evidence.verdicts.version)
                self.sent_bytes += len(msgspec.json.encode(evidence))
                delay = self._draw_call_delay(reader, vm)
                self._host.after(delay, partial(self._apply, reader, vm, vm.boots, evidence))

    def _apply(
        self, reader: EmulatedVm, vm: EmulatedVm, boots: int, evidence: PublishedEvidence | None
    ) -> None:
        if vm.boots != boots or vm.balancer is None or vm.is_frozen:
            return
        vm.balancer.evidence.apply(evidence, self._host.now)
        collector, version = (
            self._participant(reader).collector,
            vm.balancer.evidence.verdicts.version,
        )

        def ask_again() -> None:
            collector.acknowledge(version, self._host.now)

        self._host.after(self._draw_call_delay(vm, reader), ask_again)

    def _condemned(self, participant: _Participant) -> set[str]:
        evidence = participant.collector.publish(self._host.now)
        return (
            {each.server for each in evidence.condemned if not each.prober} if evidence else set()
        )

    def _draw_call_delay(self, first: EmulatedVm, second: EmulatedVm) -> float:
        """Returns the time that a call takes one way, with the retransmissions of lost packets."""
        host = self._host
        delay = host.network.draw_zone_latency(first.zone, second.zone)
        for vm in (first, second):
            extra = host.link_faults.draw_delay(vm.name, host.random)
            while extra is None:
                delay += RETRANSMISSION_SECONDS
                extra = host.link_faults.draw_delay(vm.name, host.random)
            delay += extra
        return delay

    def _participant(self, vm: EmulatedVm) -> _Participant:
        key = (vm.name, vm.boots)
        if key not in self._participants:
            self._participants[key] = _Participant(self._make_collector(vm.settings))
        return self._participants[key]

    def _make_collector(self, settings: PacketVmSettings) -> EvidenceCollector:
        evidence, stall_seconds = settings.shared_evidence, settings.silence.stall_seconds
        first_version = self._host.random.randrange(1 << 30)
        return EvidenceCollector(evidence, stall_seconds, first_version, self._host.now)
