"""Admission of new flows: checks the service's connection limit and chooses a backend server."""

from ..shared.addresses import Address
from ..shared.backend_servers import BackendServer
from ..shared.records import CatalogueEntry
from .actions import Action, SendInner, SendToCaller
from .keys import Purpose
from .limits import LimitRequest, Resource
from .messages import Open, Opened, OpenRefused, Relay, encode
from .nodes import Node
from .requests import Flow
from .tokens import Token, seal_token, verify_token

MAX_OPEN_HOPS = 2
OPEN_RETRY_DELAY_SECONDS = 1.0
FLOW_NUMBER_BITS = 63


class FlowAdmission:
    """Handles `Open`; the entry VM that accepts it becomes the flow's coordinator."""

    def __init__(self, node: Node):
        self._node = node

    def handle_open(self, request: Open, caller: Address, hops: int, now: float) -> list[Action]:
        """Creates a flow, relays the `Open` to another entry VM, or refuses it.

        No flow is opened if the service is retired or this entry VM's share of its connection limit
        is used up. An `Open` with a valid token of an earlier flow is exempt from both and keeps
        its server if possible.

        An `Open` that comes directly from a caller gets no reply while `ReplySuppressor` withholds
        replies.
        """
        node = self._node
        if hops == 0 and node.reply_suppressor.suppresses_reply(request.nonce, now):
            return []
        entry = node.catalogue.get(request.service)
        previous = self._valid_previous_token(request, caller, now)
        if node.draining_until is not None:
            return self._relay_or_refuse(request, caller, hops, "entry VM is leaving", now)
        if entry is None:
            return self._relay_or_refuse(request, caller, hops, "unknown service", now)
        if entry.retired and previous is None:
            return self._refuse(request, caller, "service is retired", now)
        available = node.limits.available(
            entry.name, Resource.CONNECTIONS, entry.max_connections, now
        )
        if previous is None and node.flows.count_by_service(entry.name) >= available:
            node.request_limit(
                LimitRequest(entry.name, Resource.CONNECTIONS, max(1, entry.max_connections // 8))
            )
            return self._relay_or_refuse(request, caller, hops, "connection limit", now)
        server = self._choose_server(entry, previous, now)
        if server is None:
            return self._relay_or_refuse(request, caller, hops, "no backend server", now)
        return self._create_flow(request, caller, entry, server, previous, now)

    def _valid_previous_token(self, request: Open, caller: Address, now: float) -> Token | None:
        """Returns the token of the flow that the caller reopens, or None if there is no valid one.

        It must not have expired, and must belong to this caller and to the current incarnation of
        the requested service.
        """
        if not request.previous_token:
            return None
        token = verify_token(request.previous_token, self._node.keys).ok()
        if token is None or token.caller != caller or token.service != request.service:
            return None
        entry = self._node.catalogue.get(token.service)
        if entry is None or entry.added_at_revision != token.service_incarnation:
            return None
        return token if token.expires_at > now else None

    def _choose_server(
        self, entry: CatalogueEntry, previous: Token | None, now: float
    ) -> BackendServer | None:
        """Returns the earlier flow's server if it is usable, otherwise one with the fewest flows.

        Only flows that this entry VM coordinates are counted; ties are broken at random.
        """
        node = self._node
        if previous is not None:
            previous_server = node.servers.get(previous.server)
            is_same_incarnation = (
                previous_server is not None
                and previous_server.incarnation == previous.server_incarnation
            )
            if (
                is_same_incarnation
                and previous_server.accepts_work
                and previous_server.ejected_until <= now
            ):
                return previous_server
        servers = node.servers.sample_candidates(entry.name, node.random, now)
        if not servers:
            return None
        node.random.shuffle(servers)
        return min(servers, key=lambda server: node.flows.count_by_server(server.name))

    def _create_flow(
        self,
        request: Open,
        caller: Address,
        entry: CatalogueEntry,
        server: BackendServer,
        previous: Token | None,
        now: float,
    ) -> list[Action]:
        node = self._node
        number = node.random.getrandbits(FLOW_NUMBER_BITS)
        token = Token(
            flow=number,
            stream=previous.stream if previous else number,
            service=entry.name,
            service_incarnation=entry.added_at_revision,
            server=server.name,
            server_incarnation=server.incarnation,
            server_address=server.data_address,
            coordinator=node.coordinator,
            peer_address=node.own.peer_address,
            caller=caller,
            issued_at=now,
            expires_at=now + node.settings.times.token_lifetime,
        )
        node.flows.add(number, Flow(entry.name, server.name, token.expires_at))
        node.counters["flows_opened"] += 1
        sealed = seal_token(token, node.keys)
        reply = Opened(request.nonce, number, token.stream, sealed, token.expires_at)
        return [SendToCaller(caller, encode(reply))]

    def _relay_or_refuse(
        self, request: Open, caller: Address, hops: int, reason: str, now: float
    ) -> list[Action]:
        """Relays an `Open` to a random active entry VM.

        Refuses it if there is none, or if it was already relayed `MAX_OPEN_HOPS` times.
        """
        peers = self._node.entry_vms.active()
        if hops >= MAX_OPEN_HOPS or not peers:
            return self._refuse(request, caller, reason, now)
        peer = self._node.random.choice(peers)
        self._node.counters["opens_passed_on"] += 1
        return [relay(self._node, peer.peer_address, caller, encode(request), hops)]

    def _refuse(self, request: Open, caller: Address, reason: str, now: float) -> list[Action]:
        self._node.counters["opens_refused"] += 1
        reply = OpenRefused(request.nonce, reason, now + OPEN_RETRY_DELAY_SECONDS)
        return [SendToCaller(caller, encode(reply))]


def relay(node: Node, address: Address, caller: Address, payload: bytes, hops: int) -> SendInner:
    """Returns the action that relays a caller's datagram to the entry VM at `address`."""
    message = encode(Relay(caller, payload, hops + 1))
    return SendInner(address, node.keys.seal(message, Purpose.PEER))
