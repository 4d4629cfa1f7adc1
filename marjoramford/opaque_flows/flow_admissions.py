"""Admission of new flows: whether one is refused, and otherwise the server at which it opens.

`FlowAdmission` gathers what this depends on: the requests in progress here and at other entry VMs
(`peer_loads`), overload (`overload_controls`), limits of cold servers (`cold_starts`) and the
choice among the remaining servers (`placements`). Each of these modules names the load pattern
that it answers.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec

from ..shared.backend_servers import BackendServer
from .cold_starts import ColdStartControl
from .flow_labels import derive_label
from .flow_logs import log_overload
from .flow_settings import PacketVmSettings
from .installed_routes import InstalledRoutes
from .overload_controls import OverloadControl, are_slots_taken
from .peer_loads import LoadReport, PeerLoads
from .placements import choose_server, own_requests
from .routes import Route
from .server_lists import ServerList
from .zone_contacts import ZoneContact

# Reasons for which opening packets are refused or dropped.
ZONE_DRAINED = "zone drained"
CUT_OFF = "zone cut off"
COLD_SERVERS = "cold servers"
NO_SERVER = "no server"


class AllLoads(msgspec.Struct, frozen=True):
    """All entry VMs report: the requests in progress per slot, of each server that takes flows."""

    loads: tuple[float, ...]


class SampledLoads(msgspec.Struct, frozen=True):
    """Enough of a large fleet report: the mean of these loads, extrapolated from their part."""

    mean: float


class UnknownLoads(msgspec.Struct, frozen=True):
    """Too few entry VMs report."""


LoadView = AllLoads | SampledLoads | UnknownLoads


class FlowAdmission:
    """Decides on the new flows of one entry VM.

    Args:
        settings: settings of the entry VM.
        server_list: the servers of all services.
        routes: the routes in force, with the limits of cold servers.
        zone_contact: whether other zones can be reached.
        random: draws refusals, and breaks ties between servers.
        counters: counts refusals and openings at cold servers, by name.
        now: time on the monotonic clock, in seconds.

    Attributes:
        entry_vm_count: entry VMs that share the load, with this one.
        cold_starts: shares of the limits of cold servers.
        peer_loads: requests in progress through other entry VMs.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        server_list: ServerList,
        routes: InstalledRoutes,
        zone_contact: ZoneContact,
        random: Random,
        counters: Counter[str],
        now: float,
    ):
        self._settings = settings
        self._server_list = server_list
        self._routes = routes
        self._zone_contact = zone_contact
        self._random = random
        self._counters = counters
        self._overload_controls: dict[str, OverloadControl] = {}
        self.entry_vm_count = 1
        self.cold_starts = ColdStartControl(settings.name, settings.zone, settings.cold_starts, now)
        self.peer_loads = PeerLoads(settings.load_reports)

    @property
    def refusal_levels(self) -> dict[str, float]:
        """The refusal level of each service that answered requests lately."""
        return {name: control.level for name, control in self._overload_controls.items()}

    def update(self, now: float) -> None:
        """Moves the refusal levels; must be called several times a second."""
        for service, control in self._overload_controls.items():
            was_refusing = control.level > 0
            match self._view_loads(service, now):
                case AllLoads(loads=loads):
                    control.update_by_loads(loads)
                case SampledLoads(mean=mean):
                    control.update_by_sample(mean, now)
                case UnknownLoads() if self._can_know_all_loads:
                    control.update_by_loads([])
                case UnknownLoads():
                    control.update(self._are_slots_taken(service, now), now)
            if was_refusing != (control.level > 0):
                log_overload(service, control)

    def record_answer_time(
        self, server: BackendServer, route: Route, seconds: float, now: float
    ) -> None:
        """Records how long a request on a route with a target latency took."""
        control = self._overload_controls.get(server.service)
        if control is None:
            control = OverloadControl(self._settings.overload)
            self._overload_controls[server.service] = control
        control.record_answer(server.name, route, seconds, now)

    def discard_answers(self) -> None:
        """Discards the recent answer times, after this process was stalled."""
        for control in self._overload_controls.values():
            control.discard_answers()

    # Refusals

    def refuses(self, service: str, route: Route, now: float) -> bool:
        """Returns whether a new flow is refused because the service is overloaded."""
        control = self._overload_controls.get(service)
        if control is None:
            return False
        match self._view_loads(service, now):
            case AllLoads(loads=loads):
                return control.refuses_by_loads(route, loads, now)
            case SampledLoads(mean=mean):
                return control.refuses_by_sample(route, mean, now)
        if self._can_know_all_loads or not control.refuses(route, now, self._random):
            return False
        # Judged again for each flow: slots may have become free since the last tick.
        return self._are_slots_taken(service, now)

    def explain_no_server(self, service: str, now: float) -> str:
        """Returns why no server can take a flow, and counts the refusal by its reason."""
        servers = self._server_list.servers.of_service(service)
        if any(self.accepts(server, now) for server in servers):
            self._counters["cold_refused"] += 1
            return COLD_SERVERS
        if self._zone_contact.is_cut_off(now):
            self._counters["refused_cut_off"] += 1
            return CUT_OFF
        if any(s.zone_drained and not (s.leaving or s.gone) for s in servers):
            self._counters["refused_zone_drained"] += 1
            return ZONE_DRAINED
        return NO_SERVER

    # Placement

    def place(
        self, service: str, avoided: tuple[BackendServer, ...], now: float
    ) -> BackendServer | None:
        """Returns the server at which a flow opens; None if there is none.

        Args:
            service: the flow's service.
            avoided: servers that did not answer its opening packet.
            now: time on the monotonic clock, in seconds.
        """
        servers = self._server_list.servers.of_service(service)
        limit = self.warmup_limit(service)
        usable = [
            server
            for server in servers
            if self.accepts(server, now)
            and (not limit or self.cold_starts.may_open(server, limit, now))
        ]
        server = choose_server(
            usable,
            avoided,
            self._settings.zone,
            now,
            self._settings.placement,
            self._random,
            self._make_counter(now),
        )
        if server is not None:
            self._record_cold_opening(server, now)
        return server

    def accepts(self, server: BackendServer, now: float) -> bool:
        """Returns whether new flows may open at a server, regardless of its load and limit.

        While the zone is cut off, its own servers alone can be reached, also if it is drained: a
        drain moves work to other zones, and there is no way there.
        """
        if not self._zone_contact.is_cut_off(now):
            return server.accepts_work
        if server.zone != self._settings.zone:
            return False
        if self._settings.placement.drained_if_cut_off:
            return server.accepts_work_if_drained
        return server.accepts_work

    def warmup_limit(self, service: str) -> float:
        """Returns the flows per second that may open at a cold server; 0 if there is no limit."""
        return self._routes.warmup_limit(service)

    def take_token(self, server: BackendServer, now: float) -> bool:
        """Takes a token for an opening packet if the server's limit applies and there is one."""
        if not self.cold_starts.may_open(server, self.warmup_limit(server.service), now):
            return False
        self._record_cold_opening(server, now)
        return True

    def _record_cold_opening(self, server: BackendServer, now: float) -> None:
        limit = self.warmup_limit(server.service)
        if self.cold_starts.record_opening(server, limit, now):
            self._counters["cold_openings"] += 1

    # Requests in progress

    def make_load_report(self, incarnation: int, now: float) -> LoadReport | None:
        """Returns the report to other entry VMs that is due, or None."""
        counts = {
            derive_label(server.name, server.incarnation): server.in_progress
            for server in self._server_list.servers.values()
            if server.in_progress
        }
        loaded_share = self._settings.load_reports.loaded_share
        loaded = any(
            self._are_slots_used(service, loaded_share, now) for service in self._overload_controls
        )
        return self.peer_loads.make_report(incarnation, counts, loaded, now)

    @property
    def _can_know_all_loads(self) -> bool:
        """Whether there are few enough entry VMs that all report to each other."""
        return self.entry_vm_count <= self._settings.load_reports.receivers + 1

    def _knows_all_loads(self, now: float) -> bool:
        """Whether the requests in progress through all entry VMs are known."""
        return self.peer_loads.count_reporting(now) + 1 >= self.entry_vm_count

    def _has_sample(self, now: float) -> bool:
        """Whether enough entry VMs report: all in a small fleet, else half of those that would."""
        reporting = self.peer_loads.count_reporting(now)
        if self._can_know_all_loads:
            return reporting > 0 and self._knows_all_loads(now)
        return 2 * reporting >= self._settings.load_reports.receivers > 0

    def _view_loads(self, service: str, now: float) -> LoadView:
        """Returns what is known of the loads of a service's servers."""
        knows_all = self._can_know_all_loads and self._knows_all_loads(now)
        if not (knows_all or self._has_sample(now)):
            return UnknownLoads()
        loads = tuple(
            self._count_known(server, now) / max(1, server.slots)
            for server in self._server_list.servers.of_service(service)
            if server.accepts_work and server.unlisted_since is None
        )
        if knows_all:
            return AllLoads(loads)
        if not loads:
            return UnknownLoads()
        return SampledLoads(self._extrapolation(now) * sum(loads) / len(loads))

    def _are_slots_taken(self, service: str, now: float) -> bool:
        return self._are_slots_used(service, 1 + self._settings.overload.queued_share, now)

    def _are_slots_used(self, service: str, share: float, now: float) -> bool:
        """Whether the requests in progress exceed a share of the slots of a service."""
        scale = self._extrapolation(now)
        servers = self._server_list.servers.of_service(service)
        return are_slots_taken(
            servers,
            lambda server: self._count_known(server, now) * scale,
            share - 1,
            self.warmup_limit(service),
            now,
        )

    def _extrapolation(self, now: float) -> float:
        """Returns the factor from the known requests in progress to those of all entry VMs."""
        known = 1 + self.peer_loads.count_reporting(now)
        return max(1.0, self.entry_vm_count / known)

    def _make_counter(self, now: float) -> Callable[[BackendServer], int]:
        """Returns how the placement counts the requests in progress at a server."""
        if self._has_sample(now):
            return lambda server: self._count_known(server, now)
        return own_requests

    def _count_known(self, server: BackendServer, now: float) -> int:
        """Returns the requests in progress through this entry VM and those that report to it."""
        label = derive_label(server.name, server.incarnation)
        return server.in_progress + self.peer_loads.count_requests(label, now)
