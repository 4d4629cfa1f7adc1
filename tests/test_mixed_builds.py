"""Followers and readers of builds before and after eras, in one zone during a rolling restart.

The structures of the older build are written out here as it had them.
"""

import asyncio
import time
from itertools import cycle
from random import Random

import msgspec
import pytest

from marjoramford.opaque_flows.flow_balancers import FlowBalancer
from marjoramford.opaque_flows.http_messages import HttpRequest
from marjoramford.opaque_flows.http_services import HttpResponse
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.peer_groups import FollowPeer
from marjoramford.opaque_flows.published_states import PublishedState, apply_state, decode_state
from marjoramford.opaque_flows.routes import Route, RouteChanges, RouteTable, WarmupLimit
from marjoramford.opaque_flows.server_lists import ListChanges
from marjoramford.opaque_flows.state_publishers import StatePublisher
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.opaque_flows.zone_drains import ZoneDrain
from marjoramford.shared.addresses import Address
from marjoramford.shared.records import VmRecord

from .flow_worlds import SETTINGS, FlowWorld, record, route_table, snapshot, upsert
from .test_state_readers import names, serve


class OldRouteChanges(msgspec.Struct, frozen=True):
    version: int
    base: int
    idle_timeout: float
    routes: tuple[Route, ...]
    removed: tuple[tuple[int, int], ...] = ()


class OldState(msgspec.Struct, frozen=True):
    records: tuple[VmRecord, ...]
    removed: tuple[tuple[str, int], ...]
    whole: bool
    revision: int
    age: float | None
    routes: OldRouteChanges | None = None


class StateWithoutRecovery(OldState, frozen=True, omit_defaults=True):
    """A state of the builds that know eras but no recoveries."""

    era: int = 0


def make_vm(*records, revision=100, era=0):
    """An entry VM of this build whose list is of an era."""
    vm = PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: None)
    now = time.monotonic()
    vm.balancer.installed_routes.apply(route_table())
    vm.balancer.server_list.apply(snapshot(*records, revision=revision, era=era), now)
    vm.balancer.server_list.confirm(now)
    return vm


async def ask(vm, query):
    answer = await vm._handle_request(HttpRequest("GET", f"/v1/published?{query}", b""))
    assert answer.status == 200
    return answer.body


def test_without_a_restore_an_old_follower_gets_what_it_got_before():
    async def scenario():
        vm = make_vm(record("s-1"), record("s-2", 99))
        body = await ask(vm, "after=50&routes=0&wait=0")
        # The field of a later build is sent always, and without drains as an empty list.
        assert set(msgspec.json.decode(body)) <= {*OldState.__struct_fields__, "drains"}
        assert msgspec.json.decode(body)["drains"] == []
        state = msgspec.json.decode(body, type=OldState)
        assert (state.revision, state.whole) == (100, True)
        assert set(msgspec.json.decode(body)["routes"]) <= set(OldRouteChanges.__struct_fields__)
        vm.balancer.server_list.apply(upsert(record("s-3", 101)), time.monotonic())
        state = msgspec.json.decode(await ask(vm, "after=100&routes=1&wait=0"), type=OldState)
        assert (state.whole, [entry.name for entry in state.records]) == (False, ["s-3"])
        assert state.routes is None

    asyncio.run(scenario())


def test_an_old_follower_with_a_higher_revision_waits_and_does_not_spin():
    async def scenario():
        vm = make_vm(record("s-1"), revision=7, era=1)
        asked_at = time.monotonic()
        state = msgspec.json.decode(await ask(vm, "after=10&routes=1&wait=0.2"), type=OldState)
        assert time.monotonic() - asked_at >= 0.2
        assert state.revision == 7
        # It takes the state once its revision is higher, and as a snapshot.
        vm.balancer.server_list.apply(upsert(record("s-2", 11), era=1), time.monotonic())
        state = msgspec.json.decode(await ask(vm, "after=10&routes=1&wait=20"), type=OldState)
        assert (state.whole, state.revision) == (True, 11)
        assert {entry.name for entry in state.records} == {"s-1", "s-2"}
        asked_at = time.monotonic()
        await ask(vm, "after=11&routes=1&wait=0.2")
        assert time.monotonic() - asked_at >= 0.2

    asyncio.run(scenario())


