"""Open flows while an entry VM starts.

Load pattern: all entry VMs lose power at once, and callers retransmit on their open flows. Reading
the routes may take longer than a caller waits between two retransmissions.
"""

import asyncio
from base64 import b64encode
from random import Random

import msgspec
from result import Err, Ok

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.flow_labels import derive_label
from marjoramford.opaque_flows.http_messages import HttpReply, HttpRequest
from marjoramford.opaque_flows.packets import DropPacket, FlowKey, Forward, PacketHeader
from marjoramford.opaque_flows.published_states import apply_state, decode_state
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.opaque_flows.state_readers import StateReader
from marjoramford.platform.stores import StoreReader
from marjoramford.shared.errors import Step, StepError
from marjoramford.standins.packet_stores import PacketStore

from .flow_worlds import ROUTE_IP, ROUTE_PORT, SETTINGS, START, record, snapshot
from .test_platform_borders import own_group

FLOW = FlowKey(0x64400007, 1001, ROUTE_IP, ROUTE_PORT)
ENTRY = {"service": "booking", "address": "127.0.0.9:7", "zone": "a", "state": "ready", "slots": 2}


def packet(label, opens=False):
    return PacketHeader(FLOW, label, opens, False, False, 5001, 9000, 100)


def item(key, value, revision):
    return {"key": key, "value": b64encode(value).decode(), "revision": revision}


class SlowStore:
    """Answers reads of the servers at once, and reads of the operator's entries only when told."""

    def __init__(self):
        self.targets = []
        self.operator_may_answer = asyncio.Event()

    async def get(self, target, _timeout):
        self.targets.append(target)
        if "servers/" in target:
            servers = [
                item("servers/s-1", msgspec.json.encode(ENTRY), 3),
                item("servers/x", b"{", 4),
            ]
            return Ok(HttpReply(200, self.page(servers)))
        await self.operator_may_answer.wait()
        config = msgspec.json.encode({"version": 1, "routes": []})
        return Ok(HttpReply(200, self.page([item("op/config", config, 2)])))

    def page(self, items):
        return msgspec.json.encode({"items": items, "as_of": 5, "has_more": False})


def test_open_flows_are_forwarded_while_the_routes_are_still_read():
    async def scenario():
        balancer = FlowBalancer(SETTINGS, Random(1), START)
        reader = StoreReader(SETTINGS, balancer)
        reader._client = store = SlowStore()
        assert (await reader.preload()).is_ok()
        reading = asyncio.create_task(reader.read(0.0))
        while len(store.targets) < 2:
            await asyncio.sleep(0)
        label = derive_label("s-1", 0)
        assert isinstance(balancer.handle_packet(packet(label), START), Forward)
        assert balancer.handle_packet(packet(0, opens=True), START) == DropPacket("no routes yet")
        assert not balancer.ready
        store.operator_may_answer.set()
        assert (await reading).is_ok()
        assert balancer.ready

    asyncio.run(scenario())


def test_preloaded_servers_are_forgotten_once_the_list_is_complete():
    """A server that left between the two reads must not stay known by its label."""
    balancer = FlowBalancer(SETTINGS, Random(1), START)
    balancer.server_list.preload([record("s-1"), record("s-2")])
    balancer.server_list.apply(snapshot(record("s-2")), START)
    assert balancer.server_list.find_label(derive_label("s-1", 0)) is None
    assert balancer.server_list.find_label(derive_label("s-2", 0)) is not None


def test_a_store_that_is_restored_after_the_preload_is_read_as_a_whole():
    """Entries of two eras must not be joined to one list."""

    class RestoredStore(SlowStore):
        async def get(self, target, timeout):
            if "servers/" in target or target.endswith("prefix="):
                era = "2" if target.endswith("prefix=") else "1"
                name = f"servers/s-{era}"
                page = self.page([item(name, msgspec.json.encode(ENTRY), 3)])
                return Ok(HttpReply(200, page, {"store-era": era}))
            return Ok(HttpReply(200, self.page([]), {"store-era": "2"}))

    async def scenario():
        balancer = FlowBalancer(SETTINGS, Random(1), START)
        reader = StoreReader(SETTINGS, balancer)
        reader._client = RestoredStore()
        assert (await reader.preload()).is_ok()
        assert (await reader.read(0.0)).is_ok()
        assert [server.name for server in balancer.server_list.servers.values()] == ["s-2"]

    asyncio.run(scenario())


def test_a_server_written_after_the_preload_of_an_empty_store_is_read():
    """Changes are watched from the first page on, also if that is of revision 0."""

    class FilledStore(SlowStore):
        async def get(self, target, timeout):
            if "servers/" in target:
                return Ok(HttpReply(200, b'{"items":[],"as_of":0}'))
            items = [item("servers/s-1", msgspec.json.encode(ENTRY), 3)]
            # Watched from revision 5 on, the store has nothing new to tell.
            if "op/" in target or "after=5" in target:
                items = []
            page = msgspec.json.encode({"items": items, "events": items, "as_of": 5})
            return Ok(HttpReply(200, page))

    async def scenario():
        balancer = FlowBalancer(SETTINGS, Random(1), START)
        reader = StoreReader(SETTINGS, balancer)
        reader._client = FilledStore()
        assert (await reader.preload()).is_ok()
        for _ in range(3):
            assert (await reader.read(0.0)).is_ok()
        assert [server.name for server in balancer.server_list.servers.values()] == ["s-1"]

    asyncio.run(scenario())


