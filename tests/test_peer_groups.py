"""Election of readers of the platform, choice of peers to follow, and failures of both."""

from random import Random

import msgspec

from marjoramford.opaque_flows.flow_settings import PeerSettings
from marjoramford.opaque_flows.peer_groups import FollowPeer, PauseReading, PeerGroup, ReadPlatform
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm, MemberUpdate

NOW = 100.0
SETTINGS = PeerSettings()


def vm(number, zone="a"):
    address = Address(f"127.0.0.{number}", 7000)
    return EntryVm(f"front-{zone}-{number}", 1, zone, address, address)


def group(own, others=(), seeds=()):
    made = PeerGroup(own, seeds, SETTINGS, Random(1))
    made.merge_updates([other.to_update() for other in others])
    return made


def fleet(count, zone="a"):
    vms = [vm(number, zone) for number in range(1, count + 1)]
    return [group(own, [other for other in vms if other is not own]) for own in vms]


def test_in_a_small_zone_every_entry_vm_reads_the_platform():
    assert all(isinstance(g.choose_source(NOW), ReadPlatform) for g in fleet(4))


def test_in_a_large_zone_a_few_read_and_the_others_follow_them():
    groups = fleet(17)
    readers = {
        g.entry_vms.own.control_address
        for g in groups
        if isinstance(g.choose_source(NOW), ReadPlatform)
    }
    followed = {
        g.choose_source(NOW).address for g in groups if isinstance(g.choose_source(NOW), FollowPeer)
    }
    assert len(readers) == SETTINGS.min_readers - 1
    assert followed == readers


def test_the_standby_reads_while_no_other_reader_can_be_followed():
    groups = {g.entry_vms.own.control_address: g for g in fleet(17)}
    (active,) = [a for a, g in groups.items() if isinstance(g.choose_source(NOW), ReadPlatform)]
    subject = next(g for a, g in groups.items() if a != active)
    subject.record_peer_read(active, None, NOW)
    standby = subject.choose_source(NOW).address
    assert groups[standby].choose_source(NOW) == FollowPeer(active, SETTINGS.follower_wait)
    assert not groups[standby].find_report_targets(NOW)[0]
    groups[standby].record_peer_read(active, None, NOW)
    assert isinstance(groups[standby].choose_source(NOW), ReadPlatform)
    assert groups[standby].find_report_targets(NOW) == (True, [active])
    later = NOW + SETTINGS.avoid_seconds
    assert groups[standby].choose_source(later) == FollowPeer(active, SETTINGS.follower_wait)


def test_entry_vms_with_wide_links_read_the_platform():
    """Regression from inc1: a table of 1,400 routes filled the 5 Mbit/s links of the readers."""
    vms = [vm(number) for number in range(1, 18)]
    for number, member in enumerate(vms):
        member.link_mbps = 100.0 if number in (3, 11) else 5.0
    groups = [group(own, [other for other in vms if other is not own]) for own in vms]
    readers = [g.entry_vms.own for g in groups if isinstance(g.choose_source(NOW), ReadPlatform)]
    assert readers == [vms[11]]
    vms[11].state = "leaving"
    left = [
        group(own, [other for other in vms if other is not own]) for own in vms if own != vms[11]
    ]
    readers = [g.entry_vms.own for g in left if isinstance(g.choose_source(NOW), ReadPlatform)]
    assert readers == [vms[3]]


def test_a_member_of_an_older_build_tells_no_link():
    update = msgspec.json.decode(
        b'{"name":"front-9","incarnation":1,"heartbeat":0,"state":"alive","zone":"a",'
        b'"peer_address":["127.0.0.9",7000],"control_address":["127.0.0.9",7000]}',
        type=MemberUpdate,
    )
    subject = group(vm(1))
    subject.merge_updates([update])
    assert subject.entry_vms.get("front-9").link_mbps == 0.0


def test_a_link_that_an_older_build_left_out_is_learnt_later():
    subject = group(vm(1))
    update = vm(2).to_update()
    subject.merge_updates([update, msgspec.structs.replace(update, link_mbps=100.0)])
    assert subject.entry_vms.get(update.name).link_mbps == 100.0


