"""The state of an entry VM that stops is passed on while the platform does not answer.

Load pattern: four entry VMs are stopped one after the other while the other four are without power
and the platform is silent. The four that start again had no routes until the platform was back.
"""

import asyncio
import time

import msgspec
import pytest

from marjoramford.opaque_flows.flow_settings import StopSettings
from marjoramford.opaque_flows.http_messages import HttpRequest
from marjoramford.opaque_flows.http_services import serve_http
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.opaque_flows.state_handovers import MAX_OFFERS, HandoverPlan
from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import EntryVm
from marjoramford.standins.ports import free_ports

from .flow_worlds import SETTINGS, record, route_table, snapshot

HOST = "127.0.0.1"
STOP = StopSettings(grace_seconds=4.0, unready_seconds=0.1, quiet_seconds=0.1)


class QuietPackets:
    last_packet_at = float("-inf")


def make_vm(name, port):
    settings = msgspec.structs.replace(
        SETTINGS, name=name, control_address=f"{HOST}:{port}", stop=STOP
    )
    return PacketVm(settings, None, lambda *_: None, lambda: None)


def introduce(vm, other):
    vm._group.merge_updates([other._group.entry_vms.own.to_update()])


def make_holder(port, platform_is_lost=True):
    """An entry VM with routes and a server."""
    vm = make_vm("front-1", port)
    now = time.monotonic()
    vm.balancer.installed_routes.apply(route_table())
    vm.balancer.server_list.apply(snapshot(record("s-1")), now)
    vm.balancer.server_list.confirm(now)
    if platform_is_lost:
        vm.balancer.server_list.mark_unreachable(now + 0.001)
    return vm


async def drain(vm):
    """Runs a planned stop; returns how long it took, in seconds."""
    began_at = time.monotonic()
    await vm._drain(QuietPackets())
    return time.monotonic() - began_at


def test_the_last_holder_of_the_state_stays_until_a_starting_entry_vm_has_it():
    async def scenario():
        ports = free_ports(2)
        holder, started = make_holder(ports[0]), make_vm("front-2", ports[1])
        introduce(holder, started)
        stopping = asyncio.create_task(drain(holder))
        await asyncio.sleep(1.0)
        assert not stopping.done()
        server = await serve_http(Address(HOST, ports[1]), started._handle_request)
        await asyncio.wait_for(stopping, 2.0)
        assert started.balancer.ready
        assert holder.balancer.counters["states_handed_over"] == 1
        server.close()

    asyncio.run(scenario())


def test_without_anyone_to_take_the_state_a_stop_ends_within_its_grace_period():
    async def scenario():
        ports = free_ports(2)
        holder = make_holder(ports[0])
        introduce(holder, make_vm("front-2", ports[1]))
        assert await drain(holder) < STOP.grace_seconds

    asyncio.run(scenario())


@pytest.mark.parametrize("others", [0, 1])
def test_a_stop_beside_a_platform_that_answers_offers_nothing(others):
    async def scenario():
        ports = free_ports(2)
        holder = make_holder(ports[0], platform_is_lost=False)
        if others:
            introduce(holder, make_vm("front-2", ports[1]))
        assert await drain(holder) < 1.5
        assert not holder.balancer.counters["states_handed_over"]

    asyncio.run(scenario())


def offer(vm, body):
    request = HttpRequest("POST", "/v1/published", body)
    return asyncio.run(vm._handle_request(request)).status


def test_an_offer_changes_nothing_where_there_is_a_state():
    vm = make_holder(1)
    before = vm.balancer.server_list.version
    assert offer(vm, b"not even JSON") == 200
    assert vm.balancer.server_list.version == before


@pytest.mark.parametrize(("body", "status"), [(b"", 400), (b"{", 400), (b"[]", 400)])
def test_a_malformed_offer_is_rejected(body, status):
    assert offer(make_vm("front-2", 1), body) == status


def test_an_offer_without_servers_leaves_the_entry_vm_without_state():
    empty = make_vm("front-1", 1)
    body = asyncio.run(empty._publisher.answer(0, 0, 0.0, era=0))
    assert offer(make_vm("front-2", 2), body) == 409


def member(number, state="alive"):
    address = Address(HOST, number)
    return EntryVm(f"front-{number}", 1, "a", address, address, state=state)


def test_entry_vms_that_were_away_are_offered_the_state_first_and_all_in_turns():
    plan = HandoverPlan()
    others = [member(n) for n in range(1, 12)] + [member(n, "lost") for n in range(12, 15)]
    others += [member(20, "left"), member(21, "leaving")]
    first = plan.choose(others)
    assert [address.port for address in first[:3]] == [12, 13, 14]
    assert len(first) == MAX_OFFERS
    plan.record(first[0], True)
    assert plan.has_holder
    second = plan.choose(others)
    assert first[0] not in second
    assert {address.port for address in first + second} == set(range(1, 15))
