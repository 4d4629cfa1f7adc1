"""Shared evidence: many servers that fall silent at once, and faults that must condemn none."""

import msgspec
import pytest

from marjoramford.opaque_flows.evidence_collectors import EvidenceCollector
from marjoramford.opaque_flows.shared_evidence import (
    EvidenceMessage,
    LocalSilence,
    PublishedEvidence,
    ReportLog,
    ServerReport,
)
from marjoramford.shared.json_bodies import decode_json

from .evidence_zones import ENABLED, EvidenceZone

SETTINGS = ENABLED.shared_evidence
DARK = {f"s-{number + 1}" for number in range(19)}
# 20 a second for each server: half of its slots at 50 ms of work.
REQUESTS_PER_SECOND = 1500.0


def fall_dark(shared):
    """Lets 19 of 75 servers fall silent; returns the zone and when they fell silent."""
    zone = EvidenceZone(shared=shared)
    zone.run(2.0, REQUESTS_PER_SECOND)
    dark_at = zone.now
    zone.drops = lambda vm, server, now: server in DARK
    zone.run(3.0, REQUESTS_PER_SECOND)
    return zone, dark_at


def test_servers_that_fall_silent_together_are_condemned_once_and_lose_no_more_requests():
    zone, dark_at = fall_dark(shared=True)
    assert set(zone.condemned) == DARK
    assert max(zone.condemned.values()) - dark_at < 1.0
    assert max(at for _, at in zone.lost) - dark_at < 1.0
    assert {server for server, _ in zone.resets} <= DARK
    # Without sharing, idle flows are lost one request at a time.
    alone, dark_at = fall_dark(shared=False)
    assert alone.condemned == {}
    assert max(at for _, at in alone.lost) - dark_at > 2.0
    assert len(zone.lost) < 0.7 * len(alone.lost)


def one_way_cut(zone):
    """Two entry VMs do not reach a quarter of the servers."""
    zone.drops = lambda vm, server, now: vm < 2 and server in DARK


def full_link(zone):
    zone.drops = lambda vm, server, now: vm == 3


def lossy_links(zone):
    zone.drops = lambda vm, server, now: zone.random.random() < 0.2


def lossy_servers(zone):
    zone.drops = lambda vm, server, now: server in DARK and zone.random.random() < 0.4


def paused_servers(zone):
    """A quarter of the servers stand still for 0.4 s."""
    began_at = zone.now + 1.0
    zone.drops = lambda vm, server, now: server in DARK and 0 <= now - began_at < 0.4


def full_link_of_the_reader(zone):
    """The reader's calls take 0.8 s each way, while packets to some servers are lost."""
    zone.link_delays[0] = 0.8
    lossy_servers(zone)


def suspended_vm(zone):
    zone.suspended.add(5)
    zone.after(1.5, zone.suspended.clear)


def suspended_reader(zone):
    zone.suspended.add(0)
    zone.after(1.5, zone.suspended.clear)


FAULTS = [
    one_way_cut,
    full_link,
    lossy_links,
    lossy_servers,
    paused_servers,
    full_link_of_the_reader,
    suspended_vm,
    suspended_reader,
]


@pytest.mark.parametrize("inject", FAULTS)
@pytest.mark.parametrize("rate", [REQUESTS_PER_SECOND, 200.0])
def test_no_living_server_is_condemned(inject, rate):
    zone = EvidenceZone()
    zone.run(2.0, rate)
    inject(zone)
    zone.run(6.0, rate)
    assert zone.condemned == {}


def test_the_silence_of_one_flow_condemns_nothing():
    zone = EvidenceZone(vms=5, servers=3)
    zone.request(1)
    zone.run(0.2)
    zone.drops = lambda vm, server, now: True
    zone.request(1)
    zone.run(3.0)
    assert zone.condemned == {}


