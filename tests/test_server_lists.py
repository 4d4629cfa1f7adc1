"""The published list: removed and restored entries, and changes from several sources."""

import logging

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from marjoramford.opaque_flows.flow_settings import ListSettings
from marjoramford.opaque_flows.server_lists import MAX_REMOVALS, ServerList
from marjoramford.opaque_flows.state_versions import NOTHING_READ, StateVersion
from marjoramford.shared.logs import LogEvent

from .flow_worlds import START, record, removal, snapshot, upsert


def make_list(*records):
    made = ServerList(ListSettings())
    made.apply(snapshot(*records), START)
    made.confirm(START)
    return made


def test_servers_survive_the_expiry_of_their_entries_during_a_store_outage():
    """A store is down for 6 s while the leases of entries expire, and is back at 10 s."""
    subject = make_list(record("s-1"))
    subject.mark_unreachable(START + 4.0)
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


def test_a_removal_during_a_whole_read_in_pages_reaches_followers():
    """A reader that starts reads its last page after an entry on it was removed.

    The first page names the revision before that, and the removal comes with the next watch.
    """
    reader, follower = make_list(record("s-1")), make_list(record("s-1"), record("s-2"))
    reader.apply(removal("s-2", 101), START)
    follower.apply(reader.changes_since(follower.version), START)
    assert [entry.name for entry in follower.changes_since(NOTHING_READ).records] == ["s-1"]


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


RELIST_SECONDS = ListSettings().relist_seconds


def restore(subject, *records, now=START + 10.0, era=1, revision=50):
    """Applies the first snapshot of a new era as a reader does."""
    assert subject.apply(snapshot(*records, revision=revision, era=era), now)
    subject.confirm(now)


def confirm_for(subject, since, seconds):
    """Confirms the list several times a second, and expires as the timer does."""
    for tenth in range(int(seconds * 10) + 2):
        subject.confirm(since + tenth / 10)
        subject.expire(since + tenth / 10)


def versions(subject):
    return {entry.name: entry.revision for entry in subject.changes_since(NOTHING_READ).records}


def test_the_snapshot_of_a_newer_era_replaces_higher_revisions_of_the_older():
    subject = make_list(record("s-1", 90), record("s-2", 91))
    restore(subject, record("s-1", 20), record("s-3", 21))
    assert subject.version == StateVersion(1, 50)
    assert versions(subject) == {"s-1": 20, "s-3": 21}
    assert subject.apply(upsert(record("s-1", 51, state="leaving"), era=1), START + 11.0)
    assert subject.servers.get("s-1").leaving


def test_changes_of_an_older_era_are_ignored_whatever_their_revision():
    subject = make_list(record("s-1"))
    restore(subject, record("s-1", 20))
    assert not subject.apply(snapshot(record("s-2", 900), revision=999), START + 11.0)
    assert not subject.apply(removal("s-1", 999), START + 11.0)
    assert versions(subject) == {"s-1": 20}
    assert subject.servers.get("s-1").unlisted_since is None


def test_a_delta_of_a_newer_era_is_ignored_because_its_base_is_not_here():
    subject = make_list(record("s-1"))
    assert not subject.apply(upsert(record("s-2", 101), era=1), START)
    assert not subject.apply(removal("s-1", 101, era=1), START)
    assert versions(subject) == {"s-1": 1}
    assert subject.version.era == 0
    unread = ServerList(ListSettings())
    assert not unread.apply(upsert(record("s-2", 101), era=1), START)
    assert not unread.loaded


def test_a_follower_of_another_era_gets_a_snapshot():
    subject = make_list(record("s-1"))
    restore(subject, record("s-1", 20))
    assert subject.changes_since(StateVersion(0, 50)).whole
    assert subject.changes_since(StateVersion(2, 50)).whole
    assert not subject.changes_since(StateVersion(1, 50)).whole


def test_a_server_missing_from_the_copy_takes_flows_and_is_gone_only_after_the_grace():
    subject = make_list(record("s-1"), record("s-2"))
    restore(subject, record("s-2", 20))
    missing = subject.servers.get("s-1")
    confirm_for(subject, START + 10.0, RELIST_SECONDS - 0.3)
    assert missing.accepts_work
    assert not missing.gone
    subject.apply(upsert(record("s-1", 51), era=1), START + 12.4)
    confirm_for(subject, START + 12.4, 2 * RELIST_SECONDS)
    assert missing.unlisted_since is None
    assert missing is subject.servers.get("s-1")
    assert missing.accepts_work