def test_readers_grow_slower_than_the_zone():
    groups = fleet(200)
    reading = sum(isinstance(g.choose_source(NOW), ReadPlatform) for g in groups)
    assert reading == 7 - 1


def test_a_follower_leaves_a_failed_or_stale_reader_for_the_next_and_then_the_platform():
    subject = next(g for g in fleet(17) if isinstance(g.choose_source(NOW), FollowPeer))
    first = subject.choose_source(NOW)
    subject.record_peer_read(first.address, None, NOW)
    second = subject.choose_source(NOW)
    assert isinstance(second, FollowPeer)
    assert second.address != first.address
    subject.record_peer_read(second.address, SETTINGS.max_state_age + 0.1, NOW)
    assert isinstance(subject.choose_source(NOW), ReadPlatform)
    assert isinstance(subject.choose_source(NOW + SETTINGS.avoid_seconds), FollowPeer)


def test_an_entry_vm_refused_by_the_platform_follows_peers_between_retries():
    subject = fleet(3)[0]
    subject.record_platform_read(False, NOW)
    assert isinstance(subject.choose_source(NOW + 0.01), FollowPeer)
    assert isinstance(subject.choose_source(NOW + SETTINGS.retry_seconds), ReadPlatform)


def test_a_fallback_peer_is_kept_while_its_state_is_fresh():
    subject = fleet(6)[0]
    helpers = []
    for step in range(5):
        subject.record_platform_read(False, NOW + step)
        source = subject.choose_source(NOW + step)
        assert isinstance(source, FollowPeer)
        subject.record_peer_read(source.address, 0.1, NOW + step)
        helpers.append(source.address)
    assert len(set(helpers)) == 1
    subject.record_peer_read(helpers[0], None, NOW + 5.0)
    subject.record_platform_read(False, NOW + 5.0)
    assert subject.choose_source(NOW + 5.0).address != helpers[0]


def test_reading_pauses_when_there_is_no_source():
    subject = group(vm(1))
    subject.record_platform_read(False, NOW)
    source = subject.choose_source(NOW)
    assert isinstance(source, PauseReading)
    assert isinstance(subject.choose_source(source.until), ReadPlatform)


def test_the_backoff_is_bounded():
    subject = group(vm(1))
    for _ in range(50):
        subject.record_platform_read(False, NOW)
    assert 0 < subject.choose_source(NOW).until - NOW <= SETTINGS.max_retry_seconds


def test_seeds_are_contacted_while_no_entry_vm_is_known():
    own, seed = vm(1), Address("127.0.0.8", 7000)
    assert group(own, seeds=[seed, own.control_address]).choose_exchange_partner() == (seed, None)


def test_a_dead_reader_is_replaced():
    subject = next(g for g in fleet(17) if isinstance(g.choose_source(NOW), FollowPeer))
    address = subject.choose_source(NOW).address
    dead = next(vm for vm in subject.entry_vms.others() if vm.control_address == address)
    subject.record_exchange(dead, False, NOW)
    subject.entry_vms.expire_suspicions(NOW + SETTINGS.suspicion_seconds)
    source = subject.choose_source(NOW + 5.0)
    assert getattr(source, "address", None) != address


def test_an_entry_vm_whose_clock_was_set_back_supersedes_its_earlier_incarnation():
    subject = group(vm(1))
    earlier = vm(1)
    earlier.incarnation = 50
    subject.merge_updates([earlier.to_update()])
    assert subject.entry_vms.own.incarnation == 51


def test_bounded_gossip_reaches_every_member_of_a_large_fleet():
    rounds = Random(2)
    vms = [vm(number, "ab"[number % 2]) for number in range(1, 121)]
    groups = {one.name: group(one) for one in vms}
    seed = groups[vms[0].name]
    for one in groups.values():
        seed.merge_updates(one.select_updates())
        one.merge_updates(seed.select_updates())
    for _ in range(40):
        for one in groups.values():
            other = groups[rounds.choice([v.name for v in one.entry_vms.others()])]
            updates = one.select_updates()
            assert len(updates) <= SETTINGS.max_news
            other.merge_updates(updates)
            one.merge_updates(other.select_updates())
    for one in groups.values():
        near = [v for v in one.entry_vms.active() if v.zone == one.entry_vms.own.zone]
        assert len(near) == 59
