"""Evidence of dead servers between entry VMs of a zone, over loopback sockets."""

import asyncio
import contextlib
import itertools
import time
from contextlib import asynccontextmanager

import msgspec
import pytest
from result import Ok

from marjoramford.opaque_flows.http_calls import HttpClient
from marjoramford.opaque_flows.http_messages import HttpRequest
from marjoramford.opaque_flows.http_services import HttpResponse
from marjoramford.opaque_flows.packet_daemons import PacketVm, _make_collector
from marjoramford.opaque_flows.packets import FlowKey
from marjoramford.opaque_flows.published_states import PublishedState, encode_state
from marjoramford.opaque_flows.shared_evidence import (
    EvidenceMessage,
    PublishedEvidence,
    PublishedSilence,
    ServerReport,
)
from marjoramford.shared.addresses import Address
from marjoramford.shared.errors import Step

from .evidence_zones import ENABLED
from .flow_worlds import (
    ROUTE_IP,
    ROUTE_PORT,
    SETTINGS,
    Caller,
    record,
    route_table,
    snapshot,
)
from .test_state_readers import serve

TICK_SECONDS = 0.05


class IdlePlatform:
    """A platform whose list never changes."""

    def __init__(self, balancer):
        self.balancer = balancer

    async def read(self, wait):
        await asyncio.sleep(min(wait, 0.2))
        self.balancer.server_list.confirm(time.monotonic())
        return Ok(False)

    async def preload(self):
        return Ok(None)


class RunningVm:
    """An entry VM without its packet socket."""

    def __init__(self, name, address, settings):
        settings = msgspec.structs.replace(settings, name=name, control_address=str(address))
        self.address = address
        self.vm = PacketVm(settings, None, lambda _settings, balancer: IdlePlatform(balancer), None)
        self.balancer = self.vm.balancer
        self.balancer.installed_routes.apply(route_table())
        self.balancer.server_list.apply(snapshot(record("s-1"), record("s-2", 2)), self.now)
        self.tasks = []

    @property
    def now(self):
        return time.monotonic()

    @property
    def is_reader(self):
        return self.vm._group.find_report_targets(self.now)[0]

    @property
    def sees_condemned(self):
        return self.balancer.evidence.count_condemned(self.now) == 1

    def start(self, vms):
        self.vm._group.merge_updates([each.vm._group.entry_vms.own.to_update() for each in vms])
        jobs = [self.vm._reader.run(), self._tick()]
        if self.vm._evidence_exchange is not None:
            jobs.append(self.vm._evidence_exchange.run())
        self.tasks = [asyncio.create_task(job) for job in jobs]

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def open_flow(self, port):
        """Opens a flow at s-1."""
        while True:
            port += 1
            caller = Caller(self, FlowKey(0x64400007, port, ROUTE_IP, ROUTE_PORT))
            forward = caller.open()
            caller.receive_syn_ack(forward)
            if forward.server.name == "s-1":
                return caller

    async def _tick(self):
        while True:
            self.balancer.tick(self.now)
            await asyncio.sleep(TICK_SECONDS)


@asynccontextmanager
async def running_zone(size=6, settings=ENABLED):
    """Starts the entry VMs of a zone; readers come first."""
    vms, servers = [], []

    def make_handler():
        index = len(servers)

        async def answer(request):
            vm = vms[index]
            if not vm.tasks:
                return HttpResponse(503)
            return await vm.vm._handle_request(request)

        return answer

    for _ in range(size):
        servers.append(await serve(make_handler()))
    for number, (_, address) in enumerate(servers):
        vms.append(RunningVm(f"front-{number}", address, settings))
    for vm in vms:
        vm.start(vms)
    try:
        yield sorted(vms, key=lambda vm: not vm.is_reader)
    finally:
        for vm in vms:
            vm.stop()
        for server, _ in servers:
            server.close()