def test_an_old_follower_gets_whole_routes_after_a_restore_and_does_not_spin():
    async def scenario():
        vm = make_vm(record("s-1"), revision=7, era=1)
        vm.balancer.installed_routes.apply(route_table(version=5, era=1))
        asked_at = time.monotonic()
        await ask(vm, "after=10&routes=5&wait=0.2")
        assert time.monotonic() - asked_at >= 0.2
        vm.balancer.installed_routes.apply(route_table(version=6, service="other", era=1))
        state = msgspec.json.decode(await ask(vm, "after=10&routes=5&wait=20"), type=OldState)
        assert (state.routes.version, state.routes.base) == (6, 0)

    asyncio.run(scenario())


def old_body(balancer, revision=100):
    """What a reader of the older build answers."""
    records = balancer.server_list.changes_since(StateVersion()).records
    return msgspec.json.encode(OldState(records, (), True, revision, 0.1))


def test_a_follower_without_era_takes_the_state_of_an_old_reader():
    leader, follower = FlowWorld(record("s-1")), FlowBalancer(SETTINGS, Random(1), 0.0)
    assert apply_state(decode_state(old_body(leader.balancer)).unwrap(), follower, 10.0)
    assert names(follower) == ["s-1"]
    assert follower.server_list.version == StateVersion(0, 100)


@pytest.mark.parametrize("kind", [OldState, StateWithoutRecovery])
def test_an_older_reader_confirms_absences_as_before(kind):
    """It cannot tell of an outage; its follower still retires servers that stay missing."""
    follower = FlowWorld(record("s-1"), record("s-2", 2))
    removed = kind((), (("s-1", 101),), False, 101, 0.0)
    unchanged = kind((), (), False, 101, 0.0)
    for state, gone in [(removed, False), (unchanged, True)]:
        body = msgspec.json.encode(state)
        assert apply_state(decode_state(body).unwrap(), follower.balancer, follower.now)
        assert follower.balancer.server_list.recovered_at is None
        follower.advance(0.1)
        assert follower.server("s-1").gone == gone
        follower.advance(SETTINGS.servers.relist_seconds)


@pytest.mark.parametrize("kind", [OldState, StateWithoutRecovery])
def test_an_older_follower_understands_a_state_after_an_outage(kind):
    async def scenario():
        vm = make_vm(record("s-1"), record("s-2", 99))
        server_list = vm.balancer.server_list
        now = time.monotonic()
        server_list.mark_unreachable(now - 1.0)
        server_list.confirm(now)
        body = await ask(vm, "after=50&routes=0&wait=0")
        assert decode_state(body).unwrap().reachable is not None
        state = msgspec.json.decode(body, type=kind)
        assert (state.revision, state.whole, len(state.records)) == (100, True, 2)

    asyncio.run(scenario())


def test_a_follower_of_a_new_era_avoids_an_old_reader_whatever_its_revision():
    async def scenario():
        leader = FlowWorld(record("s-1"))
        questions = []

        async def answer(request):
            questions.append(request.target)
            return HttpResponse(200, old_body(leader.balancer, revision=999))

        server, address = await serve(answer)
        vm = make_vm(record("s-2"), revision=7, era=1)
        await vm._reader._follow(address, 0.0)
        assert vm.balancer.server_list.version == StateVersion(1, 7)
        assert names(vm.balancer) == ["s-2"]
        assert vm._group._avoided_until[address] > time.monotonic()
        assert vm._group.choose_source(time.monotonic()) != FollowPeer(address, 0.0)
        # An old reader finds the integers that it expects.
        assert "after=7&" in questions[0]
        assert "&routes=1&" in questions[0]
        server.close()

    asyncio.run(scenario())


def test_a_follower_with_a_higher_revision_of_the_older_era_is_answered_at_once():
    async def scenario():
        vm = make_vm(record("s-1"), revision=7, era=1)
        async with asyncio.timeout(5):
            body = await ask(vm, "after=10&era=0&routes=1&routes_era=0&wait=20")
        state = decode_state(body).unwrap()
        assert (state.era, state.revision, state.whole) == (1, 7, True)
        follower = FlowWorld(record("s-9"))
        assert apply_state(state, follower.balancer, follower.now)
        assert names(follower.balancer) == ["s-1"]

    asyncio.run(scenario())


def test_a_follower_of_a_newer_era_waits_for_a_reader_that_lags():
    async def scenario():
        lagging = make_vm(record("s-1"), revision=10)
        asked = asyncio.create_task(ask(lagging, "after=7&era=1&routes=1&routes_era=0&wait=20"))
        await asyncio.sleep(0.05)
        assert not asked.done()
        lagging.balancer.server_list.apply(
            snapshot(record("s-2"), revision=8, era=1), time.monotonic()
        )
        lagging._publisher.notify()
        state = decode_state(await asked).unwrap()
        assert (state.era, state.revision) == (1, 8)

    asyncio.run(scenario())


