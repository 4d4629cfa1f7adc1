"""Partial failures while a zone is drained, with the readers and followers on a virtual clock.

Guards against entry VMs in contact with the store that open flows in the zone `EVACUATION_SECONDS`
after the drain was written, and against old state that ends a drain or starts it again.
"""

import time

import pytest

from marjoramford.platform.entries import SERVER_PREFIX
from marjoramford.standins.drain_drills import run_drain_drill
from marjoramford.standins.restore_drills import DrillPlan

# From the store's acknowledgement until no opening packet may reach the zone (`evacuation_ms`).
EVACUATION_SECONDS = 5.0
TARGET_SECONDS = 1.0
ONE_ZONE = DrillPlan(17, 1, (0.0, 0.0))
TWO_ZONES = DrillPlan(34, 2, (0.0, 0.0))
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])


async def all_drained(drill, names=None, seconds=EVACUATION_SECONDS):
    names = set(drill.vms) if names is None else names
    return await drill.wait_until(lambda: names <= drill.drained(), seconds)


async def none_drained(drill, seconds=EVACUATION_SECONDS):
    await drill.wait_until(lambda: not drill.drained(), seconds)


async def pass_time(drill, seconds, holds):
    """Lets time pass in which a condition holds all the time."""
    with pytest.raises(TimeoutError):
        await drill.wait_until(lambda: not holds(), seconds)


@SEEDS
@pytest.mark.parametrize("plan", [ONE_ZONE, TWO_ZONES, DrillPlan(7, 3, (0.0, 0.0))])
def test_a_drain_and_its_end_are_soon_in_force_while_nothing_fails(plan, seed):
    async def course(drill):
        for _ in range(3):
            drill.drain()
            assert await all_drained(drill) < TARGET_SECONDS
            drill.end_drain()
            await none_drained(drill, TARGET_SECONDS)

    run_drain_drill(plan, seed, course)


@SEEDS
@pytest.mark.parametrize("killed", [1, 2])
def test_readers_that_knew_of_the_drain_are_killed_before_they_passed_it_on(seed, killed):
    async def course(drill):
        readers = sorted(drill.readers())[:killed]
        for name in readers:
            # They read the store, but their followers' calls remain without answer.
            drill.network.dead.add(drill.vms[name].address)
        drill.drain()
        await all_drained(drill, set(readers))
        for name in readers:
            drill.suspend(name)
        await all_drained(drill, set(drill.vms) - set(readers))

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
def test_an_entry_vm_that_starts_while_the_store_is_down_learns_of_the_drain(seed):
    async def course(drill):
        drill.drain()
        await all_drained(drill)
        drill.network.take_store_away()
        vm = drill.start_again("front-3")
        assert not vm.balancer.ready
        await drill.wait_until(lambda: vm.balancer.ready, EVACUATION_SECONDS)
        assert "front-3" in drill.drained()
        assert not any(s.accepts_work for s in vm.balancer.server_list.servers.values())

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
def test_two_zones_cannot_reach_each_other_and_only_one_knows_of_the_drain(seed):
    """One zone has neither the store nor the other zone; then it has the other zone again."""

    async def course(drill):
        cut_off = drill.in_zone("zone-1")
        drill.network.cut_zones.add(frozenset(("zone-0", "zone-1")))
        drill.network.dead |= {drill.store_addresses[name] for name in cut_off}
        drill.drain()
        await all_drained(drill, drill.in_zone("zone-0"))
        await pass_time(drill, 3.0, lambda: drill.drained() == drill.in_zone("zone-0"))
        drill.network.cut_zones.clear()
        await all_drained(drill)
        # The same with an end of the drain that only the other zone knows.
        drill.network.cut_zones.add(frozenset(("zone-0", "zone-1")))
        drill.end_drain()
        await drill.wait_until(lambda: drill.drained() == cut_off, EVACUATION_SECONDS)
        drill.network.cut_zones.clear()
        await none_drained(drill)

    run_drain_drill(TWO_ZONES, seed, course)