async def wait_for(condition, seconds=15.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def fall_silent(vms):
    """Lets two flows at each entry VM wait for s-1, retransmitted at the protocol's times."""
    callers = [vm.open_flow(2000 + 100 * n) for vm in vms for n in range(2)]
    for caller in callers:
        caller.request()
    for pause in (0.2, 0.4):
        await asyncio.sleep(pause)
        for caller in callers:
            caller.send(size=200, sequence=caller.sequence - 200)
    return callers


def see_answer(vm):
    vm.balancer.server_list.servers.get("s-1").responsiveness.record_answer(vm.now)


def test_all_entry_vms_of_a_zone_hear_of_a_dead_server_and_of_an_answer():
    async def scenario():
        async with running_zone() as vms:
            followers = [vm for vm in vms if not vm.is_reader]
            # With the standby, which follows too.
            assert len(followers) == 5
            await fall_silent(followers[:2])
            await wait_for(lambda: all(vm.sees_condemned for vm in vms))
            assert followers[0].balancer.counters["evidence_reports_sent"] > 0
            assert vms[0].balancer.counters["evidence_reports_received"] > 0
            see_answer(followers[2])
            await wait_for(lambda: not any(vm.sees_condemned for vm in vms))

    asyncio.run(scenario())


def test_an_answer_elsewhere_prevents_a_verdict():
    async def scenario():
        async with running_zone() as vms:
            followers = [vm for vm in vms if not vm.is_reader]
            stop = time.monotonic() + 2.0

            async def answer():
                while time.monotonic() < stop:
                    see_answer(followers[2])
                    await asyncio.sleep(0.05)

            answers = asyncio.create_task(answer())
            await fall_silent(followers[:2])
            while time.monotonic() < stop:
                assert not any(vm.sees_condemned for vm in vms)
                await asyncio.sleep(0.01)
            await answers

    asyncio.run(scenario())


def test_the_decisions_of_a_reader_that_dies_lapse_and_the_other_reader_decides():
    async def scenario():
        async with running_zone() as vms:
            first, second = vms[:2]
            first.stop()
            first.tasks = []
            living = vms[1:]
            await fall_silent(vms[2:4])
            await wait_for(lambda: all(vm.sees_condemned for vm in living))
            second.stop()
            second.tasks = []
            await wait_for(lambda: not any(vm.sees_condemned for vm in vms[2:]))

    asyncio.run(scenario())


def test_an_entry_vm_that_stops_being_a_reader_forgets_its_decisions():
    """Guards against a decision that is published again although the server has answered.

    Answers are reported only to readers, so they do not reach an entry VM that is none.
    """

    async def scenario():
        async with running_zone() as vms:
            await fall_silent(vms[2:4])
            await wait_for(lambda: vms[0].sees_condemned)
            vms[0].vm._group.entry_vms.own.state = "leaving"
            collector = vms[0].vm._evidence_exchange._collector
            await wait_for(lambda: collector.version == 0, 1.0)

    asyncio.run(scenario())


REPORT = ServerReport("s-1", 0, 3, 0.6, 0.3)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b"[1",
        msgspec.json.encode(EvidenceMessage("front-99", 1, 1, (REPORT,))),
        msgspec.json.encode(EvidenceMessage("front-1", 1, 1, (REPORT,))),
    ],
    ids=["empty", "malformed", "unknown sender", "another incarnation"],
)
def test_a_forged_or_malformed_report_is_rejected_with_event_204(body, caplog):
    async def scenario():
        async with running_zone() as vms:
            client = HttpClient(vms[0].address, Step.SHARE_EVIDENCE)
            reply = await client.post("/v1/evidence", body, 5.0)
            assert reply.unwrap().status == 400
            client.close()

    caplog.set_level("INFO", "marjoramford")
    asyncio.run(scenario())
    assert 204 in [getattr(entry, "event", 0) for entry in caplog.records]


def test_a_reader_that_does_not_know_an_entry_vm_yet_is_told_of_it():
    """Guards against the loss of the evidence of entry VMs that have just started."""

    async def scenario():
        async with running_zone() as vms:
            started = vms[2]
            for vm in vms[:2]:
                del vm.vm._group.entry_vms._others[started.vm._settings.name]
            await fall_silent(vms[2:4])
            await wait_for(lambda: all(vm.sees_condemned for vm in vms), 3.0)

    asyncio.run(scenario())


def test_idle_flows_are_kept_after_another_entry_vm_has_joined():
    """Guards against a timer that does not tell the balancer that flows may have moved."""

    async def scenario():
        vm = RunningVm("front-0", Address("127.0.0.1", 1), ENABLED)
        caller = vm.open_flow(2000)
        update = vm.vm._group.entry_vms.own.to_update()
        vm.vm._group.merge_updates([msgspec.structs.replace(update, name="front-1")])
        resets = []

        server = vm.balancer.server_list.servers.get("s-1")
        server.unlisted_since = time.monotonic()
        server.gone = True

        class Packets:
            def run_tick(self, now):
                resets.extend(vm.balancer.tick(now))

        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(vm.vm._run_timer(Packets()), 0.35)
        assert caller.key not in [reset.flow for reset in resets]

    asyncio.run(scenario())