def test_a_replayed_state_of_an_older_era_changes_nothing():
    # The publisher reads the monotonic clock, which starts with the machine: a leader that has
    # confirmed its list at a fixed time of 1,000 s would have a negative age before.
    leader = FlowWorld(record("s-1"), start=time.monotonic())
    follower = FlowWorld(record("s-1"))
    leader.balancer.installed_routes.apply(route_table(version=9, service="other"))
    late = asyncio.run(StatePublisher(leader.balancer).answer(0, 0, 0.0, era=0, routes_era=0))
    follower.apply(snapshot(record("s-2"), revision=7, era=1))
    before = follower.balancer.server_list.confirmed_at
    assert not apply_state(decode_state(late).unwrap(), follower.balancer, follower.now + 9)
    assert names(follower.balancer) == ["s-2"]
    assert follower.balancer.server_list.confirmed_at == before
    assert follower.balancer.routes.order == (1, 0)


def test_a_delta_of_a_newer_era_cannot_be_used():
    follower = FlowWorld(record("s-1"))
    state = PublishedState((record("s-2", 8),), (), False, 8, 0.1, era=1)
    assert not apply_state(state, follower.balancer, follower.now)
    assert names(follower.balancer) == ["s-1"]


def test_the_eras_are_left_out_at_zero_and_add_few_bytes_otherwise():
    state = PublishedState((), (), False, 7, 0.1)
    plain = msgspec.json.encode(state)
    assert b"era" not in plain
    assert len(msgspec.json.encode(msgspec.structs.replace(state, era=12))) - len(plain) <= 16


def test_the_same_routes_in_a_newer_era_are_not_sent_again():
    async def scenario():
        vm = make_vm(record("s-1"))
        vm.balancer.installed_routes.apply(route_table(era=1))
        body = await ask(vm, "after=100&era=0&routes=1&routes_era=0&wait=20")
        state = decode_state(body).unwrap()
        assert (state.routes.routes, state.routes.removed) == ((), ())
        follower = FlowWorld(record("s-1"))
        before = follower.balancer.routes.routes()
        follower.balancer.installed_routes.apply_changes(state.routes)
        assert follower.balancer.routes.order == (1, 1)
        assert follower.balancer.routes.routes() == before
        asked_at = time.monotonic()
        body = await ask(vm, "after=100&era=0&routes=1&routes_era=1&wait=0.2")
        assert time.monotonic() - asked_at >= 0.2
        assert decode_state(body).unwrap().routes is None

    asyncio.run(scenario())


class StateWithoutDrains(StateWithoutRecovery, frozen=True, omit_defaults=True):
    """A state of the builds that know recoveries but no drains of zones."""

    reachable: float | None = None


DRAIN = ZoneDrain("b", 101, True)


def drained(balancer):
    return sorted(balancer.server_list.drains.drained_zones())


async def serve_states(*states):
    """Serves the same states again and again; returns the server, its address and questions."""
    bodies, questions = cycle([msgspec.json.encode(state) for state in states]), []

    async def answer(request):
        questions.append(request.target)
        return HttpResponse(200, next(bodies))

    return *await serve(answer), questions


def test_an_older_follower_understands_a_state_with_drains():
    async def scenario():
        vm = make_vm(record("s-1"), record("s-2", 99, zone="b"))
        changes = ListChanges((), (), False, StateVersion(0, 101), (DRAIN,))
        vm.balancer.server_list.apply(changes, time.monotonic())
        body = await ask(vm, "after=50&routes=0&wait=0")
        assert decode_state(body).unwrap().drains == (DRAIN,)
        state = msgspec.json.decode(body, type=StateWithoutDrains)
        assert (state.revision, state.whole, len(state.records)) == (101, True, 2)

    asyncio.run(scenario())


def test_a_start_beside_an_older_reader_is_not_ready_and_reads_the_platform():
    """The older reader may hide a drain; its servers and routes are used all the same."""

    async def scenario():
        routes = OldRouteChanges(1, 0, 15.0, route_table().routes())
        old = StateWithoutDrains((record("s-2", zone="b"),), (), True, 100, 0.1, routes)
        server, address, questions = await serve_states(old)
        vm = PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: None)
        await vm._reader._follow(address, 0.0)
        assert names(vm.balancer) == ["s-2"]
        assert vm.balancer.routes.version == 1
        assert not vm.balancer.ready
        assert vm._group._avoided_until[address] > time.monotonic()
        # Once the platform has been read, the same state is no reason to avoid the peer.
        now = time.monotonic()
        whole = msgspec.structs.replace(snapshot(record("s-2", zone="b")), drains=(DRAIN,))
        assert vm.balancer.server_list.apply(whole, now)
        assert vm.balancer.ready
        vm._group._avoided_until.clear()
        await vm._reader._follow(address, 0.0)
        assert not vm._group._avoided_until
        assert drained(vm.balancer) == ["b"]
        assert "after=0&" in questions[0]
        assert "after=100&" in questions[1]
        server.close()

    asyncio.run(scenario())


