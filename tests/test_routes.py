"""Route tables and the deltas between them."""

from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from marjoramford.opaque_flows.routes import (
    Route,
    RouteHistory,
    RouteTable,
    WarmupLimit,
    WeightedService,
)


def route(port, service="a"):
    return Route(1, port, (WeightedService(service, 1.0),))


def test_new_flows_are_split_by_weight():
    split = Route(1, 1, (WeightedService("a", 90.0), WeightedService("b", 10.0)))
    random = Random(1)
    drawn = [split.choose_service(random) for _ in range(2000)]
    assert 0.87 < drawn.count("a") / 2000 < 0.93


tables = st.lists(
    st.dictionaries(st.integers(1, 6), st.sampled_from("abc"), max_size=6), min_size=1, max_size=8
)


@given(tables, st.integers(0, 9))
def test_deltas_lead_from_any_version_to_the_newest(contents, asked):
    history = RouteHistory(4)
    made = [
        RouteTable(version, tuple(route(*item) for item in content.items()), 15.0)
        for version, content in enumerate(contents, 1)
    ]
    for table in made:
        history.add(table)
    changes = history.changes_since(asked)
    if asked >= len(made):
        assert changes is None
        return
    base = RouteTable(0, (), 15.0) if changes.base == 0 else made[asked - 1]
    assert set(base.with_changes(changes).routes()) == set(made[-1].routes())


def test_the_delta_of_one_route_is_small():
    """In a burst of changes, whole tables of 60 routes for 8 followers take 40 KB per change."""
    history = RouteHistory(4)
    history.add(RouteTable(1, tuple(route(port) for port in range(60)), 15.0))
    history.add(RouteTable(2, tuple(route(port) for port in range(61)), 15.0))
    assert len(msgspec.json.encode(history.changes_since(1))) < 250


@given(tables, st.data())
def test_deltas_lead_from_any_version_and_era_to_the_newest(contents, data):
    """Each table is either a new version or the same one, written again in a newer era."""
    history = RouteHistory(4)
    made = {}
    version = era = 0
    for content in contents:
        if version and data.draw(st.booleans()):
            era += 1
        else:
            version += 1
        table = RouteTable(version, tuple(route(*item) for item in content.items()), 15.0, era)
        made[table.order] = table
        history.add(table)
    newest = made[version, era]
    for order, table in made.items():
        changes = history.changes_since(*order)
        if table is newest:
            assert changes is None
            continue
        base = (
            RouteTable(0, (), 15.0) if changes.base == 0 else made[changes.base, changes.base_era]
        )
        assert base is table or changes.base == 0
        result = base.with_changes(changes)
        assert result.order == newest.order
        assert result.has_content_of(newest)


def test_the_era_of_routes_is_left_out_of_messages_at_zero():
    history = RouteHistory(4)
    history.add(RouteTable(1, (route(1),), 15.0))
    assert b"era" not in msgspec.json.encode(history.changes_since(0))


limits = st.dictionaries(st.sampled_from("ab"), st.sampled_from([1.0, 2.5]))


@given(st.lists(limits, min_size=1, max_size=6), st.integers(0, 6))
def test_deltas_carry_the_limits_of_cold_servers_from_any_version(contents, asked):
    history = RouteHistory(4)
    made = [RouteTable(0, (), 15.0)]
    for version, content in enumerate(contents, 1):
        made.append(
            RouteTable(
                version, (route(1),), 15.0, 0, tuple(WarmupLimit(*pair) for pair in content.items())
            )
            if content
            else RouteTable(version, (route(1),), 15.0)
        )
        history.add(made[-1])
    changes = history.changes_since(asked)
    if changes is None:
        return
    sent = msgspec.json.decode(msgspec.json.encode(changes), type=type(changes))
    base = made[0] if sent.base == 0 else made[sent.base]
    assert base.with_changes(sent).has_content_of(made[-1])
    if sent.base and contents[sent.base - 1] == contents[-1]:
        assert sent.warmup_limits is None


def test_a_change_of_the_limits_alone_is_a_change_of_content():
    first = RouteTable(1, (route(1),), 15.0, 0, (WarmupLimit("a", 5.0),))
    assert not first.has_content_of(RouteTable(1, (route(1),), 15.0, 1))
    assert (first.warmup_limit("a"), first.warmup_limit("b")) == (5.0, 0.0)


def test_a_table_without_limits_sends_nothing_of_them():
    history = RouteHistory(4)
    history.add(RouteTable(1, (route(1),), 15.0))
    assert b"warmup" not in msgspec.json.encode(history.changes_since(0))