def test_a_server_that_stays_missing_from_the_copy_is_gone_after_the_grace():
    subject = make_list(record("s-1"))
    restore(subject)
    confirm_for(subject, START + 10.0, RELIST_SECONDS)
    assert subject.servers.get("s-1").gone


def test_the_grace_of_a_server_that_was_unlisted_before_starts_anew_with_the_restore():
    subject = make_list(record("s-1"))
    subject.apply(removal("s-1", 101), START + 8.0)
    subject.confirm(START + 9.9)
    restore(subject, revision=50)
    # A confirmation from before the restore must not shorten the grace.
    subject.confirm(START + 9.0)
    subject.confirm(START + 10.0 + RELIST_SECONDS - 0.1)
    subject.expire(START + 12.4)
    assert not subject.servers.get("s-1").gone


def test_an_older_start_in_the_copy_neither_gets_flows_nor_retires_the_newer_one():
    subject = make_list(record("s-1", 90, born=2))
    newer = subject.servers.get("s-1")
    restore(subject, record("s-1", 20, born=1))
    assert subject.servers.get("s-1") is newer
    assert newer.accepts_work
    assert newer.unlisted_since is not None
    subject.apply(upsert(record("s-1", 51, born=2), era=1), START + 11.0)
    confirm_for(subject, START + 11.0, 2 * RELIST_SECONDS)
    assert subject.servers.get("s-1") is newer
    assert newer.unlisted_since is None


def test_an_older_start_in_the_copy_is_not_listed_when_the_newer_one_is_gone():
    subject = make_list(record("s-1", 90, born=2))
    restore(subject, record("s-1", 20, born=1))
    confirm_for(subject, START + 10.0, 2 * RELIST_SECONDS)
    assert subject.servers.get("s-1").incarnation == 2
    assert subject.servers.get("s-1").gone


def test_a_server_that_was_leaving_stays_leaving_when_the_copy_has_it_live():
    subject = make_list(record("s-1"))
    subject.apply(upsert(record("s-1", 101, state="leaving")), START)
    restore(subject, record("s-1", 20))
    confirm_for(subject, START + 10.0, 2 * RELIST_SECONDS)
    assert subject.servers.get("s-1").leaving
    assert not subject.servers.get("s-1").accepts_work


def gone_list():
    subject = make_list(record("s-1"), record("s-2"))
    subject.apply(removal("s-1", 101), START)
    confirm_for(subject, START, RELIST_SECONDS)
    assert subject.servers.get("s-1").gone
    return subject


def test_a_server_that_was_gone_gets_no_flows_from_the_copy_until_it_writes_again():
    subject = gone_list()
    restore(subject, record("s-1", 20), record("s-2", 21))
    back = subject.servers.get("s-1")
    assert not back.gone
    assert not back.accepts_work
    subject.apply(upsert(record("s-1", 51), era=1), START + 10.5)
    assert subject.servers.get("s-1") is back
    assert back.accepts_work
    assert back.unlisted_since is None


def test_a_server_that_was_gone_gets_flows_once_its_entry_has_stayed():
    subject = gone_list()
    restore(subject, record("s-1", 20), record("s-2", 21))
    confirm_for(subject, START + 10.0, RELIST_SECONDS - 0.3)
    assert not subject.servers.get("s-1").accepts_work
    confirm_for(subject, START + 12.4, 0.2)
    assert subject.servers.get("s-1").accepts_work
    assert subject.servers.get("s-1").unlisted_since is None


def test_the_entry_of_a_gone_server_that_expires_again_leads_to_no_flows():
    subject = gone_list()
    restore(subject, record("s-1", 20), record("s-2", 21))
    subject.apply(removal("s-1", 51, era=1), START + 11.0)
    confirm_for(subject, START + 11.0, RELIST_SECONDS - 0.3)
    assert not subject.servers.get("s-1").accepts_work
    assert not subject.servers.get("s-1").gone
    confirm_for(subject, START + 13.4, 1.0)
    assert subject.servers.get("s-1").gone


