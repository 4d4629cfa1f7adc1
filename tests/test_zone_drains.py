"""Drains of zones in the list: late starts and ends, eras, and what followers are sent."""

import logging

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramford.opaque_flows.flow_settings import ListSettings
from marjoramford.opaque_flows.server_lists import ListChanges, ServerList
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.opaque_flows.zone_drains import MAX_ZONES, ZoneDrain
from marjoramford.shared.logs import LogEvent

from .flow_worlds import START, record, snapshot, upsert

RELIST_SECONDS = ListSettings().relist_seconds


def start(revision, zone="b"):
    return ZoneDrain(zone, revision, True)


def end(revision, zone="b"):
    return ZoneDrain(zone, revision, False)


def changes(*drains, era=0, revision=None, whole=False, records=()):
    """A state that changes drains; a delta unless `whole`."""
    revision = max([drain.revision for drain in drains]) if revision is None else revision
    return ListChanges(tuple(records), (), whole, StateVersion(era, revision), drains)


def make_list(*drains):
    made = ServerList(ListSettings())
    made.apply(snapshot(record("s-1"), record("s-2", zone="b")), START)
    made.confirm(START)
    for drain in drains:
        assert made.apply(changes(drain), START)
    return made


def drained(subject):
    """Names of the servers of drained zones; their flags and the state of the zones must agree."""
    servers = list(subject.servers.values())
    assert all(s.zone_drained == subject.drains.is_drained(s.zone) for s in servers)
    assert all(not (s.zone_drained and s.accepts_work) for s in servers)
    return sorted(server.name for server in servers if server.zone_drained)


def test_servers_of_a_drained_zone_accept_no_work_until_the_drain_ends():
    subject = make_list(start(101))
    assert drained(subject) == ["s-2"]
    subject.apply(changes(end(102)), START)
    assert drained(subject) == []


def test_a_server_listed_during_the_drain_or_started_again_accepts_no_work():
    subject = make_list(start(101))
    subject.apply(upsert(record("s-3", 102, zone="b")), START)
    subject.apply(upsert(record("s-2", 103, zone="b", born=5)), START)
    assert drained(subject) == ["s-2", "s-3"]


def test_an_older_start_or_end_has_no_effect():
    subject = make_list(start(101), end(105))
    subject.apply(changes(start(101), revision=106), START)
    assert drained(subject) == []
    subject.apply(changes(start(110)), START)
    subject.apply(changes(end(105), revision=111), START)
    assert drained(subject) == ["s-2"]


def test_a_watch_that_holds_a_start_and_its_end_logs_neither(caplog):
    caplog.set_level(logging.INFO)
    subject = make_list()
    subject.apply(changes(end(103), start(102)), START)
    assert drained(subject) == []
    assert not [entry for entry in caplog.records if getattr(entry, "event", 0) in (310, 311)]


def test_a_drain_that_is_written_again_keeps_its_beginning():
    subject = make_list(start(101))
    subject.apply(changes(start(102)), START + 9.0)
    state = subject.drains.find("b")
    assert (state.since, state.version.revision) == (START, 102)
    assert subject.changes_since(StateVersion(0, 101)).drains == (start(102),)


def test_a_snapshot_ends_the_drains_that_it_does_not_name_and_a_delta_does_not():
    """The history is dropped, and the whole read that follows lacks the drain."""
    subject = make_list(start(101, "a"), start(102))
    subject.apply(changes(revision=103), START)
    assert drained(subject) == ["s-1", "s-2"]
    records = subject.changes_since(StateVersion()).records
    subject.apply(changes(start(101, "a"), revision=110, whole=True, records=records), START)
    assert drained(subject) == ["s-1"]
    assert subject.drains.find("b").version == StateVersion(0, 110)


