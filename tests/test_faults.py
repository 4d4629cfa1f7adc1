"""Faults of the simulated world that overlap: each one lasts for its whole time."""

import pytest

from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.faults import (
    CutPlatform,
    CutZones,
    LoseHandoverAcks,
    PlatformDown,
    PlatformStale,
    inject_fault,
)
from marjoramford.standins.networks import PLATFORM
from marjoramford.standins.worlds import World, WorldSettings


def cuts(world):
    places = [*HERITAGE.zones, PLATFORM]
    return {(a, b) for a in places for b in places if a < b and world.network.is_cut(a, b)}


@pytest.mark.parametrize("fault", [CutZones(6.0), CutPlatform(6.0)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_partition_ends_only_its_own_cuts(fault, seed):
    world = World(HERITAGE, seed, WorldSettings())
    start = world.now
    inject_fault(world, fault)
    first = cuts(world)
    world.run_until(start + 3.0)
    inject_fault(world, CutPlatform(6.0))
    both = cuts(world)
    assert first <= both
    world.run_until(start + 6.1)
    second = cuts(world)
    assert len(second) == len(HERITAGE.zones)
    assert second <= both
    world.run_until(start + 9.1)
    assert not cuts(world)


@pytest.mark.parametrize(
    ("fault", "is_active"),
    [
        (PlatformDown(6.0), lambda world: world.platform_down),
        (PlatformStale(5.0), lambda world: world.stale_platform is not None),
        (LoseHandoverAcks(6.0), lambda world: world.drop_handover_acks),
    ],
)
def test_a_second_fault_of_a_kind_lasts_beyond_the_first(fault, is_active):
    world = World(HERITAGE, 1, WorldSettings())
    start = world.now
    assert inject_fault(world, fault)
    world.run_until(start + 3.0)
    assert is_active(world)
    assert inject_fault(world, fault)
    for at in (5.9, 6.1, 8.9):
        world.run_until(start + at)
        assert is_active(world)
    world.run_until(start + 9.1)
    assert not is_active(world)


def test_a_stale_platform_does_not_answer_from_a_newer_copy_while_both_faults_last():
    world = World(HERITAGE, 1, WorldSettings())
    start = world.now
    inject_fault(world, PlatformStale(5.0))
    world.run_until(start + 3.0)
    copy = world.stale_platform
    inject_fault(world, PlatformStale(5.0))
    world.run_until(start + 5.0)
    assert world.stale_platform is copy


def test_no_handover_replies_are_lost_when_no_entry_vm_can_stop():
    world = World(HERITAGE, 1, WorldSettings())
    while inject_fault(world, LoseHandoverAcks(0.0)):
        world.run_until(world.now + 0.01)
    assert not inject_fault(world, LoseHandoverAcks(6.0))
    assert not world.drop_handover_acks
