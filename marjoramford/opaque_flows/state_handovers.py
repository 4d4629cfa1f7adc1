"""Hands the state over at a planned stop while the platform does not answer.

Load pattern: entry VMs are stopped one after the other while others are without power and the
platform is silent. Those that start then find nobody who knows the routes and servers, unless the
ones that stop pass them on before they end.
"""

import asyncio
from collections.abc import Iterable

from result import Ok

from ..shared.addresses import Address
from ..shared.entry_vms import EntryVm
from ..shared.errors import Step
from .flow_balancers import FlowBalancer
from .flow_settings import PacketVmSettings
from .http_calls import HttpClient
from .peer_groups import PeerGroup
from .state_publishers import StatePublisher

# Pause between two rounds of offers, and the offers of one round; a state is some kilobytes.
ROUND_SECONDS = 0.25
MAX_OFFERS = 8
# Entry VMs that have been away are offered the state first.
_AWAY_STATES = ("suspect", "lost")


class HandoverPlan:
    """Decides to which entry VMs the state is offered; no I/O."""

    def __init__(self) -> None:
        self._holders: set[Address] = set()
        self._offered: dict[Address, int] = {}

    @property
    def has_holder(self) -> bool:
        """Whether another entry VM is known to have the state."""
        return bool(self._holders)

    def choose(self, others: Iterable[EntryVm]) -> list[Address]:
        """Returns the addresses of the next round: those that were offered the least come first."""
        candidates = [
            vm
            for vm in others
            if vm.state not in ("leaving", "left") and vm.control_address not in self._holders
        ]
        candidates.sort(
            key=lambda vm: (
                self._offered.get(vm.control_address, 0),
                vm.state not in _AWAY_STATES,
            )
        )
        chosen = [vm.control_address for vm in candidates[:MAX_OFFERS]]
        for address in chosen:
            self._offered[address] = self._offered.get(address, 0) + 1
        return chosen

    def record(self, address: Address, has_state: bool) -> None:
        """Records whether an entry VM has the state after an offer."""
        if has_state:
            self._holders.add(address)


class StateHandover:
    """Offers the state of an entry VM that stops to the others, as long as the platform is lost.

    Args:
        settings: settings of this entry VM.
        balancer: holds the state.
        group: knows the other entry VMs.
        publisher: encodes the state.
    """

    def __init__(
        self,
        settings: PacketVmSettings,
        balancer: FlowBalancer,
        group: PeerGroup,
        publisher: StatePublisher,
    ):
        self._settings = settings
        self._balancer = balancer
        self._group = group
        self._publisher = publisher
        self._plan = HandoverPlan()

    @property
    def is_pending(self) -> bool:
        """Whether this may be the only entry VM with the state, and the platform lacks it too."""
        return self._is_needed and bool(len(self._group.entry_vms)) and not self._plan.has_holder

    @property
    def _is_needed(self) -> bool:
        return self._balancer.ready and self._balancer.server_list.is_platform_lost

    async def run(self) -> None:
        """Offers the state in rounds until cancelled."""
        while True:
            if self._is_needed:
                await self._offer()
            await asyncio.sleep(ROUND_SECONDS)

    async def _offer(self) -> None:
        addresses = self._plan.choose(self._group.entry_vms.others())
        if not addresses:
            return
        body = await self._publisher.answer(0, 0, 0.0, compress=True, era=0, routes_era=0)
        await asyncio.gather(*(self._offer_to(address, body) for address in addresses))

    async def _offer_to(self, address: Address, body: bytes) -> None:
        client = HttpClient(address, Step.HAND_OVER)
        reply = await client.post("/v1/published", body, self._settings.peers.timeout)
        client.close()
        match reply:
            case Ok(reply) if reply.status == 200:
                self._plan.record(address, True)
                self._balancer.counters["states_handed_over"] += 1
