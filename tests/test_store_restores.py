"""The platform's store is restored from a copy: revisions go back and are assigned again."""

import asyncio
import logging
import time
from base64 import b64encode
from functools import partial
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.http_calls import HttpClient
from marjoramford.opaque_flows.http_messages import HttpReply, HttpRequest
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.addresses import Address
from marjoramford.shared.errors import Step, StepError
from marjoramford.shared.logs import LogEvent
from marjoramford.standins.packet_stores import PacketStore

from .flow_worlds import SETTINGS, FlowWorld, record, removal, snapshot, upsert
from .test_platform_packets import CONFIG, SERVER
from .test_state_readers import names, reader_of, serve


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


def check_list_after_restore(changes, revision):
    """Restores the store, makes changes up to a revision, and compares list and store."""

    async def scenario():
        store, copy = store_with_lost_changes()
        server, balancer, reader = await reader_of(store)
        assert (await reader.read(0.1)).is_ok()
        store.restore(copy)
        change_after_restore(store, changes)
        assert store.revision == revision
        for _ in range(2):
            await reader.read(0.01)
        assert names(balancer) == store_names(store)
        server.close()

    asyncio.run(scenario())


def test_a_whole_read_after_a_restore_is_ignored_because_its_revisions_are_lower():
    check_list_after_restore(changes=2, revision=7)


def test_only_the_last_of_six_changes_is_seen_because_revisions_were_assigned_again():
    check_list_after_restore(changes=6, revision=11)


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


class ScriptedClient:
    """Answers each call with the next reply of a script; keeps the targets."""

    def __init__(self, *replies):
        self._replies = list(replies)
        self.targets = []

    async def get(self, target, timeout):
        self.targets.append(target)
        return self._replies.pop(0)


def store_reply(body=None, era=None, status=200):
    headers = {} if era is None else {"store-era": era}
    return Ok(HttpReply(status, msgspec.json.encode(body), headers))


def page(*names_, as_of, has_more=False, era=None, version=None):
    """One page of a whole read, with servers and perhaps a config."""
    values = {f"servers/{name}": SERVER for name in names_}
    if version is not None:
        values = {"op/config": CONFIG | {"version": version}} | values
    items = [
        {"key": key, "revision": 1, "value": b64encode(msgspec.json.encode(value)).decode()}
        for key, value in values.items()
    ]
    return store_reply({"items": items, "has_more": has_more, "as_of": as_of}, era)


def changes(as_of, era=None):
    return store_reply({"events": [], "as_of": as_of}, era)


def scripted_reader(*replies):
    balancer = FlowBalancer(SETTINGS, Random(1), 0.0)
    reader = StoreReader(SETTINGS, balancer)
    reader._client = ScriptedClient(*replies)
    return balancer, reader


def play(reader, reads):
    async def scenario():
        return [(await reader.read(0.0)).is_ok() for _ in range(reads)]

    return asyncio.run(scenario())


def whole_reads(reader):
    """How often the first page was asked for."""
    return reader._client.targets.count("/v1/kv-range?prefix=")


def test_pages_of_two_eras_are_not_joined():
    balancer, reader = scripted_reader(
        page("i-1", as_of=9, has_more=True, era="1"),
        page("i-2", as_of=5, era="2"),
        page("i-3", as_of=6, has_more=True, era="2"),
        page("i-4", as_of=7, era="2"),
    )
    assert play(reader, 1) == [True]
    assert names(balancer) == ["i-3", "i-4"]
    assert balancer.server_list.version == StateVersion(2, 6)


def test_a_store_that_is_restored_during_each_read_is_an_error():
    pages = [page("i-1", as_of=9, has_more=True, era=str(era)) for era in range(1, 7)]
    balancer, reader = scripted_reader(*pages)
    assert play(reader, 1) == [False]
    assert not balancer.server_list.loaded


def test_the_answer_that_shows_a_new_era_is_not_used_and_everything_is_read_at_once():
    balancer, reader = scripted_reader(
        page("i-1", as_of=9), changes(12, "1"), page("i-2", as_of=12, era="1")
    )
    assert play(reader, 2) == [True, True]
    assert names(balancer) == ["i-2"]


