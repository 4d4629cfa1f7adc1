"""Reading the stand-in of the platform's store and following another entry VM."""

import asyncio
import time
from itertools import pairwise
from random import Random

import msgspec
import pytest
from result import Ok

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.http_calls import HttpClient
from marjoramford.opaque_flows.http_services import HttpResponse, serve_http
from marjoramford.opaque_flows.peer_groups import PeerGroup
from marjoramford.opaque_flows.published_states import PublishedState, apply_state
from marjoramford.opaque_flows.routes import RouteTable
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.opaque_flows.state_readers import MemberExchange, StateReader
from marjoramford.opaque_flows.state_versions import NOTHING_READ
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm
from marjoramford.shared.errors import Step
from marjoramford.standins.packet_stores import PacketStore
from marjoramford.standins.virtual_loops import run_virtually

from .flow_worlds import SETTINGS, START, FlowWorld, record, removal, route_table, snapshot
from .test_platform_borders import own_group
from .test_platform_packets import CONFIG, SERVER

HOST = "127.0.0.1"


def port_of(server):
    return server.sockets[0].getsockname()[1]


async def serve(handler):
    """Serves on a free port; returns the server and its address."""
    server = await serve_http(Address(HOST, 0), handler)
    return server, Address(HOST, port_of(server))


def filled_store(servers=3, page_items=2):
    store = PacketStore(page_items)
    store.put("op/config", CONFIG)
    for number in range(servers):
        store.put(f"servers/i-{number}", SERVER)
    store.put("servers/i-ff", b"\xff")
    return store


async def reader_of(store):
    server, address = await serve(store.answer)
    settings = msgspec.structs.replace(SETTINGS, platform=str(address))
    balancer = FlowBalancer(settings, Random(1), 0.0)
    return server, balancer, StoreReader(settings, balancer)


def names(balancer):
    return sorted(entry.name for entry in balancer.server_list.changes_since(NOTHING_READ).records)


def test_all_pages_are_read_then_changes_are_watched():
    async def scenario():
        store = filled_store()
        server, balancer, reader = await reader_of(store)
        assert (await reader.read(0.1)).unwrap()
        assert names(balancer) == ["i-0", "i-1", "i-2"]
        assert balancer.routes.version == 7
        store.remove("servers/i-0")
        store.put("servers/i-9", SERVER)
        assert (await reader.read(5.0)).unwrap()
        assert names(balancer) == ["i-1", "i-2", "i-9"]
        assert not (await reader.read(0.01)).unwrap()
        server.close()

    asyncio.run(scenario())


def test_everything_is_read_again_after_the_history_is_lost():
    async def scenario():
        store = filled_store()
        server, balancer, reader = await reader_of(store)
        await reader.read(0.1)
        store.remove("servers/i-0")
        store.compact_history()
        assert (await reader.read(0.1)).is_err()
        assert (await reader.read(0.1)).unwrap()
        assert names(balancer) == ["i-1", "i-2"]
        server.close()

    asyncio.run(scenario())


def test_an_entry_that_becomes_invalid_removes_its_server():
    async def scenario():
        store = filled_store()
        server, balancer, reader = await reader_of(store)
        await reader.read(0.1)
        store.put("servers/i-1", b"{}")
        await reader.read(5.0)
        assert names(balancer) == ["i-0", "i-2"]
        server.close()

    asyncio.run(scenario())


def test_the_state_stays_in_force_while_the_store_is_down():
    async def scenario():
        store = filled_store()
        server, balancer, reader = await reader_of(store)
        await reader.read(0.1)
        store.down = True
        error = (await reader.read(0.1)).unwrap_err()
        assert "503" in error.reason
        assert names(balancer) == ["i-0", "i-1", "i-2"]
        store.down = False
        assert (await reader.read(0.01)).is_ok()
        server.close()

    asyncio.run(scenario())


def test_a_silent_connection_times_out():
    async def scenario():
        writers = []

        async def swallow(reader, writer):
            writers.append(writer)
            await reader.read(1000)
            await asyncio.sleep(60)

        server = await asyncio.start_server(swallow, HOST, 0)
        client = HttpClient(Address(HOST, port_of(server)), Step.READ_PLATFORM)
        result = await client.get("/", timeout=0.05)
        assert result.is_err()
        assert result.unwrap_err().step == Step.READ_PLATFORM
        for writer in writers:
            writer.transport.abort()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "reply", [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"]
)
def test_malformed_and_truncated_responses_are_errors(reply):
    async def scenario():
        async def answer(reader, writer):
            await reader.read(1000)
            writer.write(reply)
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        client = HttpClient(Address(HOST, port_of(server)), Step.READ_PLATFORM)
        assert (await client.get("/", timeout=5.0)).is_err()
        server.close()

    asyncio.run(scenario())


def test_a_connection_is_reused():
    async def scenario():
        async def echo(request):
            return HttpResponse(200, request.body or request.target.encode())

        server, address = await serve(echo)
        client = HttpClient(address, Step.GOSSIP)
        assert (await client.get("/a", 5.0)).unwrap().body == b"/a"
        first = client._writer
        assert (await client.post("/b", b"xyz", 5.0)).unwrap().body == b"xyz"
        assert client._writer is first
        client.close()
        server.close()

    asyncio.run(scenario())


