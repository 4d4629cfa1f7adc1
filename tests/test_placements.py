"""Placement of new flows under the load patterns that `opaque_flows.placements` describes."""

from collections import Counter
from random import Random

from marjoramford.opaque_flows.flow_settings import PlacementSettings
from marjoramford.opaque_flows.placements import choose_server

from .flow_worlds import START, FlowWorld, record

SETTINGS = PlacementSettings()


def servers(*records):
    return list(FlowWorld(*records).balancer.server_list.servers.values())


def choose(candidates, avoided=(), zone="a", seed=1):
    return choose_server(candidates, avoided, zone, START, SETTINGS, Random(seed))


def test_steady_load_goes_to_the_least_busy_server_of_the_zone():
    near, busy, far = servers(record("s-1"), record("s-2", 2), record("s-3", 3, zone="b"))
    busy.in_progress = 1
    assert {choose([near, busy, far], seed=seed).name for seed in range(20)} == {"s-1"}


def test_load_of_moved_callers_spills_over_to_other_zones():
    near, far = servers(record("s-1"), record("s-2", 2, zone="b"))
    near.in_progress = 3
    assert choose([near, far]) is far


def test_a_partitioned_zone_uses_its_own_servers_even_if_they_are_busy():
    near, far = servers(record("s-1"), record("s-2", 2, zone="b"))
    near.in_progress = 5
    far.responsiveness.suspected_until = START + 1.0
    assert choose([near, far]) is near


def test_unlisted_servers_are_the_last_choice():
    listed, unlisted = servers(record("s-1"), record("s-2", 2))
    unlisted.unlisted_since = START
    assert choose([listed, unlisted], avoided=[listed]) is unlisted
    assert choose([listed, unlisted]) is listed


def test_a_server_that_is_warming_up_is_penalized():
    cold, warm = servers(record("s-1", warm_at=START + 5.0), record("s-2", 2))
    assert choose([cold, warm]) is warm


def test_equally_loaded_servers_share_flows_evenly():
    four = servers(*(record(f"s-{n}", n) for n in range(1, 5)))
    random = Random(3)
    counts = Counter(
        choose_server(four, (), "a", START, SETTINGS, random).name for _ in range(4000)
    )
    assert max(counts.values()) / min(counts.values()) < 1.15


def test_without_a_server_there_is_no_choice():
    assert choose([]) is None
