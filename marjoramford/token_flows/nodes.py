"""State shared by the components of the decision core."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from ..shared.backend_servers import BackendServers
from ..shared.entry_vms import Coordinator, EntryVm, EntryVms
from ..shared.records import CatalogueEntry, VmRecord
from .budgets import TokenBucket
from .choosers import Policy
from .flows import FlowTable
from .invariants import Invariants
from .keys import KeyRing
from .limits import LimitRequest, LimitShares
from .record_stores import RecordStore
from .reply_suppressors import ReplySuppressor
from .settings import CoreSettings


@dataclass(slots=True)
class Node:
    """The state of one entry VM.

    Attributes:
        own: this entry VM.
        policy: chooses backend servers for requests.
        reply_suppressor: withholds replies while most other entry VMs are unreachable.
        draining_until: deadline of the planned stop, in epoch seconds; None if none is requested.
        successor: the entry VM to which flows are handed over at a planned stop.
        adopted_from: leaving coordinators whose flows this entry VM has adopted.
        limit_requests: requests for larger shares of limits, sent with gossip until an urgent round
            has sent them too.
    """

    settings: CoreSettings
    own: EntryVm
    keys: KeyRing
    random: Random
    invariants: Invariants
    policy: Policy
    entry_vms: EntryVms
    reply_suppressor: ReplySuppressor
    limits: LimitShares
    control_bytes: TokenBucket
    catalogue: RecordStore[CatalogueEntry] = field(default_factory=RecordStore)
    vm_list: RecordStore[VmRecord] = field(default_factory=RecordStore)
    servers: BackendServers = field(default_factory=BackendServers)
    flows: FlowTable = field(default_factory=FlowTable)
    counters: Counter[str] = field(default_factory=Counter)
    limit_requests: dict[tuple[str, str], LimitRequest] = field(default_factory=dict)
    draining_until: float | None = None
    successor: EntryVm | None = None
    adopted_from: set[Coordinator] = field(default_factory=set)

    @property
    def coordinator(self) -> Coordinator:
        """This incarnation of the entry VM as a coordinator of flows."""
        return Coordinator(self.own.name, self.own.incarnation)

    def coordinates_for(self, coordinator: Coordinator) -> bool:
        """Returns whether this is `coordinator` or has adopted its flows at a planned stop."""
        return coordinator == self.coordinator or coordinator in self.adopted_from

    def request_limit(self, request: LimitRequest) -> None:
        """Adds a request for a larger share of a limit to the next gossip."""
        self.limit_requests[(request.service, request.resource)] = request