def test_a_follower_gets_a_snapshot_and_then_deltas():
    async def scenario():
        leader = FlowWorld(record("s-1"), record("s-2", 2), start=time.monotonic())
        follower = FlowBalancer(SETTINGS, Random(1), time.monotonic())
        publisher = StatePublisher(leader.balancer)

        async def ask(wait):
            version = follower.routes.version if follower.routes else 0
            body = await publisher.answer(follower.server_list.version.revision, version, wait)
            state = msgspec.json.decode(body, type=PublishedState)
            apply_state(state, follower, time.monotonic())

        await ask(0.0)
        assert follower.ready
        assert names(follower) == ["s-1", "s-2"]
        waiting = asyncio.create_task(ask(30.0))
        await asyncio.sleep(0)
        leader.apply(removal("s-1", 101))
        publisher.notify()
        await waiting
        assert names(follower) == ["s-2"]
        leader.balancer.installed_routes.apply(route_table(version=2, service="other"))
        await ask(0.0)
        assert follower.routes.version == 2
        assert follower.routes.routes() == leader.balancer.routes.routes()
        leader.balancer.installed_routes.apply(RouteTable(3, (), 15.0))
        await ask(0.0)
        assert len(follower.routes) == 0

    asyncio.run(scenario())


class ChangingPlatform:
    """Changes at each of the first reads, then no more; remembers when it was read."""

    def __init__(self, changes):
        self.read_at = []
        self._changes = changes

    async def read(self, wait):
        self.read_at.append(time.monotonic())
        if len(self.read_at) > self._changes:
            await asyncio.sleep(wait)
        return Ok(len(self.read_at) <= self._changes)


def test_changes_in_quick_succession_are_gathered():
    """Cold servers change their entries at each heartbeat; each change cost a call."""

    async def scenario():
        balancer = FlowBalancer(SETTINGS, Random(1), time.monotonic())
        balancer.server_list.apply(snapshot(record("s-1")), time.monotonic())
        platform = ChangingPlatform(4)
        reader = StateReader(SETTINGS, balancer, own_group(), platform, StatePublisher(balancer))
        running = asyncio.create_task(reader.run())
        while len(platform.read_at) < 5:
            await asyncio.sleep(0.01)
        running.cancel()
        return [after - before for before, after in pairwise(platform.read_at)]

    first, *others = run_virtually(scenario())
    assert first == pytest.approx(SETTINGS.reads.settle_seconds, abs=0.05)
    assert others == [pytest.approx(SETTINGS.reads.busy_settle_seconds, abs=0.05)] * 3


def test_an_entry_vm_without_state_reports_none():
    async def scenario():
        empty = FlowBalancer(SETTINGS, Random(1), START)
        body = await StatePublisher(empty).answer(0, 0, 0.0)
        state = msgspec.json.decode(body, type=PublishedState)
        assert state.age is None
        follower = FlowBalancer(SETTINGS, Random(1), START)
        apply_state(state, follower, START)
        assert not follower.ready

    asyncio.run(scenario())


class UnreachablePlatform:
    async def read(self, wait):
        client = HttpClient(Address(HOST, 1), Step.READ_PLATFORM)
        return await client.get("/", 1.0)

    async def preload(self):
        return await self.read(0.0)


def test_a_start_during_a_platform_outage_gets_its_state_from_a_seed():
    async def scenario():
        leader = FlowWorld(record("s-1"), start=time.monotonic())
        publisher = StatePublisher(leader.balancer)

        async def answer(request):
            return HttpResponse(200, await publisher.answer(0, 0, 0.0))

        server, address = await serve(answer)
        balancer = FlowBalancer(SETTINGS, Random(1), time.monotonic())
        own = Address(HOST, 9)
        vm = EntryVm("front-2", 1, "a", own, own)
        group = PeerGroup(vm, [address], SETTINGS.peers, Random(1))
        reader = StateReader(
            SETTINGS, balancer, group, UnreachablePlatform(), StatePublisher(balancer)
        )
        task = asyncio.create_task(reader.run())
        async with asyncio.timeout(20):
            while not balancer.ready:
                await asyncio.sleep(0.01)
        task.cancel()
        server.close()
        assert names(balancer) == ["s-1"]

    asyncio.run(scenario())


def test_two_entry_vms_discover_each_other_through_a_seed():
    async def scenario():
        groups = {}

        async def answer(request):
            from marjoramford.opaque_flows.state_readers import merge_members

            assert merge_members(groups["seed"], request.body)
            return HttpResponse(200, msgspec.json.encode(groups["seed"].select_updates()))

        server, seed = await serve(answer)
        seed_vm = EntryVm("front-seed", 1, "a", seed, seed)
        groups["seed"] = PeerGroup(seed_vm, [], SETTINGS.peers, Random(1))
        for number in (1, 2):
            own = Address(HOST, 9 + number)
            vm = EntryVm(f"front-{number}", 1, "b", own, own)
            group = PeerGroup(vm, [seed], SETTINGS.peers, Random(number))
            await MemberExchange(SETTINGS, group).exchange_once()
            groups[number] = group
        assert {vm.name for vm in groups[2].entry_vms.others()} == {"front-seed", "front-1"}
        server.close()

    asyncio.run(scenario())


def test_an_empty_answer_before_the_end_of_the_wait_confirms_nothing_in_the_future():
    """A second copy of an earlier answer confirmed absences that the store had not confirmed."""

    async def scenario():
        store = filled_store()
        body = msgspec.json.encode({"events": [], "as_of": store.revision})

        async def answer(request):
            if request.target.startswith("/v1/kv-watch"):
                return HttpResponse(200, body)
            return await store.answer(request)

        server, address = await serve(answer)
        settings = msgspec.structs.replace(SETTINGS, platform=str(address))
        balancer = FlowBalancer(settings, Random(1), 0.0)
        reader = StoreReader(settings, balancer)
        await reader.read(0.1)
        assert (await reader.read(20.0)).is_ok()
        assert balancer.server_list.confirmed_at <= time.monotonic()
        server.close()

    asyncio.run(scenario())
