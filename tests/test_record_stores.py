"""Record stores are monotonic and converge, whatever the order in which records arrive.

Guards against a stale record overwriting a newer one, and against gaps that a receiver of deltas
cannot detect.
"""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from marjoramford.standins.deployments import HERITAGE
from marjoramford.token_flows.record_stores import RecordStore

BASE = HERITAGE.services[0].entry("o", 1, 1)
changes = st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=12)


def publish(names) -> RecordStore:
    store = RecordStore()
    for revision, name in enumerate(names, start=1):
        store.apply(msgspec.structs.replace(BASE, name=name, revision=revision))
        store.advance(revision)
    return store


@given(names=changes, order=st.randoms(use_true_random=False), limit=st.integers(1, 4))
def test_revisions_never_decrease_and_stores_converge(names, order, limit):
    source = publish(names)
    records = [msgspec.structs.replace(BASE, name=n, revision=r) for r, n in enumerate(names, 1)]
    target = RecordStore()
    order.shuffle(records)
    for record in records[: len(records) // 2] * 2:
        before = target.get(record.key)
        target.apply(record)
        assert target.get(record.key).revision >= (before.revision if before else 0)
    while target.through < source.through:
        batch = source.changes_after(target.through, limit)
        for record in batch.records:
            target.apply(record)
        target.advance(batch.through)
    assert {r.key: r for r in target.values()} == {r.key: r for r in source.values()}


def test_records_beyond_a_gap_are_left_out_of_deltas():
    store = publish(["a"])
    store.apply(msgspec.structs.replace(BASE, name="b", revision=5))
    assert store.changes_after(0, 10).through == 1
    assert [record.name for record in store.changes_after(0, 10).records] == ["a"]
