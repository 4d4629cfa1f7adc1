"""A zone of entry VMs that share evidence of dead servers, under a simulated clock."""

import heapq
from itertools import count
from random import Random

import msgspec

from marjoramford.opaque_flows.evidence_collectors import EvidenceCollector
from marjoramford.opaque_flows.flow_settings import SharedEvidenceSettings
from marjoramford.opaque_flows.packets import Forward, ResetFlow
from marjoramford.opaque_flows.shared_evidence import EvidenceMessage, ReportLog

from .flow_worlds import SETTINGS, START, FlowWorld, record

ENABLED = msgspec.structs.replace(SETTINGS, shared_evidence=SharedEvidenceSettings(enabled=True))
WORK_SECONDS = 0.03
LINK_SECONDS = 0.002
RETRANSMISSION_SECONDS = (0.2, 0.4, 0.8, 1.6)
TICK_SECONDS = 0.1
PUBLISH_SECONDS = 0.7


class EvidenceZone:
    """Entry VMs, the first of which is the reader, and callers that use open flows.

    Attributes:
        drops: tells whether a packet is lost, from the entry VM's number, the server and the time.
        suspended: entry VMs that do not run now.
        link_delays: delay of calls from and to entry VMs with full links, in seconds.
        condemned: the servers that the reader condemned, with the time of the first verdict.
        resets: server and time of each idle flow that was reset.
        lost: server and time of each request that was sent on an open flow to no avail.
    """

    def __init__(self, vms=17, servers=75, shared=True, seed=1):
        self.now = START
        self.random = Random(seed)
        self.drops = lambda vm, server, now: False
        self.suspended = set()
        self.link_delays = {}
        self.condemned = {}
        self.resets = []
        self.lost = []
        self._shared = shared
        records = [record(f"s-{number + 1}") for number in range(servers)]
        settings = [msgspec.structs.replace(ENABLED, name=f"front-{n}") for n in range(vms)]
        self.worlds = [
            FlowWorld(*records, settings=each, seed=n) for n, each in enumerate(settings)
        ]
        self.names = [each.name for each in settings]
        self.collector = EvidenceCollector(ENABLED.shared_evidence, 0.4, 1, START)
        self._logs = [ReportLog(ENABLED.shared_evidence) for _ in settings]
        self._sequences = [count(1) for _ in settings]
        self._idle = [[] for _ in settings]
        self._events = []
        self._order = count()
        for vm in range(vms):
            for _ in range(servers):
                self._idle[vm].append(self._open(vm))
            self.after(TICK_SECONDS * vm / vms, self._tick, vm)
        self.after(PUBLISH_SECONDS, self._publish_again)

    def after(self, seconds, callback, *arguments):
        heapq.heappush(self._events, (self.now + seconds, next(self._order), callback, arguments))

    def run(self, seconds, requests_per_second=0.0):
        """Runs, with requests of callers at random times at random entry VMs."""
        self._rate = requests_per_second
        end = self.now + seconds
        if requests_per_second:
            self.after(0.0, self._request_again, end)
        while self._events[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = end

    def request(self, vm):
        """Sends a request on an idle flow, or on a new one if there is none."""
        self._at(vm)
        if self._idle[vm]:
            caller, server = self._idle[vm].pop(self.random.randrange(len(self._idle[vm])))
        else:
            caller, server = self._open(vm)
        action = caller.request()
        if isinstance(action, ResetFlow):
            self.lost.append((server.name, self.now))
            return
        self._deliver(vm, caller, server, 0)

    def _open(self, vm):
        """Opens a flow; an opening packet that is lost is not simulated."""
        caller = self._at(vm).caller()
        forward = caller.open()
        caller.receive_syn_ack(forward)
        return caller, forward.server

    def _deliver(self, vm, caller, server, attempt):
        dropped = self.drops(vm, server.name, self.now)
        if dropped and attempt == 0:
            self.lost.append((server.name, self.now))
        if not dropped:
            self.after(WORK_SECONDS, self._answer, vm, caller, server)
        elif attempt < len(RETRANSMISSION_SECONDS):
            wait = RETRANSMISSION_SECONDS[attempt]
            self.after(wait, self._retransmit, vm, caller, server, attempt + 1)

    def _retransmit(self, vm, caller, server, attempt):
        if vm in self.suspended:
            return
        self._at(vm)
        if isinstance(caller.send(size=200, sequence=caller.sequence - 200), Forward):
            self._deliver(vm, caller, server, attempt)

    def _answer(self, vm, caller, server):
        if vm not in self.suspended:
            self._at(vm)
            caller.receive_answer()
        self._idle[vm].append((caller, server))

    def _at(self, vm):
        self.worlds[vm].now = self.now
        return self.worlds[vm]

    def _request_again(self, end):
        vm = self.random.randrange(len(self.worlds))
        if vm not in self.suspended:
            self.request(vm)
        wait = self.random.expovariate(self._rate)
        if self.now + wait < end:
            self.after(wait, self._request_again, end)

    def _tick(self, vm):
        self.after(TICK_SECONDS, self._tick, vm)
        if vm in self.suspended:
            return
        balancer = self._at(vm).balancer
        keys = {reset.flow for reset in balancer.tick(self.now)}
        self.resets += [
            (server.name, self.now) for caller, server in self._idle[vm] if caller.key in keys
        ]
        self._idle[vm] = [item for item in self._idle[vm] if item[0].key not in keys]
        silences, objections = balancer.evidence.find_silences(
            self.now
        ), balancer.evidence.find_objections(self.now)
        reports = self._logs[vm].select(
            silences, objections, balancer.evidence.find_answer, self.now
        )
        if reports and self._shared:
            message = EvidenceMessage(self.names[vm], 1, next(self._sequences[vm]), reports)
            self.after(self._delay_of(vm) + self._delay_of(0), self._receive, message)
        if vm == 0:
            self._evaluate()

    def _receive(self, message):
        if 0 not in self.suspended:
            self.collector.record(message, self.now)
            self._evaluate()

    def _evaluate(self):
        if self.collector.evaluate(
            self.worlds[0].balancer.evidence.is_running, self.names, self.now
        ):
            self._publish()

    def _publish_again(self):
        self._publish()
        self.after(PUBLISH_SECONDS, self._publish_again)

    def _publish(self):
        if 0 in self.suspended:
            return
        evidence = self.collector.publish(self.now)
        for silence in evidence.condemned if evidence else ():
            self.condemned.setdefault(silence.server, self.now)
        for vm in range(len(self.worlds)):
            self.after(self._delay_of(vm) + self._delay_of(0), self._apply, vm, evidence)

    def _apply(self, vm, evidence):
        if vm not in self.suspended:
            balancer = self.worlds[vm].balancer
            balancer.evidence.apply(evidence, self.now)
            if vm:
                delay = self._delay_of(vm) + self._delay_of(0)
                self.after(delay, self._acknowledge, balancer.evidence.verdicts.version)

    def _acknowledge(self, version):
        if 0 not in self.suspended:
            self.collector.acknowledge(version, self.now)

    def _delay_of(self, vm):
        return LINK_SECONDS + self.link_delays.get(vm, 0.0)