def test_a_forgotten_server_in_the_copy_is_listed_only_once_its_entry_has_stayed():
    subject = gone_list()
    subject.expire(START + 100.0)
    assert subject.servers.get("s-1") is None
    restore(subject, record("s-1", 20), record("s-2", 21), now=START + 101.0)
    assert subject.servers.get("s-1") is None
    confirm_for(subject, START + 101.0, RELIST_SECONDS)
    assert subject.servers.get("s-1").accepts_work


def test_a_server_that_was_unlisted_stays_so_until_its_entry_has_stayed(caplog):
    """It takes flows as any unlisted server does: only if no listed server of its service can."""
    logging.getLogger("marjoramford").propagate = True
    caplog.set_level(logging.INFO, logger="marjoramford")
    subject = make_list(record("s-1"))
    subject.apply(removal("s-1", 101), START + 9.0)
    restore(subject, record("s-1", 20))
    assert subject.servers.get("s-1").unlisted_since == START + 9.0
    assert subject.servers.get("s-1").accepts_work
    confirm_for(subject, START + 10.0, RELIST_SECONDS)
    assert subject.servers.get("s-1").unlisted_since is None
    assert LogEvent.SERVER_GONE not in [line.event for line in caplog.records]


def test_a_server_that_was_gone_before_two_restores_gets_no_flows_from_the_second_copy():
    subject = gone_list()
    restore(subject, record("s-1", 20), record("s-2", 21), era=1)
    restore(subject, record("s-1", 20), record("s-2", 21), now=START + 11.0, era=2)
    confirm_for(subject, START + 11.0, RELIST_SECONDS - 0.3)
    assert not subject.servers.get("s-1").accepts_work


def test_removals_of_the_older_era_do_not_count_in_the_newer():
    subject = make_list(record("s-1"), record("s-2"))
    subject.apply(removal("s-1", 101), START)
    subject.apply(removal("s-2", 102), START)
    restore(subject, record("s-1", 20))
    follower = ServerList(ListSettings())
    follower.apply(subject.changes_since(NOTHING_READ), START)
    subject.apply(upsert(record("s-2", 51), era=1), START + 11.0)
    follower.apply(subject.changes_since(follower.version), START)
    assert versions(subject) == versions(follower) == {"s-1": 20, "s-2": 51}


def reused(name, revision, service):
    """A record at the address of `s-1`."""
    entry = record(name, revision, service=service)
    return msgspec.structs.replace(entry, data_port=record("s-1").data_port)


def test_a_reused_address_never_crosses_services():
    """The copy lists the first holder of an address; the second one, of another service, lives."""
    subject = gone_list()
    subject.apply(upsert(reused("s-7", 102, "other")), START + 9.0)
    restore(subject, record("s-1", 20), record("s-2", 21))
    first, second = subject.servers.get("s-1"), subject.servers.get("s-7")
    assert first.gone
    assert second.accepts_work
    subject.apply(upsert(reused("s-7", 51, "other"), era=1), START + 11.0)
    confirm_for(subject, START + 10.0, 2 * RELIST_SECONDS)
    assert not subject.servers.get("s-1").accepts_work
    assert second.accepts_work


def test_a_reused_address_never_crosses_services_where_the_first_holder_is_forgotten():
    subject = make_list(record("s-2"), reused("s-7", 30, "other"))
    restore(subject, record("s-1", 20), record("s-2", 21))
    assert subject.servers.get("s-1") is None
    subject.apply(upsert(reused("s-7", 51, "other"), era=1), START + 11.0)
    confirm_for(subject, START + 10.0, 2 * RELIST_SECONDS)
    assert subject.servers.get("s-1") is None
    # The second holder leaves; the first one's entry still stands, and it has the address again.
    subject.apply(removal("s-7", 52, era=1), START + 20.0)
    confirm_for(subject, START + 20.0, 2 * RELIST_SECONDS)
    assert subject.servers.get("s-1").accepts_work


