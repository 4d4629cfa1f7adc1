"""Simulated entry VM for opaque flows: the product's balancer under a virtual clock."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

from ..opaque_flows.flow_balancers import FlowBalancer
from ..opaque_flows.flow_settings import PacketVmSettings, PeerSettings, SharedEvidenceSettings
from ..opaque_flows.packets import FlowKey, Forward, ResetFlow
from ..opaque_flows.peer_groups import ZoneMembers
from ..opaque_flows.peer_loads import choose_receivers
from ..platform.packets import PlatformCodec
from ..shared.addresses import Address
from .packet_catalogues import PacketCatalogue
from .rotations import Rotation

STORE_READ_INTERVAL_SECONDS = 0.2
TICK_INTERVAL_SECONDS = 0.1
# Time from the start of the process until it serves.
BOOT_SECONDS = 0.9
# In a planned stop, how long the entry VM forwards after it reports not ready, and how long its
# process is down afterwards.
DRAIN_SECONDS = 2.0
RESTART_SECONDS = 0.5


# How an entry VM learns of the others in its zone: once in an exchange; one that has not served for
# the time of the product's suspicion is left out.
MEMBER_EXCHANGE_SECONDS = PeerSettings().exchange_seconds
MEMBER_LOSS_SECONDS = PeerSettings().suspicion_seconds


BalancerFactory = Callable[[PacketVmSettings, Random, float], FlowBalancer]


class VmHost(Protocol):
    """Clock, timer and network that an entry VM uses."""

    now: float
    vms: list["EmulatedVm"]
    evidence: "EvidenceSharing | None"

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback."""

    def send_to_server(self, vm: "EmulatedVm", datagram: bytes, forward: Forward) -> None:
        """Sends a datagram to a backend server."""

    def send_to_caller(self, vm: "EmulatedVm", datagram: bytes, address: Address) -> None:
        """Sends a datagram to a caller."""


class EvidenceSharing(Protocol):
    """Carries evidence of dead servers between entry VMs."""

    def advance(self, vm: "EmulatedVm") -> None:
        """Sends what is due from an entry VM; called after each of its ticks."""