@pytest.mark.parametrize("status", [503, 429, 500])
def test_a_refusal_that_shows_a_new_era_leads_to_a_whole_read(status):
    balancer, reader = scripted_reader(
        page("i-1", as_of=9),
        store_reply(status=status, era="1"),
        page("i-2", as_of=12, era="1"),
    )
    assert play(reader, 3) == [True, False, True]
    assert names(balancer) == ["i-2"]
    assert whole_reads(reader) == 2


def test_history_that_is_gone_in_a_new_era_is_no_failure():
    balancer, reader = scripted_reader(
        page("i-1", as_of=9), store_reply(status=410, era="1"), page("i-2", as_of=7, era="1")
    )
    assert play(reader, 2) == [True, True]
    assert names(balancer) == ["i-2"]


@pytest.mark.parametrize(
    "era", [None, "1", "", "x", "-3", "2.5", "\u0662", "9" * 400, "1, 2", "+2"]
)
def test_an_era_that_goes_back_or_cannot_be_read_is_logged_and_not_used(era, caplog):
    logging.getLogger("marjoramford").propagate = True
    balancer, reader = scripted_reader(
        page("i-1", as_of=9, era="2"), page("i-2", as_of=20, era=era), changes(9, "2")
    )
    # The cursor asks for changes; a body of the wrong kind must not be looked at either.
    with caplog.at_level(logging.WARNING, logger="marjoramford"):
        assert play(reader, 3) == [True, False, True]
    events = [line.event for line in caplog.records]
    assert events == [LogEvent.PLATFORM_ANSWER_IGNORED]
    assert names(balancer) == ["i-1"]
    assert balancer.server_list.version == StateVersion(2, 9)


def test_a_late_answer_of_the_older_era_does_not_confirm_the_list():
    balancer, reader = scripted_reader(page("i-1", as_of=9, era="2"), changes(9, "1"))
    play(reader, 1)
    confirmed_at = balancer.server_list.confirmed_at
    assert play(reader, 1) == [False]
    assert balancer.server_list.confirmed_at == confirmed_at


def test_a_restore_whose_first_answer_is_lost_is_seen_in_the_next():
    lost = Err(StepError(Step.READ_PLATFORM, "store", "connection lost"))
    balancer, reader = scripted_reader(
        page("i-1", as_of=9), lost, changes(12, "1"), page("i-2", as_of=12, era="1")
    )
    assert play(reader, 3) == [True, False, True]
    assert names(balancer) == ["i-2"]
    assert whole_reads(reader) == 2


def test_a_restore_that_is_missed_altogether_is_made_up_for_by_the_next():
    balancer, reader = scripted_reader(
        page("i-1", as_of=9, era="1"), changes(12, "3"), page("i-2", as_of=12, era="3")
    )
    assert play(reader, 2) == [True, True]
    assert names(balancer) == ["i-2"]
    assert balancer.server_list.version == StateVersion(3, 12)


def test_an_era_learnt_from_a_peer_makes_a_whole_read_due():
    balancer, reader = scripted_reader(page("i-1", as_of=9), page("i-2", as_of=12, era="1"))
    play(reader, 1)
    balancer.server_list.apply(snapshot(record("s-1"), revision=8, era=1), time.monotonic())
    assert play(reader, 1) == [True]
    assert names(balancer) == ["i-2"]
    assert len(reader._client.targets) == 2


def test_routes_stay_in_force_until_the_restored_store_has_a_version_as_new():
    balancer, reader = scripted_reader(
        page(as_of=9, version=8),
        changes(5, "1"),
        page(as_of=5, version=7, era="1"),
        changes(6, "2"),
        page(as_of=6, version=8, era="2"),
    )
    play(reader, 2)
    assert balancer.routes.order == (8, 0)
    play(reader, 1)
    assert balancer.routes.order == (8, 2)