def test_a_snapshot_from_before_a_drain_does_not_end_it():
    """A whole read in pages finds a drain that was written after its first page."""
    subject = make_list()
    records = subject.changes_since(StateVersion()).records
    subject.apply(changes(start(105), revision=103, whole=True, records=records), START)
    subject.apply(changes(revision=104, whole=True, records=records), START)
    assert drained(subject) == ["s-2"]
    subject.apply(changes(revision=105, whole=True, records=records), START)
    assert drained(subject) == []


def test_a_snapshot_of_an_older_build_keeps_the_drains_and_does_not_make_them_known():
    fresh = ServerList(ListSettings())
    old = msgspec.structs.replace(snapshot(record("s-2", zone="b")), drains=None)
    fresh.apply(old, START)
    assert fresh.loaded
    assert not fresh.drains.known
    subject = make_list(start(101))
    subject.apply(msgspec.structs.replace(old, version=StateVersion(0, 200)), START)
    assert drained(subject) == ["s-2"]
    assert not subject.are_drains_current
    assert subject.known_version == StateVersion(0, 101)


def test_drains_known_in_part_are_not_passed_on():
    """Guards against a follower that takes a state at 150 as complete although a drain misses."""
    subject = make_list(start(101))
    old = ListChanges((), (), False, StateVersion(0, 150), None)
    subject.apply(old, START)
    for version in (StateVersion(), StateVersion(0, 120)):
        assert subject.changes_since(version).drains is None
    subject.apply(changes(start(140, "a"), revision=151), START)
    assert subject.changes_since(StateVersion(0, 120)).drains == (start(140, "a"),)


def test_a_follower_hears_of_an_end_that_its_reader_skipped():
    """The reader's whole read lacks a drain that it never saw, and that its follower has."""
    reader, follower = make_list(), make_list(start(101))
    records = reader.changes_since(StateVersion()).records
    reader.apply(changes(revision=110, whole=True, records=records), START)
    follower.apply(reader.changes_since(follower.known_version), START)
    assert drained(follower) == []


def restored(*drains, **other):
    return changes(*drains, era=1, revision=50, whole=True, records=[record("s-2", 7, zone="b")])


def test_a_drain_that_the_copy_lacks_stays_until_its_absence_is_confirmed():
    subject = make_list(start(101))
    subject.apply(restored(), START + 10.0)
    subject.confirm(START + 10.0)
    subject.expire(START + 10.0 + RELIST_SECONDS)
    assert drained(subject) == ["s-2"]
    assert subject.changes_since(StateVersion()).drains == ()
    subject.confirm(START + 10.0 + RELIST_SECONDS)
    subject.expire(START + 10.0 + RELIST_SECONDS)
    assert drained(subject) == []


@pytest.mark.parametrize(("change", "names"), [(start(51), ["s-2"]), (end(52), [])])
def test_a_change_after_the_restore_settles_a_drain_that_the_copy_lacks(change, names):
    """The operator writes the drain again, or removes it; its revisions are lower than before."""
    subject = make_list(start(101))
    subject.apply(restored(), START + 10.0)
    subject.apply(changes(change, era=1), START + 11.0)
    subject.confirm(START + 11.0)
    subject.confirm(START + 30.0)
    subject.expire(START + 30.0)
    assert drained(subject) == names


def test_a_copy_from_before_the_end_of_a_drain_starts_it_again():
    subject = make_list(start(101), end(102))
    subject.apply(restored(start(40)), START + 10.0)
    assert drained(subject) == ["s-2"]
    subject.apply(changes(end(51), era=1), START + 11.0)
    assert drained(subject) == []


def test_the_drains_of_a_new_era_follow_its_entries_from_an_older_build():
    subject = make_list(start(101))
    subject.apply(msgspec.structs.replace(restored(), drains=None), START + 10.0)
    # A delta of the new era has no base for the drains here.
    subject.apply(changes(end(51), era=1), START + 10.0)
    assert drained(subject) == ["s-2"]
    assert subject.known_version == StateVersion(0, 101)
    subject.apply(restored(start(40)), START + 10.0)
    assert not subject.are_drains_current
    subject.apply(changes(start(40), era=1, revision=51, whole=True), START + 10.0)
    assert subject.are_drains_current