def test_two_restores_in_a_row_reset_no_server_that_lives():
    subject = make_list(record("s-1"), record("s-2"))
    restore(subject, record("s-2", 20), now=START + 10.0, era=1)
    confirm_for(subject, START + 10.0, 1.5)
    restore(subject, record("s-2", 20), now=START + 11.6, era=2, revision=40)
    confirm_for(subject, START + 11.6, RELIST_SECONDS - 0.3)
    assert not subject.servers.get("s-1").gone
    restore(subject, record("s-1", 19), record("s-2", 20), now=START + 14.0, era=3, revision=30)
    confirm_for(subject, START + 14.0, 2 * RELIST_SECONDS)
    assert subject.servers.get("s-1").unlisted_since is None
    assert subject.servers.get("s-1").accepts_work


eras = st.lists(
    st.tuples(
        st.sampled_from(["write", "remove", "copy", "restore", "ask"]),
        st.sampled_from(["s-1", "s-2", "s-3"]),
        st.integers(0, 2),
    ),
    max_size=30,
)


@given(eras)
def test_a_follower_converges_over_restores_whenever_it_asks(script):
    leader, follower = make_list(record("s-1")), ServerList(ListSettings())
    items, revision, era = {"s-1": record("s-1")}, 100, 0
    copy = dict(items), revision
    late = []
    for action, name, born in script:
        match action:
            case "write":
                revision += 1
                items[name] = record(name, revision, born=born)
                assert leader.apply(upsert(items[name], era), START)
            case "remove":
                revision += 1
                items.pop(name, None)
                assert leader.apply(removal(name, revision, era), START)
            case "copy":
                copy = dict(items), revision
            case "restore":
                era += 1
                items, revision = dict(copy[0]), copy[1]
                assert leader.apply(snapshot(*items.values(), revision=revision, era=era), START)
            case "ask":
                late.append(leader.changes_since(follower.version))
                follower.apply(late[-1], START)
                follower.apply(late[born % len(late)], START)
    follower.apply(leader.changes_since(follower.version), START)
    for changes in late:
        follower.apply(changes, START)
    expected = {name: entry.revision for name, entry in items.items()}
    assert versions(leader) == versions(follower) == expected


class Lives:
    """Servers that start and end, a store that is restored, and the list that follows it."""

    def __init__(self):
        self.subject = make_list(record("s-1"))
        self.items = {"s-1": record("s-1")}
        self.revision, self.era, self.now = 100, 0, START
        self.alive = {"s-1": 0}
        self.starts = 0
        self.copy = (dict(self.items), self.revision)

    def start(self, name):
        self.starts += 1
        self.alive[name] = self.starts
        self.write(name)

    def end(self, name):
        self.alive.pop(name, None)

    def write(self, name):
        self.revision += 1
        self.items[name] = record(name, self.revision, born=self.alive[name])
        self.subject.apply(upsert(self.items[name], self.era), self.now)

    def expire(self, name):
        self.revision += 1
        if self.items.pop(name, None) is not None:
            self.subject.apply(removal(name, self.revision, self.era), self.now)

    def take_copy(self, _name):
        self.copy = dict(self.items), self.revision

    def restore(self, _name):
        self.era += 1
        self.items, self.revision = dict(self.copy[0]), self.copy[1]
        changes = snapshot(*self.items.values(), revision=self.revision, era=self.era)
        self.subject.apply(changes, self.now)

    def wait(self, _name):
        confirm_for(self.subject, self.now, 1.5)
        self.now += 1.7


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["start", "end", "expire", "take_copy", "restore", "wait"]),
            st.sampled_from(["s-1", "s-2", "s-3"]),
        ),
        max_size=30,
    )
)
def test_servers_that_live_and_write_again_are_listed_after_any_restores_and_no_others(script):
    """Entries may be lost or come back at any time; in the end each live server writes its own."""
    lives = Lives()
    for action, name in script:
        getattr(lives, action)(name)
        lives.subject.confirm(lives.now)
    for name in ["s-1", "s-2", "s-3"]:
        if name in lives.alive:
            lives.write(name)
        else:
            lives.expire(name)
    confirm_for(lives.subject, lives.now, 2 * RELIST_SECONDS)
    servers = lives.subject.servers.values()
    listed = [s for s in servers if s.accepts_work and s.unlisted_since is None]
    assert {server.name: server.incarnation for server in listed} == lives.alive
