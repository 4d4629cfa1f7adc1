"""Simulation of a drain of an availability zone, with failures of the store, links and entry VMs.

As in `restore_drills`, the readers, followers and publishers are the product's own, on a virtual
clock and a simulated network. All backend servers are in the zone that is drained.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from random import Random
from unittest import mock

import msgspec

from ..opaque_flows import http_calls, state_readers
from ..opaque_flows.http_messages import HttpReply
from ..opaque_flows.peer_groups import ReadPlatform
from ..opaque_flows.published_states import decode_state, encode_state
from ..platform.entries import DRAIN_PREFIX
from ..shared.addresses import Address
from ..shared.errors import Step
from .packet_stores import PacketStore, StoreCopy
from .packet_vms import TICK_INTERVAL_SECONDS
from .restore_drills import (
    POLL_SECONDS,
    SETTLED_SECONDS,
    Drill,
    DrillNetwork,
    DrillPlan,
    DrillVm,
)
from .virtual_loops import run_virtually

DRAINED_ZONE = "a"
DRAIN_KEY = f"{DRAIN_PREFIX}{DRAINED_ZONE}"

# Name of the zone whose entry VM makes a call.
_calling_zone: ContextVar[str] = ContextVar("calling_zone")


class FaultyNetwork(DrillNetwork):
    """A network on which addresses can fail.

    Attributes:
        dead: addresses that refuse calls, also those that they have not answered yet.
        stalled: addresses that never answer.
        older: addresses of entry VMs of an older build, which knows no drains.
        cut_zones: pairs of zones whose entry VMs cannot reach each other.
        vm_zones: zones of entry VMs by address.
    """

    def __init__(self, store: PacketStore, random: Random):
        super().__init__(store, random)
        self.dead: set[Address] = set()
        self.stalled: set[Address] = set()
        self.older: set[Address] = set()
        self.cut_zones: set[frozenset[str]] = set()
        self.vm_zones: dict[Address, str] = {}

    async def call(self, address: Address, target: str) -> HttpReply:
        """Returns the answer to a call.

        Raises:
            OSError: the address is dead, cut off, or that of a store that is away.
        """
        self._check(address)
        if address in self.stalled:
            await asyncio.Event().wait()
        reply = await super().call(address, target)
        self._check(address)
        if address in self.older:
            state = msgspec.structs.replace(decode_state(reply.body).unwrap(), drains=None)
            reply = msgspec.structs.replace(reply, body=encode_state(state, False))
        return reply

    def _check(self, address: Address) -> None:
        pair = frozenset((_calling_zone.get(), self.vm_zones.get(address, "")))
        if address in self.dead or pair in self.cut_zones:
            raise ConnectionRefusedError(f"{address} cannot be reached")


class DrainDrill(Drill):
    """A deployment whose servers' zone is drained.

    Attributes:
        network: the network and its faults.
        store: the platform's store.
        vms: the entry VMs by name.
        store_addresses: the address at which each entry VM reads the store, by its name.
    """

    def __init__(self, plan: DrillPlan, seed: int):
        super().__init__(plan, seed)
        self._network = self.network = FaultyNetwork(self._store, self._random)
        self._tasks: dict[str, asyncio.Task] = {}
        self.store = self._store
        self.vms: dict[str, DrillVm] = {}
        self.store_addresses: dict[str, Address] = {}

    async def hold(self, course: Callable[["DrainDrill"], Awaitable[None]]) -> None:
        """Starts the deployment, lets it settle and runs a course."""
        make_client = self._network.make_client
        with (
            mock.patch.object(http_calls, "HttpClient", make_client),
            mock.patch.object(state_readers, "HttpClient", make_client),
        ):
            self._fill_store()
            for vm in self._make_vms():
                self._add(vm)
            for name in self.vms:
                self.resume(name)
            writing = asyncio.create_task(self._write_entries())
            await asyncio.sleep(SETTLED_SECONDS + self._random.random())
            await course(self)
        for task in (*self._tasks.values(), writing):
            task.cancel()

    def _add(self, vm: DrillVm) -> None:
        name = vm.group.entry_vms.own.name
        number = int(name.rpartition("-")[2])
        self.vms[name] = vm
        self.store_addresses[name] = Address(f"10.254.{number // 250}.{number % 250 + 1}", 80)
        self.network.add_zone(name, self.store_addresses[name])
        self.network.vm_zones[vm.address] = vm.zone
        self._connect(name)

    def _connect(self, name: str) -> None:
        client = self.network.make_client(self.store_addresses[name], Step.READ_PLATFORM)
        self.vms[name].reader._platform._client = client

    def drain(self) -> None:
        """Drains the zone of the servers."""
        self._write(DRAIN_KEY, {})

    def end_drain(self) -> None:
        """Returns the zone to service."""
        self._values.pop(DRAIN_KEY)
        self._written_at.pop(DRAIN_KEY)
        self.store.remove(DRAIN_KEY)

    def restore(self, copy: StoreCopy, copied_at: float) -> None:
        """Restores the store; what was written since the copy is soon written again."""
        self._restore(copy, copied_at)

    def drained(self) -> set[str]:
        """Returns the names of the entry VMs at which the drain is in force."""
        return {
            name
            for name, vm in self.vms.items()
            if vm.balancer.server_list.drains.is_drained(DRAINED_ZONE)
        }

    def in_zone(self, zone: str) -> set[str]:
        """Returns the names of a zone's entry VMs."""
        return {name for name, vm in self.vms.items() if vm.zone == zone}

    def readers(self) -> set[str]:
        """Returns the names of the entry VMs that read the store while nothing fails."""
        return {
            name
            for name, vm in self.vms.items()
            if isinstance(vm.group.choose_source(time.monotonic()), ReadPlatform)
        }

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> float:
        """Waits until a condition holds; returns after how many seconds.

        Raises:
            TimeoutError: it does not hold after `seconds`.
        """
        began_at = time.monotonic()
        while not condition():
            if time.monotonic() > began_at + seconds:
                raise TimeoutError(f"condition does not hold after {seconds} s")
            await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - began_at

    def suspend(self, name: str) -> None:
        """Stops an entry VM; it answers no calls."""
        self._tasks[name].cancel()
        self.network.dead.add(self.vms[name].address)

    def resume(self, name: str) -> None:
        """Lets an entry VM go on with the state that it has."""
        vm = self.vms[name]
        self.network.dead.discard(vm.address)

        async def run() -> None:
            _calling_zone.set(vm.zone)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(vm.reader.run())
                tasks.create_task(self._tick(vm))

        self._tasks[name] = asyncio.create_task(run())

    async def _tick(self, vm: DrillVm) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            vm.balancer.tick(time.monotonic())

    def start_again(self, name: str) -> DrillVm:
        """Starts a new process of an entry VM, without state; returns it."""
        old = self.vms[name]
        self._tasks[name].cancel()
        own = old.group.entry_vms.own
        new = DrillVm(old.reader._settings, own, Random(self._random.random()))
        new.group.merge_updates([vm.to_update() for vm in old.group.entry_vms.others()])
        self.vms[name] = new
        self._connect(name)
        self.network.add_vm(new.address, new.answer)
        self.resume(name)
        return new


def run_drain_drill(
    plan: DrillPlan, seed: int, course: Callable[[DrainDrill], Awaitable[None]]
) -> None:
    """Runs a drill with a course on a virtual clock."""

    async def run() -> None:
        await DrainDrill(plan, seed).hold(course)

    run_virtually(run())