class Reader:
    """A collector with reports of two entry VMs about one server."""

    def __init__(self):
        self.now = 100.0
        self.collector = EvidenceCollector(SETTINGS, 0.4, 1, self.now)
        self.sequence = 0
        self.running = True
        self.followed = True

    def report(self, sender="front-1", flows=2, silent=0.6, repeated=0.15, incarnation=1, **other):
        self.sequence += 1
        report = ServerReport("s-1", 0, flows, silent, repeated, **other)
        message = EvidenceMessage(sender, incarnation, self.sequence, (report,))
        return self.collector.record(message, self.now)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            if self.followed:
                self.collector.acknowledge(self.collector.version, self.now)
            self.collector.evaluate(lambda key: self.running, ["front-1", "front-2"], self.now)

    @property
    def evidence(self):
        return self.collector.publish(self.now)

    @property
    def condemned(self):
        evidence = self.evidence
        return [] if evidence is None else [s for s in evidence.condemned if not s.prober]

    def condemn(self):
        self.report("front-1")
        self.report("front-2")
        self.advance(0.5)
        assert len(self.condemned) == 1


def test_two_entry_vms_condemn_a_server_after_a_time_to_object():
    reader = Reader()
    reader.report("front-1")
    reader.report("front-2")
    reader.advance(0.1)
    assert [silence.server for silence in reader.evidence.questioned] == ["s-1"]
    assert reader.condemned == []
    reader.advance(0.4)
    assert [silence.server for silence in reader.condemned] == ["s-1"]


@pytest.mark.parametrize(
    "second",
    [
        {"sender": "front-1"},
        {"sender": "front-2", "flows": 0, "answered_seconds": 0.1},
        {"sender": "front-2", "silent": 0.05, "repeated": 0.01, "answered_seconds": 0.02},
    ],
    ids=["one entry VM", "answer elsewhere", "answer after the retransmissions"],
)
def test_reports_that_do_not_suffice(second):
    reader = Reader()
    reader.report("front-1", flows=3)
    reader.report(**second)
    reader.advance(0.5)
    assert reader.condemned == []


def test_suspected_links_count_only_beside_another_one():
    reader = Reader()
    reader.report("front-1", link_suspected=True)
    reader.report("front-2", link_suspected=True)
    reader.advance(0.5)
    assert reader.evidence is None
    reader.report("front-3", flows=1)
    reader.advance(0.5)
    assert len(reader.condemned) == 1


def test_retransmissions_from_before_an_answer_seen_elsewhere_do_not_count():
    reader = Reader()
    reader.report("front-1", flows=3, silent=0.9, repeated=0.6)
    reader.report("front-2", flows=0, answered_seconds=0.5)
    reader.report("front-3", flows=2, silent=0.48, repeated=0.0)
    reader.advance(0.5)
    assert reader.condemned == []


def test_more_silence_is_required_while_packets_to_living_servers_are_lost():
    reader = Reader()
    reader.report("front-1", lossy=True)
    reader.report("front-2")
    reader.advance(0.5)
    assert reader.condemned == []
    reader.report("front-2", flows=4, silent=1.0, repeated=0.1)
    reader.advance(0.1)
    assert len(reader.condemned) == 1


def test_nothing_is_condemned_before_a_follower_can_object():
    reader = Reader()
    reader.followed = False
    reader.report("front-1")
    reader.report("front-2")
    reader.advance(0.6)
    assert reader.condemned == []
    reader.followed = True
    reader.advance(0.5)
    assert len(reader.condemned) == 1


def test_one_answer_clears_a_condemned_server():
    reader = Reader()
    reader.condemn()
    reader.report("front-3", flows=0, answered_seconds=0.0)
    reader.advance(0.1)
    assert reader.condemned == []


def test_an_answer_from_before_the_silence_clears_nothing():
    reader = Reader()
    reader.condemn()
    reader.report("front-3", flows=0, answered_seconds=5.0)
    reader.advance(0.1)
    assert len(reader.condemned) == 1


def test_old_messages_and_lapsed_reports_have_no_effect():
    reader = Reader()
    reader.report("front-2", incarnation=2)
    reader.sequence -= 1
    assert not reader.report("front-2", incarnation=2)
    assert not reader.report("front-2", incarnation=1)
    reader.advance(2.2)
    reader.report("front-1")
    reader.advance(0.5)
    assert reader.condemned == []


