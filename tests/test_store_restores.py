"""The platform's store is restored from a copy: revisions go back and are assigned again."""

import asyncio
import time

from marjoramford.standins.packet_stores import PacketStore

from .test_platform_packets import CONFIG, SERVER
from .test_state_readers import names, reader_of


def store_names(store):
    """Names of the servers in the store."""
    return sorted(key.removeprefix("servers/") for key in store.take_copy().items if "/i-" in key)


def store_with_lost_changes():
    """A store at revision 10, and a copy from revision 5 that lacks the changes since."""
    store = PacketStore()
    store.put("op/config", CONFIG)
    for number in range(3):
        store.put(f"servers/i-{number}", SERVER)
    copy = store.take_copy()
    assert copy.revision == 5
    for number in range(3, 8):
        store.put(f"servers/i-{number}", SERVER)
    assert store.revision == 10
    return store, copy


def change_after_restore(store, changes):
    """Removes one server, then writes others, until there are as many changes as wanted."""
    store.remove("servers/i-0")
    for number in range(changes - 1):
        store.put(f"servers/i-a{number}", SERVER)


def test_a_whole_read_after_a_restore_is_ignored_because_its_revisions_are_lower():
    async def scenario():
        store, copy = store_with_lost_changes()
        server, balancer, reader = await reader_of(store)
        assert (await reader.read(0.1)).is_ok()
        store.restore(copy)
        change_after_restore(store, 2)
        assert store.revision == 7
        for _ in range(2):
            await reader.read(0.01)
        assert names(balancer) == store_names(store)
        server.close()

    asyncio.run(scenario())


def test_only_the_last_of_six_changes_is_seen_because_revisions_were_assigned_again():
    async def scenario():
        store, copy = store_with_lost_changes()
        server, balancer, reader = await reader_of(store)
        assert (await reader.read(0.1)).is_ok()
        store.restore(copy)
        change_after_restore(store, 6)
        assert store.revision == 11
        for _ in range(2):
            await reader.read(0.01)
        assert names(balancer) == store_names(store)
        server.close()

    asyncio.run(scenario())


def test_a_watch_that_waits_is_answered_when_the_stand_in_is_restored():
    async def scenario():
        store, copy = store_with_lost_changes()
        server, _, reader = await reader_of(store)
        await reader.read(0.1)
        waiting = asyncio.create_task(reader.read(20.0))
        while not store.calls["/v1/kv-watch"]:
            await asyncio.sleep(0.01)
        restored_at = time.monotonic()
        store.restore(copy)
        await waiting
        assert time.monotonic() - restored_at < 1.0
        server.close()

    asyncio.run(scenario())