def test_ends_beyond_the_limit_are_forgotten_and_known_drains_stay(caplog):
    subject = make_list(start(101))
    for number in range(MAX_ZONES):
        subject.apply(changes(start(200 + number, f"z{number}")), START)
        subject.apply(changes(end(600 + number, f"z{number}"), revision=900 + number), START)
    assert drained(subject) == ["s-2"]
    assert subject.changes_since(StateVersion(0, 150)).whole
    full = [start(2000 + number, f"y{number}") for number in range(MAX_ZONES)]
    subject.apply(changes(*full), START)
    assert len(subject.drains.drained_zones()) == MAX_ZONES
    assert drained(subject) == ["s-2"]
    assert [entry.fields["zone"] for entry in caplog.records if entry.event == 301] == ["y255"]


@pytest.mark.parametrize("whole", [False, True])
def test_a_drain_takes_the_place_of_one_that_ends_with_the_same_change(whole):
    """The end is forgotten at once; a full memory must neither refuse the start nor raise."""
    others = [start(2 + n, f"z-{n}") for n in range(MAX_ZONES - 1)]
    subject = make_list()
    subject.apply(changes(start(1), *others, revision=500), START)
    assert drained(subject) == ["s-2"]
    step = [start(501, "a"), *(others if whole else [end(502)])]
    assert subject.apply(changes(*step, revision=502, whole=whole), START)
    assert drained(subject) == ["s-1"]
    assert len(subject.drains.drained_zones()) == MAX_ZONES


def test_a_drain_is_logged_with_its_servers_and_the_age_of_the_state(caplog):
    caplog.set_level(logging.INFO)
    subject = make_list()
    subject.apply(changes(start(101), start(102, "none")), START + 0.5)
    logged = [entry.fields for entry in caplog.records if entry.event == LogEvent.ZONE_DRAIN_BEGAN]
    common = {"era": 0, "list_age": 0.5}
    assert logged == [
        {"zone": "b", "servers": 1, "has_servers": True, "revision": 101} | common,
        {"zone": "none", "servers": 0, "has_servers": False, "revision": 102} | common,
    ]


def test_the_log_of_a_drain_that_is_known_from_the_start_has_no_age(caplog):
    """Infinity would be no valid JSON."""
    caplog.set_level(logging.INFO)
    ServerList(ListSettings()).apply(changes(start(101), whole=True), START)
    logged = [entry for entry in caplog.records if entry.event == LogEvent.ZONE_DRAIN_BEGAN]
    assert [entry.fields["list_age"] for entry in logged] == [None]


events = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20)


@given(events, st.lists(st.integers(0, 19), max_size=6), st.lists(st.integers(0, 19), max_size=4))
def test_followers_converge_to_the_drains_of_their_reader(script, asked_at, whole_at):
    """Also with states asked for long ago, and whole reads instead of single changes."""
    leader, follower = make_list(), make_list()
    truth = {}
    for number, (zone, is_start) in enumerate(script):
        revision = 101 + number
        truth[zone] = ZoneDrain(zone, revision, is_start)
        if number in whole_at:
            named = [drain for drain in truth.values() if drain.drained]
            records = leader.changes_since(StateVersion()).records
            state = changes(*named, revision=revision, whole=True, records=records)
        else:
            state = changes(truth[zone])
        leader.apply(state, START)
        if number in asked_at:
            follower.apply(leader.changes_since(follower.known_version), START)
            earlier = StateVersion(0, max(100, follower.version.revision - 4))
            follower.apply(leader.changes_since(earlier), START)
    follower.apply(leader.changes_since(follower.known_version), START)
    expected = {zone for zone, drain in truth.items() if drain.drained}
    for subject in (leader, follower):
        assert subject.drains.drained_zones().keys() == expected
        drained(subject)
