"""Simulation of the platform for opaque flows, driven by a virtual clock.

The fabric, the metadata store, the backend servers and the callers are simulated. Packets have the
platform's wire format, and entry VMs make their decisions with the product's `FlowBalancer`.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from ..opaque_flows.flow_balancers import FlowBalancer
from ..opaque_flows.flow_settings import SharedEvidenceSettings
from ..opaque_flows.packets import FlowKey, Forward
from ..shared.addresses import Address
from ..shared.entry_vms import rendezvous_order
from ..shared.records import VmRecord
from .deployments import Deployment
from .networks import Network
from .packet_callers import PacketCaller
from .packet_catalogues import PacketCatalogue
from .packet_checkers import STABLE_SECONDS, PacketChecker
from .packet_evidence import EvidenceNetwork, LinkFaults
from .packet_servers import SLOTS, PacketServer
from .packet_vms import BalancerFactory, EmulatedVm
from .rotations import PROBE_INTERVAL_SECONDS
from .schedules import Schedule

ROUTE_IP = 0xC6120001
FIRST_ROUTE_PORT = 8000
CALLER_PORT = 7000
CALLERS_PER_ZONE = 2
LIST_CHECK_INTERVAL_SECONDS = 0.5


class FlowHash(StrEnum):
    """How the fabric distributes flows over entry VMs.

    Rendezvous hashing moves few flows when an entry VM enters or leaves rotation; hashing modulo
    the number of entry VMs moves most of them.
    """

    RENDEZVOUS = "steady"
    MODULO = "mod"


@dataclass(frozen=True, slots=True)
class PacketWorldSettings:
    """Settings of a simulation.

    Attributes:
        work_seconds: processing time of a request, during which it occupies a slot.
        loss: fraction of the datagrams from and to callers that are lost.
        flow_hash: how the fabric chooses the entry VM of a flow.
        target_seconds: target latency that the routes name; 0 if they name none.
        keep_all_open: whether requests that are not idempotent reuse open flows too.
        shared_evidence: the settings of all entry VMs.
        warmup_seconds: how long a server is cold after each start, except for those that run when
            the simulation begins.
        warmup_per_s: the operator's limit for cold servers of each service; 0 if there is none.
        make_balancer: creates the balancer of an entry VM; comparisons pass baseline policies here.
    """

    work_seconds: float = 0.1
    loss: float = 0.0
    flow_hash: FlowHash = FlowHash.RENDEZVOUS
    target_seconds: float = 0.0
    keep_all_open: bool = False
    shared_evidence: SharedEvidenceSettings = SharedEvidenceSettings()
    warmup_seconds: float = 0.0
    warmup_per_s: float = 0.0
    make_balancer: BalancerFactory = FlowBalancer


class WorldEndpoint:
    """Clock, timer and network access of one simulated caller or server."""

    def __init__(self, world: "PacketWorld", deliver: Callable[[bytes, Address], None]):
        self._world = world
        self._deliver = deliver

    def now(self) -> float:
        """Returns the time of the virtual clock in seconds."""
        return self._world.now

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback on the virtual clock."""
        self._world.after(seconds, callback)

    def send(self, datagram: bytes, address: Address) -> None:
        """Sends a datagram over the simulated network."""
        self._deliver(datagram, address)


