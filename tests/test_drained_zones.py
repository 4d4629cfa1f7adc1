"""Drains of zones on their way from the platform's store to entry VMs, with partial failures."""

import asyncio

from marjoramford.opaque_flows.state_versions import StateVersion

from .test_platform_packets import SERVER
from .test_state_readers import filled_store, reader_of


def fill(page_items=2):
    """A store with one server in zone b and others elsewhere."""
    store = filled_store(page_items=page_items)
    store.put("servers/i-b", SERVER | {"zone": "b"})
    return store


def drained(balancer):
    return sorted(balancer.server_list.drains.drained_zones())


def test_drains_are_read_whole_and_watched(caplog):
    async def scenario():
        store = fill()
        store.put("op/evacuate/a", {})
        server, balancer, reader = await reader_of(store)
        assert (await reader.read(0.1)).is_ok()
        assert drained(balancer) == ["a"]
        store.put("op/evacuate/b", b"\xff")
        store.put("op/evacuate/", {})
        store.put("op/evacuate/" + "z" * 65, {})
        store.remove("op/evacuate/a")
        assert (await reader.read(5.0)).is_ok()
        assert drained(balancer) == ["b"]
        assert not balancer.server_list.servers.get("i-b").accepts_work
        server.close()

    asyncio.run(scenario())
    keys = [entry.fields["key"] for entry in caplog.records if entry.event == 301]
    assert [key for key in keys if "evacuate" in key] == [
        "op/evacuate/b",
        "op/evacuate/",
        "op/evacuate/" + "z" * 65,
    ]


def test_a_drain_that_ends_in_dropped_history_ends_with_the_next_whole_read():
    async def scenario():
        store = fill()
        store.put("op/evacuate/a", {})
        server, balancer, reader = await reader_of(store)
        await reader.read(0.1)
        store.remove("op/evacuate/a")
        store.put("op/evacuate/b", {})
        store.compact_history()
        assert (await reader.read(0.1)).is_err()
        assert drained(balancer) == ["a"]
        assert (await reader.read(0.1)).is_ok()
        assert drained(balancer) == ["b"]
        server.close()

    asyncio.run(scenario())


def test_a_restored_store_drains_again_what_its_copy_drains_and_keeps_what_it_lacks():
    """The copy is from before the end of one drain and before the start of another."""

    async def scenario():
        store = fill()
        store.put("op/evacuate/a", {})
        copy = store.take_copy()
        store.remove("op/evacuate/a")
        store.put("op/evacuate/b", {})
        server, balancer, reader = await reader_of(store)
        await reader.read(0.1)
        assert drained(balancer) == ["b"]
        store.restore(copy)
        assert (await reader.read(0.1)).is_ok()
        assert drained(balancer) == ["a", "b"]
        # The operator writes again what the copy lost.
        store.remove("op/evacuate/a")
        store.put("op/evacuate/b", {})
        assert (await reader.read(5.0)).is_ok()
        assert drained(balancer) == ["b"]
        assert balancer.server_list.drains.find("b").version == StateVersion(1, store.revision)
        server.close()

    asyncio.run(scenario())