def test_two_restores_in_a_row_cost_one_whole_read_each():
    async def scenario():
        store, copy = store_with_lost_changes()
        server, balancer, reader = await reader_of(store)
        await reader.read(0.01)
        for number in range(2):
            before = store.calls.copy()
            store.restore(copy)
            store.put(f"servers/i-b{number}", SERVER)
            for _ in range(3):
                assert (await reader.read(0.01)).is_ok()
            assert names(balancer) == store_names(store)
            assert store.calls["/v1/kv-range"] - before["/v1/kv-range"] == 1
        assert balancer.server_list.version.era == 2
        server.close()

    asyncio.run(scenario())


def test_two_restores_that_are_seen_as_one_cost_one_whole_read():
    async def scenario():
        store, copy = store_with_lost_changes()
        server, balancer, reader = await reader_of(store)
        await reader.read(0.01)
        store.restore(copy)
        store.put("servers/i-b", SERVER)
        store.restore(copy)
        before = store.calls["/v1/kv-range"]
        for _ in range(3):
            assert (await reader.read(0.01)).is_ok()
        assert names(balancer) == store_names(store)
        assert store.calls["/v1/kv-range"] - before == 1
        server.close()

    asyncio.run(scenario())


def test_a_reader_that_starts_again_between_two_restores_has_what_the_store_has():
    async def scenario():
        store, copy = store_with_lost_changes()
        server, _, reader = await reader_of(store)
        await reader.read(0.01)
        store.restore(copy)
        server.close()
        server, balancer, reader = await reader_of(store)
        assert (await reader.read(0.01)).is_ok()
        assert balancer.server_list.version == StateVersion(1, 5)
        store.restore(copy)
        change_after_restore(store, 4)
        await reader.read(0.01)
        assert names(balancer) == store_names(store)
        server.close()

    asyncio.run(scenario())


class Zone:
    """Entry VMs on loopback: one reads the store, the others follow it or another peer."""

    def __init__(self, store):
        self.store = store
        self.servers = []

    async def add_vm(self):
        """Starts an entry VM that serves peers; returns it and its address."""
        server, address = await serve(self.store.answer)
        settings = msgspec.structs.replace(SETTINGS, platform=str(address))
        vm = PacketVm(settings, None, StoreReader, lambda: None)
        own, own_address = await serve(vm._handle_request)
        self.servers += [server, own]
        return vm, own_address

    def close(self):
        for server in self.servers:
            server.close()


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


def test_waiting_followers_are_told_of_the_new_era_within_a_tenth_of_a_second():
    async def scenario():
        store, copy = store_with_lost_changes()
        zone = Zone(store)
        first, address = await zone.add_vm()
        followers = [(await zone.add_vm())[0] for _ in range(5)]
        await first._reader._read_platform(0.01)
        for vm in followers:
            await vm._reader._follow(address, 0.0)
        reading = asyncio.create_task(first._reader._read_platform(20.0))
        asked = [asyncio.create_task(vm._reader._follow(address, 20.0)) for vm in followers]
        await asyncio.sleep(0.2)
        store.restore(copy)
        await until(lambda: first.balancer.server_list.version.era == 1)
        seen_at = time.monotonic()
        await asyncio.gather(*asked)
        assert time.monotonic() - seen_at < 0.1
        assert store.calls["/v1/kv-range"] == 2
        for vm in followers:
            assert vm.balancer.server_list.version == StateVersion(1, 5)
            assert names(vm.balancer) == store_names(store)
        await reading
        zone.close()

    asyncio.run(scenario())


def test_a_peer_that_missed_the_restore_takes_nobody_back_and_is_avoided():
    async def scenario():
        store, copy = store_with_lost_changes()
        zone = Zone(store)
        current, _ = await zone.add_vm()
        frozen, frozen_address = await zone.add_vm()
        for vm in (current, frozen):
            await vm._reader._read_platform(0.01)
        store.restore(copy)
        await current._reader._read_platform(0.01)
        confirmed_at = current.balancer.server_list.confirmed_at
        await current._reader._follow(frozen_address, 0.0)
        assert current.balancer.server_list.version == StateVersion(1, 5)
        assert current.balancer.server_list.confirmed_at == confirmed_at
        assert names(current.balancer) == store_names(store)
        assert current._group._avoided_until[frozen_address] > time.monotonic()
        zone.close()

    asyncio.run(scenario())


