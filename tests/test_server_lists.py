"""The published list: removed and restored entries, and changes from several sources."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramford.flow_settings import ListSettings
from marjoramford.server_lists import MAX_REMOVALS, ServerList
from marjoramford.state_versions import NOTHING_READ, StateVersion

from .flow_worlds import START, record, removal, snapshot, upsert


def make_list(*records):
    made = ServerList(ListSettings())
    made.apply(snapshot(*records), START)
    made.confirm(START)
    return made


def test_servers_survive_the_expiry_of_their_entries_during_a_store_outage():
    """A store is down for 6 s while the leases of entries expire, and is back at 10 s."""
    subject = make_list(record("s-1"))
    subject.mark_unreachable()
    subject.apply(removal("s-1", 101), START + 9.0)
    subject.expire(START + 9.9)
    assert not subject.servers.get("s-1").gone
    subject.confirm(START + 10.0)
    subject.confirm(START + 12.0)
    subject.expire(START + 12.0)
    assert not subject.servers.get("s-1").gone
    subject.apply(upsert(record("s-1", 102)), START + 12.0)
    subject.expire(START + 20.0)
    assert subject.servers.get("s-1").unlisted_since is None
    assert subject.servers.get("s-1").accepts_work


def test_a_removal_is_not_confirmed_while_the_platform_does_not_answer():
    """Regression from beschwerde-bayern hunt-5b8a-39 at 14.7 s.

    The platform removes entries of live servers and then does not answer the next watch.
    """
    subject = make_list(record("s-1"))
    subject.apply(removal("s-1", 101), START + 1.0)
    subject.confirm(START + 1.0)
    subject.expire(START + 4.0)
    assert not subject.servers.get("s-1").gone
    subject.confirm(START + 3.6)
    subject.expire(START + 4.0)
    assert subject.servers.get("s-1").gone


def test_a_server_still_missing_after_relist_seconds_is_removed():
    subject = make_list(record("s-1"))
    subject.apply(removal("s-1", 101), START + 1.0)
    subject.confirm(START + 3.4)
    subject.expire(START + 3.4)
    assert not subject.servers.get("s-1").gone
    subject.confirm(START + 3.6)
    subject.expire(START + 3.6)
    assert subject.servers.get("s-1").gone


def test_a_removed_server_is_forgotten_after_forget_seconds():
    subject = make_list(record("s-1"))
    subject.apply(removal("s-1", 101), START)
    subject.confirm(START + 3.0)
    subject.expire(START + 3.0)
    subject.expire(START + 100.0)
    assert subject.servers.get("s-1") is None


def test_a_removed_server_that_is_listed_again_accepts_flows():
    subject = make_list(record("s-1"))
    subject.apply(removal("s-1", 101), START)
    subject.confirm(START + 3.0)
    subject.expire(START + 3.0)
    subject.apply(upsert(record("s-1", 102)), START + 4.0)
    assert subject.servers.get("s-1").accepts_work
    subject.expire(START + 100.0)
    assert subject.servers.get("s-1").accepts_work


def test_an_older_snapshot_is_ignored():
    subject = make_list(record("s-1"))
    subject.apply(snapshot(record("s-2"), revision=50), START)
    assert [entry.name for entry in subject.changes_since(NOTHING_READ).records] == ["s-1"]


def test_a_reader_far_behind_gets_a_snapshot():
    subject = make_list(record("s-1"))
    assert subject.changes_since(NOTHING_READ).whole
    assert not subject.changes_since(StateVersion(0, 100)).whole
    for number in range(MAX_REMOVALS + 1):
        revision = 101 + 2 * number
        subject.apply(upsert(record("s-9", revision)), START)
        subject.apply(removal("s-9", revision + 1), START)
        subject.apply(upsert(record(f"s-{number + 16:x}", revision + 1)), START)
        subject.apply(removal(f"s-{number + 16:x}", revision + 1), START)
    assert subject.changes_since(StateVersion(0, 100)).whole


changes = st.lists(
    st.tuples(st.sampled_from(["s-1", "s-2", "s-3"]), st.booleans(), st.integers(0, 2)),
    max_size=25,
)


@given(changes, st.lists(st.integers(0, 24), max_size=8))
def test_a_follower_converges_to_the_same_list_whenever_it_asks(script, asked_at):
    leader, follower = make_list(record("s-1")), ServerList(ListSettings())
    revision = 100
    for number, (name, present, born) in enumerate(script):
        revision += 1
        if present:
            leader.apply(upsert(record(name, revision, born=born)), START)
        else:
            leader.apply(removal(name, revision), START)
        # Removing an entry that does not exist still increases the revision.
        leader.version = StateVersion(0, revision)
        if number in asked_at:
            follower.apply(leader.changes_since(follower.version), START)
            earlier = StateVersion(0, max(0, follower.version.revision - 3))
            follower.apply(leader.changes_since(earlier), START)
    follower.apply(leader.changes_since(follower.version), START)
    names = {entry.name: entry.revision for entry in leader.changes_since(NOTHING_READ).records}
    assert {
        entry.name: entry.revision for entry in follower.changes_since(NOTHING_READ).records
    } == names