LIMITED = RouteTable(2, route_table().routes(), 15.0, 0, (WarmupLimit("booking", 5.0),))


@pytest.mark.parametrize("base", [0, 1])
def test_limits_that_an_older_reader_left_out_are_taken_from_the_platform(base):
    """Its routes come first and have the same version; cold servers would stay without a limit."""
    balancer = PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: None).balancer
    if base:
        balancer.installed_routes.apply(RouteTable(1, (), 15.0, 0, (WarmupLimit("booking", 9.0),)))
    changes = RouteChanges(2, base, 15.0, LIMITED.routes())
    older = PublishedState((), (), False, 0, None, changes)
    assert apply_state(older, balancer, time.monotonic())
    assert balancer.routes.version == 2
    balancer.installed_routes.apply(LIMITED)
    assert balancer.admission.warmup_limit("booking") == 5.0
    # The older reader's table is no reason to forget them.
    assert apply_state(older, balancer, time.monotonic())
    assert balancer.admission.warmup_limit("booking") == 5.0


@pytest.mark.parametrize("leader_version", [2, 1])
def test_limits_that_an_older_reader_left_out_are_asked_for_at_the_next_one(leader_version):
    """A reader with older routes is not asked again and again without a wait."""

    async def scenario():
        routes = OldRouteChanges(2, 0, 15.0, LIMITED.routes())
        old = StateWithoutDrains((record("s-2", zone="b"),), (), True, 100, 0.1, routes)
        server, address, _ = await serve_states(old)
        leader = make_vm(record("s-2", zone="b"), revision=101)
        if leader_version == 2:
            leader.balancer.installed_routes.apply(LIMITED)
        questions = []

        async def answer(request):
            questions.append(request.target)
            return await leader._handle_request(request)

        next_server, next_address = await serve(answer)
        vm = PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: None)
        await vm._reader._follow(address, 0.0)
        assert vm.balancer.routes.version == 2
        for _ in range(4):
            await vm._reader._follow(next_address, 0.01)
        whole = ["&routes=0&" in question for question in questions]
        if leader_version == 2:
            assert vm.balancer.admission.warmup_limit("booking") == 5.0
            assert whole == [False, True, False, False]
        else:
            assert whole == [False, True, False, True]
        server.close()
        next_server.close()

    asyncio.run(scenario())


def test_a_drain_behind_the_news_of_an_older_reader_is_asked_for():
    """An older reader leads its follower past the revision of a drain, which a newer one has."""

    async def scenario():
        vm = make_vm(record("s-1"), record("s-2", 99, zone="b"))
        old = StateWithoutDrains((record("s-3", 105),), (), False, 105, 0.1)
        server, address, _ = await serve_states(old)
        await vm._reader._follow(address, 0.0)
        assert vm.balancer.server_list.version == StateVersion(0, 105)
        assert vm.balancer.ready
        assert vm._group._avoided_until[address] > time.monotonic()
        newer = make_vm(record("s-1"), record("s-2", 99, zone="b"))
        server_list = newer.balancer.server_list
        server_list.apply(ListChanges((), (), False, StateVersion(0, 101), (DRAIN,)), 0.0)
        server_list.apply(upsert(record("s-3", 105)), 0.0)
        body = await ask(newer, vm._reader._make_question(0.0).partition("?")[2])
        assert vm._reader._apply_response(address, body, time.monotonic())
        assert drained(vm.balancer) == ["b"]
        assert vm.balancer.server_list.are_drains_current
        server.close()

    asyncio.run(scenario())


def test_a_reader_that_knows_its_drains_in_part_is_avoided():
    async def scenario():
        reader, follower = make_vm(record("s-1")), make_vm(record("s-1"))
        old = ListChanges((), (), False, StateVersion(0, 105), None)
        reader.balancer.server_list.apply(old, time.monotonic())
        body = await ask(reader, follower._reader._make_question(0.0).partition("?")[2])
        address = Address("127.0.0.1", 9)
        assert follower._reader._apply_response(address, body, time.monotonic())
        assert follower._group._avoided_until[address] > time.monotonic()

    asyncio.run(scenario())