def test_a_zone_that_is_cut_from_the_store_goes_on_and_catches_up_afterwards():
    async def scenario():
        store, copy = store_with_lost_changes()
        zone = Zone(store)
        reader, address = await zone.add_vm()
        follower, _ = await zone.add_vm()
        await reader._reader._read_platform(0.01)
        await follower._reader._follow(address, 0.0)
        before = names(follower.balancer)
        cut = reader._reader._platform._client
        reader._reader._platform._client = HttpClient(Address("127.0.0.1", 1), Step.READ_PLATFORM)
        for _ in range(2):
            store.restore(copy)
            change_after_restore(store, 3)
            await reader._reader._read_platform(0.01)
            await follower._reader._follow(address, 0.0)
            assert names(reader.balancer) == names(follower.balancer) == before
        reader._reader._platform._client = cut
        await reader._reader._read_platform(0.01)
        await follower._reader._follow(address, 0.0)
        assert names(reader.balancer) == names(follower.balancer) == store_names(store)
        assert follower.balancer.server_list.version.era == 2
        zone.close()

    asyncio.run(scenario())


def test_all_readers_are_restarted_during_the_restore():
    async def scenario():
        store, copy = store_with_lost_changes()
        zone = Zone(store)
        reader, address = await zone.add_vm()
        follower, _ = await zone.add_vm()
        await reader._reader._read_platform(0.01)
        await follower._reader._follow(address, 0.0)
        store.restore(copy)
        change_after_restore(store, 6)
        restarted, address = await zone.add_vm()
        # The new process knows nothing yet: the follower keeps what it has.
        await follower._reader._follow(address, 0.0)
        assert follower.balancer.server_list.version == StateVersion(0, 10)
        await restarted._reader._read_platform(0.01)
        await follower._reader._follow(address, 0.0)
        assert names(follower.balancer) == store_names(store)
        zone.close()

    asyncio.run(scenario())


def test_no_open_flow_is_reset_over_a_restore_while_its_server_lives():
    world = FlowWorld(record("s-1"), record("s-2", 2))
    callers = [world.caller() for _ in range(8)]
    servers = [caller.establish() for caller in callers]
    assert len({server.name for server in servers}) == 2
    world.apply(snapshot(record("s-2", 2), revision=50, era=1))
    resets = []
    for _ in range(20):
        resets += world.advance(0.1)
        world.confirm()
    world.apply(upsert(record("s-1", 51), era=1))
    for _ in range(50):
        resets += world.advance(0.1)
        world.confirm()
    assert not resets
    for caller, server in zip(callers, servers, strict=True):
        assert caller.request().server is server


def test_new_flows_avoid_a_server_that_only_the_copy_lists_but_its_open_flows_go_on():
    world = FlowWorld(record("s-1"), record("s-2", 2))
    callers = [world.caller() for _ in range(8)]
    servers = [caller.establish() for caller in callers]
    world.apply(removal("s-1", 101))
    for _ in range(30):
        world.advance(0.1)
        world.confirm()
    assert world.server("s-1").gone
    world.apply(snapshot(record("s-1"), record("s-2", 2), revision=50, era=1))
    assert {world.caller().establish().name for _ in range(10)} == {"s-2"}
    for caller, server in zip(callers, servers, strict=True):
        assert caller.request().server is server


def test_only_the_last_servers_of_a_service_take_flows_while_they_are_unlisted():
    """All entries of a service had expired when the copy brought them back: no flow is refused."""
    world = FlowWorld(record("s-1"))
    world.apply(removal("s-1", 101))
    world.apply(snapshot(record("s-1"), revision=50, era=1))
    assert world.caller().open().server.name == "s-1"


class StoreClient:
    """Asks a stand-in without sockets; the store may change while an answer is on its way."""

    def __init__(self, store):
        self.store = store
        self.is_lossy = False
        self.changes = []

    async def get(self, target, timeout):
        response = await self.store.answer(HttpRequest("GET", target, b""))
        while self.changes:
            self.changes.pop(0)()
        if self.is_lossy:
            return Err(StepError(Step.READ_PLATFORM, "store", "connection lost"))
        headers = {name.lower(): value for name, value in response.headers}
        return Ok(HttpReply(response.status, response.body, headers))