class CountedStore(PacketStore):
    """A store that a reader calls without sockets; remembers the targets."""

    def __init__(self):
        super().__init__(page_items=2)
        self.targets = []
        for number in range(1, 6):
            self.put(f"servers/s-{number}", ENTRY)
        self.put("op/config", {"version": 1, "routes": []})

    async def get(self, target, _timeout):
        self.targets.append(target)
        response = await self.answer(HttpRequest("GET", target, b""))
        headers = {name.lower(): value for name, value in response.headers}
        return Ok(HttpReply(response.status, response.body, headers))

    def priced_calls(self):
        """Returns the calls since the last time; one that allows old entries costs a tenth."""
        targets, self.targets = self.targets, []
        return sum(0.1 if "allow_stale=1" in target else 1 for target in targets)


def make_store_reader(store):
    balancer = FlowBalancer(SETTINGS, Random(1), START)
    reader = StoreReader(SETTINGS, balancer)
    reader._client = store
    return balancer, reader


def usable_servers(balancer):
    return sorted(s.name for s in balancer.server_list.servers.values() if s.accepts_work)


def test_a_start_reads_old_pages_and_the_changes_since_them():
    """A whole read of 150 servers by each of 80 entry VMs cost more than all their watches."""

    async def scenario():
        store = CountedStore()
        store.old_copy = store.take_copy()
        store.remove("servers/s-1")
        store.put("servers/s-9", ENTRY)
        store.put("op/evacuate/a", {})
        store.put("op/config", {"version": 2, "routes": []})
        balancer, reader = make_store_reader(store)
        assert (await reader.preload()).is_ok()
        assert not balancer.server_list.loaded
        assert (await reader.read(0.0)).is_ok()
        assert store.priced_calls() < 1.5
        balancer.server_list.expire(START + 60.0)
        assert balancer.routes.version == 2
        assert balancer.server_list.drains.is_drained("a")
        assert {s.name for s in balancer.server_list.servers.values() if s.unlisted_since} == {
            "s-1"
        }
        assert balancer.server_list.version.revision == store.revision
        assert balancer.server_list.find_label(derive_label("s-9", 0)) is not None

    asyncio.run(scenario())


def test_old_pages_without_the_history_since_them_are_not_used():
    async def scenario():
        store = CountedStore()
        store.old_copy = store.take_copy()
        store.remove("servers/s-1")
        store.compact_history()
        balancer, reader = make_store_reader(store)
        assert (await reader.preload()).is_ok()
        assert (await reader.read(0.0)).is_ok()
        assert usable_servers(balancer) == ["s-2", "s-3", "s-4", "s-5"]

    asyncio.run(scenario())


def test_a_follower_that_begins_to_read_watches_on_from_what_it_followed():
    """Each change of the zone's readers cost a whole read."""

    async def scenario():
        store = CountedStore()
        followed, source = make_store_reader(store)
        assert (await source.read(0.0)).is_ok()
        balancer, reader = make_store_reader(store)
        body = await StatePublisher(followed).answer(0, 0, 0.0, era=0, routes_era=0)
        assert apply_state(decode_state(body).unwrap(), balancer, START)
        store.remove("servers/s-1")
        store.targets.clear()
        assert (await reader.read(0.0)).is_ok()
        assert store.priced_calls() == 1
        assert balancer.server_list.servers.get("s-1").unlisted_since is not None
        store.put("servers/s-6", ENTRY)
        store.compact_history()
        assert (await reader.read(0.0)).is_err()
        assert (await reader.read(0.0)).is_ok()
        assert "s-6" in usable_servers(balancer)

    asyncio.run(scenario())


def test_a_preload_that_a_peer_has_overtaken_is_not_used():
    """A follower may read the platform itself hours later; that read must not count as failed."""

    class GrownStore(SlowStore):
        async def get(self, target, _timeout):
            self.targets.append(target)
            items = [item("servers/s-1", msgspec.json.encode(ENTRY), 3)]
            page = {"items": items, "as_of": 5 if len(self.targets) == 1 else 60}
            return Ok(HttpReply(200, msgspec.json.encode(page)))

    async def scenario():
        balancer = FlowBalancer(SETTINGS, Random(1), START)
        reader = StoreReader(SETTINGS, balancer)
        reader._client = GrownStore()
        assert (await reader.preload()).is_ok()
        balancer.server_list.apply(snapshot(record("s-2"), revision=50), START)
        assert (await reader.read(0.0)).is_ok()
        assert balancer.server_list.version.revision == 60

    asyncio.run(scenario())


def test_a_store_that_does_not_answer_the_preload_counts_as_one_failed_read():
    """Otherwise a start beside a silent store waits for two timeouts before it asks a peer."""

    class SilentPlatform:
        async def preload(self):
            return Err(StepError(Step.READ_PLATFORM, "store", "timeout"))

    async def scenario():
        balancer = FlowBalancer(SETTINGS, Random(1), START)
        group = own_group()
        reader = StateReader(SETTINGS, balancer, group, SilentPlatform(), StatePublisher(balancer))
        running = asyncio.create_task(reader.run())
        await asyncio.sleep(0)
        running.cancel()
        assert group.platform_failures == 1

    asyncio.run(scenario())