def test_an_entry_vm_of_another_zone_decides_nothing_here():
    """Guards against resets of flows to servers that another zone cannot reach, but this one can.

    While the platform does not answer, an entry VM follows any other one.
    """

    async def scenario():
        vm = RunningVm("front-0", Address("127.0.0.1", 1), ENABLED)
        questions = []

        async def answer(request):
            questions.append(request.target)
            silence = PublishedSilence("s-1", 0, 0.6)
            evidence = PublishedEvidence(7, False, (), (silence,))
            state = PublishedState((), (), False, 1, 0.0, drains=(), evidence=evidence)
            return HttpResponse(200, encode_state(state, False))

        server, address = await serve(answer)
        update = vm.vm._group.entry_vms.own.to_update()
        for zone, condemned in (("elsewhere", False), (update.zone, True)):
            vm.vm._group.merge_updates(
                [
                    msgspec.structs.replace(
                        update, name=f"{zone}-{n}", zone=zone, control_address=address
                    )
                    for n in range(6)
                ]
            )
            vm.balancer.tick(vm.now)
            await vm.vm._reader._follow(address, 0.0)
            assert ("evidence=" in questions[-1], vm.sees_condemned) == (condemned, condemned)
        server.close()

    asyncio.run(scenario())


def test_without_the_setting_there_is_no_endpoint_no_call_and_no_field():
    async def scenario():
        async with running_zone(settings=SETTINGS) as vms:
            await fall_silent(vms[2:4])
            request = HttpRequest("POST", "/v1/evidence", b"{}")
            assert (await vms[0].vm._handle_request(request)).status == 404
            request = HttpRequest("GET", "/v1/published?after=0&routes=0&wait=0&evidence=0", b"")
            assert b"evidence" not in (await vms[0].vm._handle_request(request)).body
            assert "evidence" not in vms[2].vm._reader._make_question(0.1)
            assert not any(vm.sees_condemned for vm in vms)

    asyncio.run(scenario())


def test_decisions_of_readers_that_start_together_have_different_versions():
    """Guards against a follower that takes the decisions of one reader for those of another.

    After a power failure many entry VMs start within a second, so versions in milliseconds meet.
    """
    versions = sorted(_make_collector(ENABLED)._version for _ in range(20))
    assert versions[-1] < 2**63
    assert min(b - a for a, b in itertools.pairwise(versions)) > 0


def test_nothing_is_sent_while_nothing_is_silent():
    async def scenario():
        async with running_zone() as vms:
            await asyncio.sleep(0.5)
            assert all(vm.balancer.counters["evidence_reports_sent"] == 0 for vm in vms)
            assert all(not vm.vm._evidence_exchange._links for vm in vms)
            request = HttpRequest("GET", "/v1/published?after=0&routes=0&wait=0&evidence=0", b"")
            assert b"evidence" not in (await vms[0].vm._handle_request(request)).body

    asyncio.run(scenario())


def test_in_a_zone_of_many_readers_only_the_followed_one_gets_reports():
    """Guards against reports to dozens of readers, and against readers that report to others."""
    own = Address("127.0.0.1", 1)
    vm = RunningVm("front-0", own, ENABLED)
    group = vm.vm._group
    updates = [
        msgspec.structs.replace(
            group.entry_vms.own.to_update(),
            name=f"front-{number}",
            control_address=Address("127.0.0.1", 1 + number),
        )
        for number in range(1, 120)
    ]
    group.merge_updates(updates)
    is_reader, targets = group.find_report_targets(0.0)
    assert len(targets) == (0 if is_reader else 1)
    members = [group.entry_vms.own.to_update(), *updates[:9]]
    found = []
    for update in members:
        small = RunningVm(update.name, update.control_address, ENABLED).vm._group
        small.merge_updates([other for other in members if other is not update])
        is_reader, targets = small.find_report_targets(0.0)
        found.append((is_reader, len(targets)))
    # The standby reports to the reader alone, as the reader does to the standby.
    assert sorted(found) == [(False, 1), *[(False, 2)] * 8, (True, 1)]