@SEEDS
def test_followers_leave_a_reader_that_is_behind(seed):
    """The store's answers to one reader are lost, without a refused connection."""

    async def course(drill):
        behind = sorted(drill.readers())[0]
        drill.network.stalled.add(drill.store_addresses[behind])
        drill.drain()
        await all_drained(drill, set(drill.vms) - {behind})
        await all_drained(drill)

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
@pytest.mark.parametrize("is_reader", [True, False])
def test_an_entry_vm_that_was_suspended_resumes_with_old_state(seed, is_reader):
    """It misses the start and later the end of a drain, and must mislead nobody by either."""

    async def course(drill):
        readers = drill.readers()
        name = sorted(readers if is_reader else set(drill.vms) - readers)[0]
        others = set(drill.vms) - {name}
        await miss_a_change(drill, name, drill.drain, others)
        await miss_a_change(drill, name, drill.end_drain, set())

    async def miss_a_change(drill, name, change, expected):
        """Suspends an entry VM during a change, after which the drain is in force at the others."""
        before = drill.drained() & {name}
        drill.suspend(name)
        change()
        await drill.wait_until(lambda: drill.drained() - {name} == expected, EVACUATION_SECONDS)
        assert drill.drained() & {name} == before
        drill.resume(name)
        await drill.wait_until(lambda: (name in drill.drained()) == bool(expected), 5.0)
        await pass_time(drill, 3.0, lambda: drill.drained() - {name} == expected)

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
def test_an_entry_vm_that_was_cut_off_from_store_and_peers_catches_up(seed):
    async def course(drill):
        others = drill.in_zone("zone-0")
        lonely = drill.in_zone("zone-1")
        drill.network.cut_zones.add(frozenset(("zone-0", "zone-1")))
        drill.network.dead |= {drill.store_addresses[name] for name in lonely}
        drill.drain()
        await all_drained(drill, others)
        drill.end_drain()
        drill.drain()
        drill.network.dead -= {drill.store_addresses[name] for name in lonely}
        await all_drained(drill)

    run_drain_drill(DrillPlan(2, 2, (0.0, 0.0)), seed, course)


@SEEDS
def test_the_history_is_dropped_with_the_start_or_the_end_of_a_drain(seed):
    async def course(drill):
        for change, expected in ((drill.drain, set(drill.vms)), (drill.end_drain, set())):
            change()
            drill.store.compact_history()
            await drill.wait_until(lambda e=expected: drill.drained() == e, EVACUATION_SECONDS)

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
@pytest.mark.parametrize("plan", [ONE_ZONE, TWO_ZONES])
def test_a_drain_lasts_while_the_store_is_restored_from_a_copy_made_before_it(plan, seed):
    """The operator writes the drain again some time after the restore."""

    async def course(drill):
        copy, copied_at = drill.store.take_copy(), time.monotonic()
        drill.drain()
        await all_drained(drill)
        drill.restore(copy, copied_at)
        everyone = set(drill.vms)
        await pass_time(drill, EVACUATION_SECONDS, lambda: drill.drained() == everyone)
        drill.end_drain()
        await none_drained(drill)

    run_drain_drill(plan, seed, course)


@SEEDS
def test_a_drain_that_nobody_writes_again_after_a_restore_ends(seed):
    async def course(drill):
        copy, copied_at = drill.store.take_copy(), time.monotonic()
        drill.drain()
        await all_drained(drill)
        drill.end_drain()
        drill.store.put("op/evacuate/a", {})
        drill.restore(copy, copied_at)
        await pass_time(drill, 2.0, lambda: drill.drained() == set(drill.vms))
        await none_drained(drill)

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
def test_a_copy_made_before_the_end_of_a_drain_starts_it_until_it_is_ended_again(seed):
    async def course(drill):
        drill.drain()
        copy, copied_at = drill.store.take_copy(), time.monotonic()
        drill.end_drain()
        await none_drained(drill)
        drill.restore(copy, copied_at)
        await all_drained(drill)
        drill.store.remove("op/evacuate/a")
        await none_drained(drill)

    run_drain_drill(ONE_ZONE, seed, course)


@SEEDS
@pytest.mark.parametrize("older", ["readers", "all others"])
def test_an_older_build_runs_beside_a_new_one(seed, older):
    """Older readers hide the drain, so newer followers read the store; they are ready all along."""

    async def course(drill):
        newer = drill.vms.keys() - drill.readers()
        if older == "all others":
            newer = set(sorted(newer)[:2])
        drill.network.older |= {vm.address for n, vm in drill.vms.items() if n not in newer}
        drill.drain()
        await all_drained(drill, newer)
        drill.end_drain()
        await drill.wait_until(lambda: not drill.drained() & newer, EVACUATION_SECONDS)
        vm = drill.start_again(sorted(newer)[0])
        drill.drain()
        await drill.wait_until(lambda: vm.balancer.ready, EVACUATION_SECONDS)
        await all_drained(drill, newer)

    run_drain_drill(ONE_ZONE, seed, course)


def test_overlapping_and_repeated_drains_of_zones_that_may_not_exist(caplog):
    async def course(drill):
        for _ in range(3):
            drill.drain()
            drill.store.put("op/evacuate/nowhere", {})
        drill.store.put("op/evacuate/b", b"not json")
        await all_drained(drill)
        drill.end_drain()
        drill.store.put(f"{SERVER_PREFIX}i-ffff", b"{}")
        await none_drained(drill)
        for vm in drill.vms.values():
            drains = vm.balancer.server_list.drains
            assert drains.drained_zones().keys() == {"b", "nowhere"}

    run_drain_drill(ONE_ZONE, 1, course)