class PacketWorld(Schedule):
    """Simulated platform of one deployment.

    Attributes:
        servers: all backend servers ever started, by name, including those that no longer run.
        callers: the callers of each availability zone.
        ports: the route port of each service, by service name.
        evidence: the exchange of evidence; None unless the settings turn it on.
        link_faults: faults of single links.
        wanted_drains: number of drains of each zone that the operator wants to be in force now.
    """

    def __init__(self, deployment: Deployment, seed: int, settings: PacketWorldSettings):
        super().__init__()
        self.deployment = deployment
        self.settings = settings
        self.random = Random(seed)
        self.network = Network(deployment, self.random, settings.loss, 0.0)
        self.catalogue = PacketCatalogue(ROUTE_IP, settings.target_seconds, settings.warmup_per_s)
        self.checker = PacketChecker(self)
        self.link_faults = LinkFaults()
        self.evidence = EvidenceNetwork(self) if settings.shared_evidence.enabled else None
        self.vms: list[EmulatedVm] = []
        self.servers: dict[str, PacketServer] = {}
        self.callers: dict[str, list[PacketCaller]] = {}
        self.ports = {
            service.name: FIRST_ROUTE_PORT + number
            for number, service in enumerate(deployment.services)
        }
        self.wanted_drains: Counter[str] = Counter()
        self._last_fault_at: dict[str, float] = {}
        self._loss_by_zone: dict[str, float] = {}
        self._server_by_address: dict[Address, PacketServer] = {}
        self._free_addresses: list[Address] = []
        self._last_vm: dict[FlowKey, EmulatedVm] = {}
        self._sender: EmulatedVm | None = None
        self._vm_by_address: dict[Address, EmulatedVm] = {}
        self._caller_by_ip: dict[str, PacketCaller] = {}
        self._start_components()

    @property
    def sender(self) -> EmulatedVm | None:
        """The entry VM that sent the datagram which a server is handling now."""
        return self._sender

    def last_vm(self, key: FlowKey) -> EmulatedVm | None:
        """Returns the entry VM that the fabric chose for the flow's last packet."""
        return self._last_vm.get(key)

    def is_stable(self, name: str) -> bool:
        """Returns whether no fault hit a server or its zone's links within `STABLE_SECONDS`."""
        zone = self.servers[name].zone
        latest = max(self._last_fault_at.get(target, 0.0) for target in (name, zone))
        return latest < self.now - STABLE_SECONDS

    def record_fault(self, target: str) -> None:
        """Records that a fault or planned change hits a server, or the links of a zone, now."""
        self._last_fault_at[target] = self.now

    def set_zone_loss(self, zone: str, share: float) -> None:
        """Sets the fraction of datagrams that a zone's links lose; 0 ends the loss.

        It applies to datagrams from entry VMs to servers, at each end that is in the zone.
        """
        self.record_fault(zone)
        self._loss_by_zone[zone] = share

    # Servers

    def start_server(
        self, service: str, zone: str, reuse_address: bool = False, warm: bool = False
    ) -> PacketServer:
        """Starts a server and publishes its entry in the store.

        Args:
            service: name of the service.
            zone: availability zone of the server.
            reuse_address: give the server the address of a terminated one, if there is any.
            warm: start it without a cold start.
        """
        number = len(self.servers) + 1
        server = PacketServer(
            f"i-{number:08x}", service, zone, self.settings.work_seconds, self.random
        )
        address = Address(f"10.9.{number // 250}.{number % 250 + 1}", 8000)
        if reuse_address and self._free_addresses:
            address = self._free_addresses.pop()
        self._start_process(server, address, 0.0 if warm else self.settings.warmup_seconds)
        server.observer = self.checker
        self.servers[server.name] = server
        self._server_by_address[address] = server
        self.list_server(server)
        return server

    def restart_server(self, server: PacketServer) -> None:
        """Starts a stopped server again under its name and address, without listing it."""
        self.record_fault(server.name)
        self._start_process(server, server.address, self.settings.warmup_seconds)

    def _start_process(self, server: PacketServer, address: Address, warmup_seconds: float) -> None:
        zone = server.zone
        endpoint = WorldEndpoint(self, lambda data, to: self._deliver_to_caller(zone, data, to))
        server.start(endpoint, address, CALLER_PORT, warmup_seconds)

    def list_server(self, server: PacketServer, state: str = "live") -> None:
        """Writes a server's entry to the store, with the state `live` or `leaving`."""
        if state == "leaving":
            self.checker.on_server_draining(server.name)
        record = VmRecord(
            name=server.name,
            revision=1,
            incarnation=server.incarnation,
            role="server",
            zone=server.zone,
            host=server.address.host,
            data_port=server.address.port,
            http_port=server.address.port,
            service=server.service,
            slots=SLOTS,
            warm_at=server.warm_at if server.warmup_left_seconds else 0.0,
            state=state,
        )
        self.catalogue.put_server(record, self.now)

    def terminate_server(self, server: PacketServer) -> None:
        """Terminates a server without closing its flows, and frees its address for reuse."""
        self.stop_server(server)
        self._free_addresses.append(server.address)

    def stop_server(self, server: PacketServer) -> None:
        """Stops a server without closing its flows; it may start again at its address."""
        self.record_fault(server.name)
        server.crash()

    def running_servers(self, service: str | None = None) -> list[PacketServer]:
        """Returns the running servers of one service, or of all services."""
        return [
            server
            for server in self.servers.values()
            if server.alive and service in (None, server.service)
        ]

    # Store

    def write_drain(self, zone: str) -> None:
        """Writes to the store, as its operator, whether a zone is drained."""
        if self.wanted_drains[zone]:
            self.catalogue.drain_zone(zone, self.now)
            self.checker.on_zone_drained(zone)
        else:
            self.catalogue.return_zone(zone, self.now)
            self.checker.on_zone_returned(zone)

    # Network

    def send_to_server(self, vm: EmulatedVm, datagram: bytes, forward: Forward) -> None:
        """Sends a datagram from an entry VM to a backend server.

        It is dropped if the zones are cut off from each other, if a lossy link loses it, or if the
        server no longer runs at this address when it arrives.
        """
        server = self._server_by_address.get(forward.server.data_address)
        if server is None or self.network.is_cut(vm.zone, server.zone):
            return
        if self._drops_datagram(vm.zone) or self._drops_datagram(server.zone):
            return
        if (vm.name, server.zone) in self.link_faults.cuts:
            return
        link_delay = self.link_faults.draw_delay(vm.name, self.random)
        if link_delay is None:
            return
        delay = self.network.draw_zone_latency(vm.zone, server.zone) + link_delay

        def arrive() -> None:
            if server.alive and self._server_by_address.get(server.address) is server:
                self._sender = vm
                server.handle_datagram(datagram)
                self._sender = None

        self.after(delay, arrive)

    def send_to_caller(self, vm: EmulatedVm, datagram: bytes, address: Address) -> None:
        """Sends a datagram from an entry VM to a caller."""
        self._deliver_to_caller(vm.zone, datagram, address)

    def _deliver_to_caller(self, zone: str, datagram: bytes, address: Address) -> None:
        caller = self._caller_by_ip.get(address.host)
        if caller is None or self.network.draw_loss():
            return
        self.after(self.network.draw_caller_latency(), lambda: caller.handle_datagram(datagram))

    def _deliver_to_vm(self, datagram: bytes, address: Address) -> None:
        vm = self._vm_by_address[address]
        if self.network.draw_loss():
            return
        link_delay = self.link_faults.draw_delay(vm.name, self.random)
        if link_delay is not None:
            delay = self.network.draw_caller_latency() + link_delay
            self.after(delay, lambda: vm.handle_datagram(datagram))

    def _drops_datagram(self, zone: str) -> bool:
        return self.random.random() < self._loss_by_zone.get(zone, 0.0)

    # Fabric

    def _choose_vm(self, key: FlowKey, zone: str) -> Address | None:
        candidates = [vm for vm in self.vms if vm.zone == zone]
        ready = [vm for vm in candidates if vm.rotation.is_in]
        if 2 * len(ready) >= len(candidates):
            candidates = ready
        elif not ready:
            candidates = [vm for vm in self.vms if vm.rotation.is_in] or candidates
        if not candidates:
            return None
        if self.settings.flow_hash is FlowHash.MODULO:
            vm = candidates[hash(key) % len(candidates)]
        else:
            by_name = {vm.name: vm for vm in candidates}
            vm = by_name[rendezvous_order(str(key), by_name)[0]]
        self._last_vm[key] = vm
        return vm.address

    def _probe_vms(self) -> None:
        for vm in self.vms:
            vm.rotation.record_probe(vm.ready)
        self.after(PROBE_INTERVAL_SECONDS, self._probe_vms)

    def _check_server_lists(self) -> None:
        self.checker.check_server_lists()
        self.after(LIST_CHECK_INTERVAL_SECONDS, self._check_server_lists)

    # Start of the components

    def _start_components(self) -> None:
        routes = {port: service for service, port in self.ports.items()}
        self.catalogue.publish_routes(routes, self.now)
        for service in self.deployment.services:
            for number in range(service.servers):
                self.start_server(service.name, self._zone_for(number), warm=True)
        for number in range(self.deployment.entry_vms):
            self._start_vm(number)
        for number, zone in enumerate(self.deployment.zones):
            self.callers[zone] = [
                self._start_caller(zone, f"100.64.{number}.{each + 1}")
                for each in range(CALLERS_PER_ZONE)
            ]
        self._probe_vms()
        self._check_server_lists()

    def _start_vm(self, number: int) -> None:
        zone = self._zone_for(number)
        vm = EmulatedVm(
            self,
            f"front-{zone}-{number}",
            zone,
            Address(f"10.8.0.{number + 1}", CALLER_PORT),
            self.catalogue,
            Random(self.random.random()),
            self.settings.make_balancer,
            self.settings.shared_evidence,
        )
        self.vms.append(vm)
        self._vm_by_address[vm.address] = vm
        vm.start(planned=True)

    def _start_caller(self, zone: str, ip: str) -> PacketCaller:
        caller = PacketCaller(ip, self.random, lambda key: self._choose_vm(key, zone))
        caller.start(WorldEndpoint(self, self._deliver_to_vm))
        caller.on_packet_sent = self.checker.on_packet_sent
        caller.on_reset = self.checker.on_flow_reset
        self._caller_by_ip[ip] = caller
        return caller

    def _zone_for(self, number: int) -> str:
        return self.deployment.zones[number % len(self.deployment.zones)]