class EmulatedVm:
    """One entry VM, whose process can be stopped, killed, suspended and cut off from the store.

    Attributes:
        rotation: whether the fabric sends packets to it.
        last_fault_at: when a fault or planned change last hit it or its path to the store, in
            seconds.
        last_unplanned_fault_at: the same for faults alone.
        boots: number of starts and kills of its process; identifies one run of it.
        served_at: when its process was last seen to run, in seconds.
        has_announced_leave: whether its last stop was planned.
    """

    def __init__(
        self,
        host: VmHost,
        name: str,
        zone: str,
        address: Address,
        catalogue: PacketCatalogue,
        random: Random,
        make_balancer: BalancerFactory = FlowBalancer,
        shared_evidence: SharedEvidenceSettings | None = None,
    ):
        self.name = name
        self.zone = zone
        self.address = address
        self.rotation = Rotation()
        self.last_fault_at = host.now
        self.last_unplanned_fault_at = float("-inf")
        self.boots = 0
        self.served_at = float("-inf")
        self.has_announced_leave = False
        self._members: ZoneMembers | None = None
        self.balancer: FlowBalancer | None = None
        self._host = host
        self._catalogue = catalogue
        self._random = random
        self._make_balancer = make_balancer
        self._is_stopping = False
        self._store_access_denied = False
        self._contact_since = float("inf")
        self._frozen_until = host.now
        self._buffered: list[bytes] = []
        self._codec = PlatformCodec(address.port)
        self._settings = PacketVmSettings(
            name=name,
            zone=zone,
            packet_address=str(address),
            ready_address=str(address),
            control_address=str(address),
            platform=str(address),
            shared_evidence=shared_evidence or SharedEvidenceSettings(),
        )

    @property
    def ready(self) -> bool:
        """Whether it answers a readiness probe with success."""
        is_serving = self.balancer is not None and not self._is_stopping
        return is_serving and not self.is_frozen and self.balancer.ready

    @property
    def reads_store(self) -> bool:
        """Whether its process runs and the store does not refuse its requests."""
        is_running = self.balancer is not None and not self.is_frozen
        return is_running and not self._store_access_denied

    @property
    def settings(self) -> PacketVmSettings:
        """The settings of its process."""
        return self._settings

    @property
    def contact_since(self) -> float:
        """Since when it has read the store without interruption, in seconds; infinity if not."""
        return self._contact_since

    @property
    def is_frozen(self) -> bool:
        """Whether its process is suspended."""
        return self._host.now < self._frozen_until

    def record_fault(self, planned: bool = False) -> None:
        """Records that a fault or planned change hits it now."""
        self.last_fault_at = self._host.now
        if not planned:
            self.last_unplanned_fault_at = self._host.now

    def deny_store_access(self) -> None:
        """Makes the store refuse its requests."""
        self.record_fault()
        self._contact_since = float("inf")
        self._store_access_denied = True

    def allow_store_access(self) -> None:
        """Makes the store answer its requests again."""
        self.record_fault()
        self._store_access_denied = False

    def start(self, planned: bool = False) -> None:
        """Starts the process."""
        self.record_fault(planned)
        self.boots += 1
        self._is_stopping = False
        self._buffered.clear()
        self._frozen_until = self._host.now
        self._host.after(BOOT_SECONDS, self._if_same_boot(self._start_serving))

    def kill(self, down_seconds: float, planned: bool = False) -> None:
        """Ends the process; it starts again after `down_seconds`."""
        self.record_fault(planned)
        self.boots += 1
        self.has_announced_leave = planned
        self.balancer = None
        self._contact_since = float("inf")
        self._host.after(down_seconds, self._if_same_boot(lambda: self.start(planned)))

    def stop(self) -> None:
        """Begins a planned stop: drains, ends the process and starts it again.

        Without effect unless it serves and is not stopping already.
        """
        if self.balancer is None or self._is_stopping:
            return
        self.record_fault(planned=True)
        self._is_stopping = True
        end = self._if_same_boot(lambda: self.kill(RESTART_SECONDS, planned=True))
        self._host.after(DRAIN_SECONDS, end)

    def freeze(self, seconds: float) -> None:
        """Suspends the process; datagrams that arrive meanwhile are buffered."""
        self.record_fault()
        self._contact_since = float("inf")
        self._frozen_until = self._host.now + seconds
        self._host.after(seconds, self._if_same_boot(self._thaw))

    def handle_datagram(self, datagram: bytes) -> None:
        """Handles a datagram from the fabric.

        It is dropped while the process does not serve, and buffered while it is suspended.
        """
        if self.balancer is None:
            return
        if self.is_frozen:
            self._buffered.append(datagram)
            return
        head = self._codec.decode(datagram)
        match self.balancer.handle_packet(head, self._host.now):
            case Forward() as forward:
                payload = self._codec.encode_forwarded(datagram, forward)
                self._host.send_to_server(self, payload, forward)
            case ResetFlow():
                self._reset(head.flow, head.acknowledged)

    def _start_serving(self) -> None:
        self.balancer = self._make_balancer(self._settings, self._random, self._host.now)
        self._call_periodically(STORE_READ_INTERVAL_SECONDS, self._read_store)
        self._call_periodically(TICK_INTERVAL_SECONDS, self._tick)
        self._host.after(Random(self.name).random(), self._if_same_boot(self._report_load))
        self._members = None
        # The time of the exchanges differs between entry VMs, but not between runs.
        first_exchange = Random(self.name).uniform(0.0, MEMBER_EXCHANGE_SECONDS)
        exchange = partial(self._call_periodically, MEMBER_EXCHANGE_SECONDS, self._exchange_members)
        self._host.after(first_exchange, self._if_same_boot(exchange))

    def _thaw(self) -> None:
        self.record_fault()
        buffered, self._buffered = self._buffered, []
        for datagram in buffered:
            self.handle_datagram(datagram)

    def _read_store(self) -> None:
        if self._store_access_denied or self._catalogue.down:
            self._contact_since = float("inf")
            self.balancer.server_list.mark_unreachable(self._host.now)
            return
        self._contact_since = min(self._contact_since, self._host.now)
        server_list = self.balancer.server_list
        server_list.apply(self._catalogue.changes_since(server_list.version), self._host.now)
        server_list.confirm(self._host.now)
        self.balancer.installed_routes.apply(self._catalogue.routes)

    def _exchange_members(self) -> None:
        recently = self._host.now - MEMBER_LOSS_SECONDS
        present, lost = [], []
        for vm in self._host.vms:
            if vm.zone == self.zone and vm.served_at >= recently:
                present.append(vm.name)
            elif vm.zone == self.zone and vm.served_at > 0 and not vm.has_announced_leave:
                lost.append(vm.name)
        self._members = ZoneMembers(present, lost)

    def _tick(self) -> None:
        self.served_at = self._host.now
        if self._members is not None:
            present, lost = self._members.present, self._members.lost
            self.balancer.admission.cold_starts.update_members(present, lost, self._host.now)
        self.balancer.admission.entry_vm_count = sum(
            vm.balancer is not None for vm in self._host.vms
        )
        if self.balancer.evidence.is_shared:
            running = (vm for vm in self._host.vms if vm is not self and vm.balancer is not None)
            others = frozenset((vm.name, vm.boots) for vm in running)
            self.balancer.evidence.update_entry_vms(others, self._host.now)
        for reset in self.balancer.tick(self._host.now):
            self._reset(reset.flow, reset.acknowledged)
        if self._host.evidence is not None:
            self._host.evidence.advance(self)

    def _report_load(self) -> None:
        now = self._host.now
        vms = {vm.name: vm for vm in self._host.vms if vm.balancer is not None}
        receivers = choose_receivers(self.name, vms, self._settings.load_reports.receivers)
        pause = self._settings.load_reports.interval_seconds / max(1, len(receivers))
        self._host.after(pause, self._if_same_boot(self._report_load))
        if not receivers or self.is_frozen:
            return
        report = self.balancer.admission.make_load_report(self.boots, now)
        if report is not None:
            receiver = receivers[report.sequence % len(receivers)]
            vms[receiver].balancer.admission.peer_loads.record(self.name, report, now)

    def _reset(self, flow: FlowKey, acknowledged: int) -> None:
        datagram, address = self._codec.encode_reset(flow, acknowledged)
        self._host.send_to_caller(self, datagram, address)

    def _call_periodically(self, seconds: float, callback: Callable[[], None]) -> None:
        def call_again() -> None:
            if not self.is_frozen:
                callback()
            self._host.after(seconds, self._if_same_boot(call_again))

        call_again()

    def _if_same_boot(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Returns a callback that does nothing once the current run of the process has ended."""
        boot = self.boots

        def call_in_same_boot() -> None:
            if self.boots == boot:
                callback()

        return call_in_same_boot