class RestoredStore:
    """A small store whose copies are taken and restored by a script."""

    def __init__(self):
        self.store = PacketStore(page_items=2)
        self.written = 0
        self.put("i-1")
        self.copy = self.store.take_copy()

    def put(self, name):
        self.written += 1
        self.store.put(f"servers/{name}", SERVER | {"slots": self.written})

    def change(self, action, name):
        match action:
            case "put":
                self.put(name)
            case "remove":
                self.store.remove(f"servers/{name}")
            case "drain":
                self.store.put(f"op/evacuate/{name}", {})
            case "return":
                self.store.remove(f"op/evacuate/{name}")
            case "copy":
                self.copy = self.store.take_copy()
            case "restore":
                self.store.restore(self.copy)
            case "compact":
                self.store.compact_history()
            case "refuse":
                self.store.down = not self.store.down


store_changes = st.tuples(
    st.sampled_from(
        ["put", "put", "remove", "drain", "return", "copy", "restore", "compact", "refuse"]
    ),
    st.sampled_from(["i-1", "i-2", "i-3", "i-4", "i-5"]),
)
reads = st.tuples(
    st.sampled_from(["read", "lose"]),
    st.lists(store_changes, max_size=4),
)


@given(st.lists(st.one_of(store_changes, reads), max_size=30))
def test_two_undisturbed_reads_after_any_restores_give_what_the_store_has(script):
    async def scenario():
        restored = RestoredStore()
        client = StoreClient(restored.store)
        balancer = FlowBalancer(SETTINGS, Random(1), 0.0)
        reader = StoreReader(SETTINGS, balancer)
        reader._client = client
        newest = StateVersion()
        for action, detail in script:
            if action in ("read", "lose"):
                client.is_lossy = action == "lose"
                client.changes = [partial(restored.change, *change) for change in detail]
                await reader.read(0.0)
            else:
                restored.change(action, detail)
            assert balancer.server_list.version >= newest
            newest = balancer.server_list.version
        client.is_lossy, client.changes, restored.store.down = False, [], False
        await reader.read(0.0)
        assert (await reader.read(0.0)).is_ok()
        records = balancer.server_list.changes_since(StateVersion()).records
        stored = restored.store.take_copy().items.values()
        drains = balancer.server_list.drains.snapshot()
        assert {f"servers/{entry.name}": entry.revision for entry in records} | {
            f"op/evacuate/{drain.zone}": drain.revision for drain in drains
        } == {entry["key"]: entry["revision"] for entry in stored}

    asyncio.run(scenario())


def test_a_drill_costs_one_whole_read_for_each_reading_vm():
    """The store is away for a moment and comes back from a copy; what was lost is written again."""

    async def scenario():
        store, copy = store_with_lost_changes()
        zone = Zone(store)
        vms = [(await zone.add_vm())[0] for _ in range(4)]
        tasks = [asyncio.create_task(vm._reader.run()) for vm in vms]
        lists = [vm.balancer.server_list for vm in vms]
        await until(lambda: all(server_list.loaded for server_list in lists))
        store.down = True
        store.put("servers/i-8", SERVER)
        await until(lambda: all(vm._group.platform_failures for vm in vms))
        before = store.calls["/v1/kv-range"]
        store.restore(copy)
        store.down = False
        await until(lambda: all(server_list.version.era == 1 for server_list in lists))
        for number in range(3, 9):
            store.put(f"servers/i-{number}", SERVER)
        at = StateVersion(1, store.revision)
        await until(lambda: all(server_list.version == at for server_list in lists))
        for task in tasks:
            task.cancel()
        assert store.calls["/v1/kv-range"] - before == len(vms)
        for vm in vms:
            assert names(vm.balancer) == store_names(store)
            assert all(s.unlisted_since is None for s in vm.balancer.server_list.servers.values())
        zone.close()

    asyncio.run(scenario())
