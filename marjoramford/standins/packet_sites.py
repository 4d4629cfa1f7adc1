"""Test site on loopback: real entry VM processes among stand-ins for the rest of the platform.

Faults are injected from outside the processes, by signals and by a proxy between each entry VM and
the store.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ..opaque_flows.http_calls import HttpClient
from ..opaque_flows.packets import FlowKey
from ..shared.addresses import Address
from ..shared.entry_vms import rendezvous_order
from ..shared.errors import Step
from .packet_callers import AttemptOutcome, CallerFlow, PacketCaller
from .packet_servers import PacketServer
from .packet_sockets import LoopbackEndpoint, await_callback
from .packet_stores import PacketStore
from .ports import free_ports
from .rotations import PROBE_INTERVAL_SECONDS, Rotation
from .site_drains import SiteDrains
from .store_proxies import LOOPBACK, ProxyMode, StoreProxy

ROUTE_HOST = "198.18.0.1"
ROUTE_IP = int.from_bytes(socket.inet_aton(ROUTE_HOST), "big")
BOOKING_PORT = 443
MANIFEST_PORT = 8443
RESTART_SECONDS = 0.3
# As in deploy/system.toml: the time until the program handles signals depends on them.
INTERPRETER_FLAGS = ("-S", "-P", "-OO")
# The folder that holds the package; without the site module an editable install is not found.
SOURCE_PATH = Path(__file__).parents[2]
ENTRY_EXPIRY_SECONDS = 2.3
# After a restore of the store, what it lost is written again within this time.
REWRITE_SECONDS = 2.0
WRITE_RETRY_SECONDS = 0.2
# All entry VMs must have the store's list this long after the last change.
LIST_SECONDS = 5.0
DRAIN_LIMIT_SECONDS = 3.0
STABLE_SECONDS = 4.0
DEADLINE_SECONDS = 4.0


@dataclass(slots=True)
class EntryVmProcess:
    """One entry VM process, its proxy to the store, and the fabric's view of it.

    Attributes:
        contact_since: since when it has served, run and reached the store without interruption, in
            seconds on the monotonic clock.
    """

    name: str
    zone: str
    ip: str
    settings_path: Path
    log_path: Path
    proxy: StoreProxy
    ready_address: Address
    control_address: Address
    process: asyncio.subprocess.Process | None = None
    rotation: Rotation = field(default_factory=Rotation)
    supervisor: asyncio.Task | None = None
    contact_since: float = float("inf")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class SiteFindings:
    """Results of a run, as callers and servers observed them.

    Attributes:
        asked_at_the_end: number of requests made after the recovery time.
        answered_at_the_end: number of those that were answered.
        openings_during_drains: number of opening packets that the check of zone drains judged.
        violations: descriptions of broken invariants.
        events: log of the run, with seconds since its start.
    """

    requests: int = 0
    answered: int = 0
    answered_at_the_end: int = 0
    asked_at_the_end: int = 0
    openings_during_drains: int = 0
    violations: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)


class PacketSite:
    """Runs a test site; use as an asynchronous context manager.

    Attributes:
        last_fault_at: when a fault last affected the store or a connection to it, or suspended an
            entry VM, in seconds on the monotonic clock.
        drains: the operator's drains of zones.
        servers: the running backend servers, by name.
        stopped_servers: the backend servers that no longer run, by name.
    """

    def __init__(self, directory: Path, random: Random, vms_per_zone: int = 2):
        self._directory = directory
        self._random = random
        self._vms_per_zone = vms_per_zone
        self.zones = ("zone-a", "zone-b")
        self._tasks: set[asyncio.Task] = set()
        self._store_server: asyncio.Server | None = None
        self._next_server = 0
        self._version = 0
        self._idle_route_count = 0
        self._stopping = False
        self._config: dict[str, object] = {}
        self._draining: set[str] = set()
        self._restores_in_progress = 0
        self.store = PacketStore()
        self.drains = SiteDrains(self.store, self._sender_contact_since, self.record_violation)
        self.last_fault_at = float("-inf")
        self.vms: list[EntryVmProcess] = []
        self.servers: dict[str, PacketServer] = {}
        self.stopped_servers: dict[str, PacketServer] = {}
        self.callers: list[PacketCaller] = []
        self._endpoints: dict[str, LoopbackEndpoint] = {}
        self.findings = SiteFindings()
        self.started_at = time.monotonic()

    async def __aenter__(self) -> "PacketSite":
        self.packet_port, self._server_port = free_ports(2)
        self._store_server = await self.store.serve(Address(LOOPBACK, 0))
        store = Address(LOOPBACK, self._store_server.sockets[0].getsockname()[1])
        self.change_routes()
        for zone in self.zones:
            for _ in range(3):
                await self.start_server("booking", zone)
            await self.start_server("manifest", zone)
        await self._start_vms(store)
        for number, zone in enumerate(self.zones):
            for caller_number in range(2):
                await self._start_caller(f"127.0.{100 + number}.{1 + caller_number}", zone)
        self.spawn(self._probe_vms())
        return self

    async def __aexit__(self, *_exc_info) -> None:
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            if vm.supervisor is not None:
                vm.supervisor.cancel()
            vm.signal(signal.SIGKILL)
            if vm.process is not None:
                await vm.process.wait()
            vm.proxy.stop()
        for endpoint in self._endpoints.values():
            endpoint.close()
        self._store_server.close()

    def record_event(self, text: str) -> None:
        """Adds a line to the event log of the run."""
        self.findings.events.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def record_violation(self, text: str) -> None:
        """Records a broken invariant."""
        self.record_event(f"VIOLATION {text}")
        self.findings.violations.append(text)

    def spawn(self, coroutine) -> None:
        """Runs a coroutine in the background; it is cancelled when the site closes."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_until_ready(self) -> None:
        """Waits until every entry VM is in rotation, for at most 60 s."""
        async with asyncio.timeout(60):
            while not all(vm.rotation.is_in for vm in self.vms):
                await asyncio.sleep(0.05)

    # Planned changes and faults

    def change_routes(self) -> None:
        """Publishes the next version of the routes, with a different number of unused routes."""
        self._version += self._random.randint(1, 3)
        self._idle_route_count = (self._idle_route_count + 1) % 4
        routes = [_route(BOOKING_PORT, "booking"), _route(MANIFEST_PORT, "manifest")]
        routes += [_route(10_000 + number, "booking") for number in range(self._idle_route_count)]
        limits = {"idle_timeout_ms": 15_000}
        self._config = {"version": self._version, "routes": routes, "limits": limits}
        self.store.put("op/config", self._config)

    async def start_server(self, service: str, zone: str) -> PacketServer:
        """Starts a server and publishes its entry in the store."""
        self._next_server += 1
        number = self._next_server
        server = PacketServer(f"i-{number:08x}", service, zone, 0.02, self._random)
        address = Address(f"127.0.50.{number}", self._server_port)
        endpoint = await LoopbackEndpoint.open(address, server.handle_datagram)
        self._endpoints[server.name] = endpoint
        server.start(endpoint, address, self.packet_port)
        server.observer = self.drains
        self.servers[server.name] = server
        self._list_server(server)
        return server

    async def drain_zone(self, zone: str, seconds: float) -> None:
        """Drains a zone for some seconds, as the operator."""
        self.drains.begin(zone)
        await self._wait_to_write(0.0)
        self.drains.write(zone)
        await asyncio.sleep(seconds)
        self.drains.end(zone)
        await self._wait_to_write(0.0)
        self.drains.write(zone)

    async def drain_server(self, server: PacketServer) -> None:
        """Starts a successor of a server, then drains and stops the server and removes its entry.

        Flows that it accepts after the drain limit are a violation, unless a fault was in progress
        less than `STABLE_SECONDS` before the drain or since.
        """
        await self.start_server(server.service, server.zone)
        drained_at = time.monotonic()
        self._draining.add(server.name)
        self._list_server(server)
        await asyncio.sleep(DRAIN_LIMIT_SECONDS + 1.0)
        late = [each for each in server.opened_flows if each.at > drained_at + DRAIN_LIMIT_SECONDS]
        was_stable = self.last_fault_at + STABLE_SECONDS < drained_at
        if late and was_stable:
            self.record_violation(f"{server.name} accepted {len(late)} flows after its drain limit")
        self._terminate_server(server)
        self.store.remove(f"servers/{server.name}")

    async def crash_server(self, server: PacketServer) -> None:
        """Stops a server without notice; its entry expires later, and a new server replaces it."""
        self._terminate_server(server)
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        self.store.remove(f"servers/{server.name}")
        await self.start_server(server.service, server.zone)

    async def remove_entry_briefly(self, server: PacketServer) -> None:
        """Removes the entry of a running server from the store for 0.2 to 2 s."""
        self.store.remove(f"servers/{server.name}")
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        if server.name in self.servers:
            self._list_server(server)

    async def degrade_store_connection(
        self, vm: EntryVmProcess, mode: ProxyMode, seconds: float
    ) -> None:
        """Applies a proxy mode to one entry VM's connections to the store for some seconds."""
        vm.proxy.set_mode(mode)
        await self._wait_during_fault(seconds, [vm])
        vm.proxy.set_mode("pass")

    async def interrupt_store(self, seconds: float) -> None:
        """Makes the store answer every request with 503 for some seconds."""
        self.store.down = True
        await self._wait_during_fault(seconds, self.vms)
        self.store.down = False

    async def restore_store(self, copy_age: float, seconds: float) -> None:
        """Takes a copy of the store, later makes it unavailable and restores it from the copy.

        Afterwards the running servers and the operator write again what the store lost, and the
        entries of servers that no longer run expire.

        Args:
            copy_age: age of the copy when the store becomes unavailable, in seconds.
            seconds: how long the store is unavailable.
        """
        self._restores_in_progress += 1
        copy = self.store.take_copy()
        await asyncio.sleep(copy_age)
        self.store.down = True
        # A restore without an outage interrupts no contact: drains must stay in force.
        await self._wait_during_fault(seconds, self.vms if seconds else [])
        self.store.restore(copy)
        self.store.down = False
        self.record_event(f"store restored, era {self.store.era}")
        running = list(self.servers.values())
        expired = [name for name in self._listed_names() if name not in self.servers]
        await asyncio.gather(
            self._publish_routes_again(),
            self._write_drains_again(),
            *(self._list_server_again(server) for server in running),
            *(self._expire_entry(name) for name in expired),
        )
        self._restores_in_progress -= 1

    async def pause_vm(self, vm: EntryVmProcess, seconds: float) -> None:
        """Suspends an entry VM's process for some seconds."""
        vm.signal(signal.SIGSTOP)
        await self._wait_during_fault(seconds, [vm])
        vm.signal(signal.SIGCONT)

    # Entries in the store

    def _listed_names(self) -> dict[str, bool]:
        """Returns the names of the servers in the store, with whether they are draining."""
        entries = self.store.values("servers/")
        return {
            key.removeprefix("servers/"): entry["state"] == "draining"
            for key, entry in entries.items()
        }

    def _list_server(self, server: PacketServer) -> None:
        state = "draining" if server.name in self._draining else "ready"
        self.store.put(f"servers/{server.name}", server.entry(state))

    async def _list_server_again(self, server: PacketServer) -> None:
        await self._wait_to_write(self._random.uniform(0.0, REWRITE_SECONDS))
        expected = server.name in self._draining
        if server.name in self.servers and self._listed_names().get(server.name) != expected:
            self._list_server(server)

    async def _publish_routes_again(self) -> None:
        """Writes the newest routes as they were, or changes them."""
        await self._wait_to_write(self._random.uniform(0.0, REWRITE_SECONDS))
        if self._random.random() < 0.5:
            self.store.put("op/config", self._config)
        else:
            self.change_routes()

    async def _write_drains_again(self) -> None:
        await self._wait_to_write(self._random.uniform(0.0, REWRITE_SECONDS))
        self.drains.write_again()

    async def _expire_entry(self, name: str) -> None:
        await self._wait_to_write(ENTRY_EXPIRY_SECONDS)
        self.store.remove(f"servers/{name}")

    async def _wait_to_write(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        while self.store.down:
            await asyncio.sleep(WRITE_RETRY_SECONDS)

    async def check_server_lists(self) -> None:
        """Checks that all entry VMs have the store's list and drains soon after the last change."""
        while self._restores_in_progress:
            await asyncio.sleep(0.1)
        deadline = time.monotonic() + LIST_SECONDS
        for vm in self.vms:
            client = HttpClient(vm.control_address, Step.PROBE_SERVER)
            difference = await self._compare_server_list(client)
            while difference and time.monotonic() < deadline:
                await asyncio.sleep(0.2)
                difference = await self._compare_server_list(client)
            client.close()
            if difference:
                self.record_violation(f"{vm.name} has another list than the store: {difference}")

    async def _compare_server_list(self, client: HttpClient) -> str:
        reply = await client.get("/v1/state", LIST_SECONDS)
        if not reply.is_ok() or reply.ok_value.status != 200:
            return f"no state: {reply}"
        dump = json.loads(reply.ok_value.body)
        stored = {(name, draining, True) for name, draining in self._listed_names().items()}
        known = {
            (s["name"], s["leaving"], s["unlisted_seconds"] is None)
            for s in dump["backend_servers"]
            if not s["gone"]
        }
        if stored != known:
            return f"not in force {sorted(stored - known)}, in force {sorted(known - stored)}"
        drained = {zone["zone"] for zone in dump["drained_zones"]}
        if drained != self.drains.stored_zones:
            return f"drained {sorted(drained)}, not {sorted(self.drains.stored_zones)}"
        return ""

    # Callers

    async def make_request(
        self, caller: PacketCaller, text: str, port: int, flow: CallerFlow | None
    ):
        """Makes one request and checks its outcome.

        Args:
            caller: makes the request.
            text: the request.
            port: route port, for a new flow.
            flow: open flow to reuse; None to open one.

        Returns:
            The outcome, and the flow if it can be reused.
        """
        self.findings.requests += 1
        deadline = time.monotonic() + DEADLINE_SECONDS
        if flow is None or flow.reset_at is not None:
            flow = caller.new_flow(ROUTE_IP, port)
            if not await await_callback(lambda done: caller.open(flow, done)):
                caller.close(flow)
                return AttemptOutcome.NEVER_OPENED, None
        outcome = await await_callback(lambda done: caller.send_request(flow, text, deadline, done))
        self._check_request(flow, text, port, outcome)
        if outcome is not AttemptOutcome.ANSWERED:
            caller.close(flow)
            flow = None
        return outcome, flow

    def _check_request(
        self, flow: CallerFlow, text: str, port: int, outcome: AttemptOutcome
    ) -> None:
        service = "booking" if port == BOOKING_PORT else "manifest"
        all_servers = [*self.servers.values(), *self.stopped_servers.values()]
        ran_at = [server for server in all_servers for _ in range(server.runs[text])]
        if len(ran_at) > 1:
            self.record_violation(f"{text} ran {len(ran_at)} times")
        if any(server.service != service for server in ran_at):
            self.record_violation(f"{text} ran at another service")
        if outcome is AttemptOutcome.ANSWERED:
            self.findings.answered += 1
            parts = flow.answer.decode().split()
            if parts[:2] != [text, service]:
                self.record_violation(f"{text} got the answer {flow.answer!r}")
        if outcome is AttemptOutcome.RESET:
            self._check_reset(flow, text)

    def _check_reset(self, flow: CallerFlow, text: str) -> None:
        holder = next(
            (server for server in self.servers.values() if server.has_open_flow(flow.key)), None
        )
        if holder is not None:
            self.record_violation(
                f"{text}: flow {flow.key} was reset while it is open at {holder.name}"
            )

    # Start and supervision of the components

    async def _start_caller(self, ip: str, zone: str) -> None:
        caller = PacketCaller(ip, self._random, lambda key: self._choose_vm(key, zone))
        address = Address(ip, self.packet_port)
        self._endpoints[ip] = await LoopbackEndpoint.open(address, caller.handle_datagram)
        caller.start(self._endpoints[ip])
        self.callers.append(caller)

    def _choose_vm(self, key: FlowKey, zone: str) -> Address | None:
        ready = [vm for vm in self.vms if vm.rotation.is_in]
        candidates = [vm for vm in ready if vm.zone == zone] or ready
        if not candidates:
            return None
        chosen_name = rendezvous_order(str(key), (vm.name for vm in candidates))[0]
        return next(Address(vm.ip, self.packet_port) for vm in candidates if vm.name == chosen_name)

    def _terminate_server(self, server: PacketServer) -> None:
        server.crash()
        self._endpoints[server.name].close()
        if self.servers.pop(server.name, None) is not None:
            self.stopped_servers[server.name] = server

    async def _wait_during_fault(
        self, seconds: float, without_contact: Collection[EntryVmProcess]
    ) -> None:
        """Waits while a fault lasts during which some entry VMs have no contact with the store."""
        until = time.monotonic() + seconds
        while True:
            self.last_fault_at = time.monotonic()
            for vm in without_contact:
                vm.contact_since = self.last_fault_at
            if self.last_fault_at >= until:
                return
            await asyncio.sleep(0.1)

    def _sender_contact_since(self, server: PacketServer) -> float:
        """Returns `contact_since` of the entry VM that sent a server its last datagram."""
        sender = self._endpoints[server.name].sender
        return next(vm.contact_since for vm in self.vms if vm.ip == sender)

    async def _start_vms(self, store: Address) -> None:
        ready_port, control_port = free_ports(2)
        places = [(zone, n) for zone in self.zones for n in range(self._vms_per_zone)]
        ips = [f"127.0.{10 + self.zones.index(zone)}.{1 + n}" for zone, n in places]
        for (zone, number), ip in zip(places, ips, strict=True):
            proxy = StoreProxy(store)
            name = f"front-{zone}-{number + 1}"
            settings = {
                "name": name,
                "zone": zone,
                "packet_address": f"{ip}:{self.packet_port}",
                "ready_address": f"{ip}:{ready_port}",
                "control_address": f"{ip}:{control_port}",
                "platform": str(await proxy.start()),
                "seeds": [f"{seed}:{control_port}" for seed in ips[:3]],
            }
            path = self._directory / f"{name}.json"
            path.write_text(json.dumps(settings))
            log_path = self._directory / f"{name}.log"
            vm = EntryVmProcess(
                name,
                zone,
                ip,
                path,
                log_path,
                proxy,
                Address(ip, ready_port),
                Address(ip, control_port),
            )
            self.vms.append(vm)
            vm.supervisor = asyncio.create_task(self._supervise(vm))

    async def _supervise(self, vm: EntryVmProcess) -> None:
        """Restarts an entry VM's process whenever it exits, as the platform does.

        An exit with a code other than 0, or by a signal other than SIGKILL, is a violation.
        """
        environment = os.environ | {
            "MARJORAMFORD_BOOT": str(vm.settings_path),
            "PYTHONPATH": os.pathsep.join([str(SOURCE_PATH), *filter(None, sys.path)]),
        }
        command = [sys.executable, *INTERPRETER_FLAGS, "-m", "marjoramford.platform"]
        while not self._stopping:
            with vm.log_path.open("ab") as log:
                vm.process = await asyncio.create_subprocess_exec(
                    *command, stdout=log, stderr=log, env=environment
                )
                exit_code = await vm.process.wait()
            vm.contact_since = float("inf")
            self.record_event(f"{vm.name} exited with code {exit_code}")
            if exit_code not in (0, -signal.SIGKILL):
                self.record_violation(f"{vm.name} exited with code {exit_code}")
            await asyncio.sleep(RESTART_SECONDS)

    async def _probe_vms(self) -> None:
        clients = {vm.name: HttpClient(vm.ready_address, Step.PROBE_SERVER) for vm in self.vms}
        while True:
            await asyncio.gather(*(self._probe_vm(vm, clients[vm.name]) for vm in self.vms))
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe_vm(self, vm: EntryVmProcess, client: HttpClient) -> None:
        reply = await client.get("/v1/ready", PROBE_INTERVAL_SECONDS)
        is_ready = reply.is_ok() and reply.ok_value.status == 200
        vm.rotation.record_probe(is_ready)
        if not is_ready:
            vm.contact_since = float("inf")
        elif vm.contact_since == float("inf"):
            vm.contact_since = time.monotonic()


def _route(port: int, service: str) -> dict[str, object]:
    return {
        "name": f"r-{port}",
        "host": ROUTE_HOST,
        "prefix": f"/{port}/",
        "service": service,
        "kind": "safe",
        "timeout_ms": 2000,
        "priority": 1,
    }