def test_reports_that_arrive_after_a_stall_of_the_reader_are_void():
    reader = Reader()
    reader.now += 3.0
    reader.report("front-1")
    reader.report("front-2")
    reader.advance(0.5)
    assert reader.condemned == []


def test_a_verdict_ends_in_a_probation_and_doubles_when_the_server_stays_silent():
    reader = Reader()
    reader.condemn()
    for seconds in (6.0, 12.0, 12.0):
        while reader.condemned:
            reader.advance(0.1)
        prober = reader.evidence.condemned[0].prober
        assert prober in ("front-1", "front-2")
        reader.report(prober, flows=1, silent=0.0, repeated=0.0)
        began_at = reader.now
        reader.advance(0.6)
        assert len(reader.condemned) == 1
        while reader.condemned:
            reader.advance(0.1)
        assert reader.now - began_at == pytest.approx(seconds + 0.5, abs=0.2)
        reader.advance(0.1)
        reader.report(prober, flows=1, silent=0.0, repeated=0.0)
        reader.advance(0.6)
    reader.running = False
    reader.advance(0.1)
    assert reader.evidence is None


def test_a_verdict_without_new_silence_expires():
    reader = Reader()
    reader.condemn()
    reader.advance(6.2)
    assert reader.evidence is None


def test_a_reader_is_told_of_changes_and_of_the_rest_rarely():
    log = ReportLog(SETTINGS)
    key = ("s-1", 0)

    def select(silences, objections=None, now=0.0):
        return log.select(silences, objections or {}, lambda key: now - 0.01, now)

    silence = {key: LocalSilence(1, -0.3, -0.1, -0.1, -0.5)}
    assert [report.silent_flows for report in select(silence)] == [1]
    assert select(silence, now=0.1) == ()
    assert len(select(silence, now=1.0)) == 1
    silence[key] = LocalSilence(2, -0.3, -0.1, -0.1, -0.5)
    assert [report.silent_flows for report in select(silence, now=1.1)] == [2]
    withdrawn = select({}, now=1.2)
    assert withdrawn[0].silent_flows == 0
    assert withdrawn[0].answered_seconds == pytest.approx(0.01)
    assert select({}, now=1.3) == ()
    assert len(select({}, {key: 1.35}, now=1.4)) == 1
    assert select({}, {key: 1.35}, now=1.5) == ()


@pytest.mark.parametrize(
    "change",
    [
        {"silent_flows": -1},
        {"silent_seconds": -1.0},
        {"answered_seconds": "soon"},
        {"server": ""},
    ],
)
def test_a_message_with_a_malformed_report_is_rejected_as_a_whole(change):
    good = {"server": "s-1", "incarnation": 0, "silent_flows": 1, "silent_seconds": 0.3}
    message = {"sender": "front-1", "incarnation": 1, "sequence": 1, "reports": [good]}
    assert decode_json(msgspec.json.encode(message), EvidenceMessage).is_ok()
    message["reports"] = [good, good | change]
    assert decode_json(msgspec.json.encode(message), EvidenceMessage).is_err()


def test_ages_beyond_the_limit_do_not_make_messages_malformed():
    """Guards against evidence that is refused because a server last answered two days ago.

    Followers refused the whole state if the silence of a server in question was too old.
    """
    old = LocalSilence(3, -200_000.0, -0.2, -0.1, -180_000.0)
    message = EvidenceMessage("front-1", 1, 1, (old.to_report(("s-1", 0), 0.0),))
    assert decode_json(msgspec.json.encode(message), EvidenceMessage).is_ok()
    answers = {("s-1", 0): -180_000.0}
    log = ReportLog(SETTINGS)
    log.select({("s-1", 0): old}, {}, answers.get, 0.0)
    message = EvidenceMessage("front-1", 1, 2, log.select({}, {}, answers.get, 0.1))
    assert decode_json(msgspec.json.encode(message), EvidenceMessage).is_ok()
    reader = Reader()
    reader.report(silent=86_400.0)
    reader.advance(0.5)
    assert reader.evidence.questioned
    assert decode_json(msgspec.json.encode(reader.evidence), PublishedEvidence).is_ok()
