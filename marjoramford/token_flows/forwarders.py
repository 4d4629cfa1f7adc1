"""The data path: callers' datagrams to backend servers and coordinators, and their replies."""

import logging
from dataclasses import dataclass

import msgspec
from result import Err, Ok

from ..shared.addresses import Address
from ..shared.backend_servers import BackendServer
from ..shared.entry_vms import Coordinator, CoordinatorLocation, Local, Lost, Remote
from ..shared.logs import LogEvent, log_event
from .actions import Action, SendInner, SendToCaller
from .admissions import FlowAdmission, relay
from .coordinators import RequestCoordinator
from .keys import Purpose
from .messages import (
    Close,
    CoordinatorLost,
    Datagram,
    Deliver,
    Forward,
    Mismatch,
    Open,
    Renew,
    Renewed,
    Request,
    Return,
    Send,
    ServerLeaving,
    ServerLost,
    TokenRefused,
    decode_from_caller,
    decode_from_server,
    decode_relay,
    encode,
)
from .nodes import Node
from .tokens import Label, Token, seal_label, seal_token, verify_label, verify_token

logger = logging.getLogger(__name__)

MAX_HOPS = 3
MAX_CACHED_TOKENS = 4096
# Datagrams of backend servers are MessagePack arrays, whose first byte is at least 0x90. Sealed
# datagrams of entry VMs begin with a key id, which is at most 127.
_FIRST_MSGPACK_ARRAY_BYTE = 0x90


@dataclass(slots=True)
class _VerifiedToken:
    """A verified token, and what the server table says about the token's server.

    Attributes:
        label: the sealed return label for datagrams to the server.
        version: version of the server table that was consulted last; -1 if none was.
        is_server_lost: whether the server is gone or replaced in that version.
        server: the server's entry in that version; None if it has none.
    """

    token: Token
    label: bytes
    version: int = -1
    is_server_lost: bool = False
    server: BackendServer | None = None


class Forwarder:
    """Routes the datagrams of callers, backend servers and other entry VMs.

    Keeps no state per flow except a bounded cache of verified tokens. It uses the server table to
    detect lost servers, the membership table to locate coordinators, and the flow table for the
    flows that are coordinated here.
    """

    def __init__(self, node: Node, admission: FlowAdmission, coordinator: RequestCoordinator):
        self._node = node
        self._admission = admission
        self._coordinator = coordinator
        self._token_cache: dict[bytes, _VerifiedToken] = {}

    def handle_caller_datagram(
        self, caller: Address, payload: bytes, now: float, hops: int = 0
    ) -> list[Action]:
        """Handles a caller's datagram, received directly or relayed by `hops` entry VMs."""
        match decode_from_caller(payload):
            case Err(reason):
                return self._drop(LogEvent.DATAGRAM_DROPPED, caller, reason)
            case Ok(Open() as message):
                return self._admission.handle_open(message, caller, hops, now)
            case Ok(message):
                return self._handle_with_token(caller, message, payload, now, hops)

    def handle_inner_datagram(self, sender: Address, payload: bytes, now: float) -> list[Action]:
        """Handles a datagram from a backend server or another entry VM."""
        if payload and payload[0] < _FIRST_MSGPACK_ARRAY_BYTE:
            return self._handle_relayed(sender, payload, now)
        match decode_from_server(payload):
            case Err(reason):
                return self._drop(LogEvent.DATAGRAM_DROPPED, sender, reason)
            case Ok(message):
                return self._handle_server_datagram(sender, message, now)

    def _handle_relayed(self, sender: Address, payload: bytes, now: float) -> list[Action]:
        match self._node.keys.open(payload, Purpose.PEER).and_then(decode_relay):
            case Err(reason):
                return self._drop(LogEvent.PEER_REJECTED, sender, reason)
            case Ok(message):
                return self.handle_caller_datagram(
                    message.caller, message.payload, now, message.hops
                )

    def _handle_server_datagram(
        self, sender: Address, message: Return | Mismatch, now: float
    ) -> list[Action]:
        match verify_label(message.label, self._node.keys, now):
            case Err(reason):
                return self._drop(LogEvent.LABEL_REJECTED, sender, reason)
            case Ok(label):
                return self._return_to_caller(label, message)

    def _return_to_caller(self, label: Label, message: Return | Mismatch) -> list[Action]:
        match message:
            case Return(body=body):
                self._node.counters["datagrams_returned"] += 1
                reply: Datagram = Deliver(label.stream, body)
            case Mismatch():
                self._handle_mismatch(label)
                reply = ServerLost(label.stream, "address belongs to another server")
        return [SendToCaller(label.caller, encode(reply))]

    def _handle_mismatch(self, label: Label) -> None:
        self._node.counters["mismatches"] += 1
        server = self._node.servers.get(label.server)
        if server is not None and server.incarnation == label.server_incarnation:
            self._node.servers.mark_gone(server)

    def _handle_with_token(
        self, caller: Address, message, payload: bytes, now: float, hops: int
    ) -> list[Action]:
        verified = self._token_cache.get(message.token) or self._verify(message.token)
        if verified is None:
            return self._drop(LogEvent.TOKEN_REJECTED, caller, "does not verify")
        token = verified.token
        if token.caller != caller:
            return self._drop(LogEvent.TOKEN_REJECTED, caller, "belongs to another caller")
        if token.expires_at <= now:
            self._node.counters["tokens_expired"] += 1
            return [SendToCaller(caller, encode(TokenRefused("token has expired")))]
        match message:
            case Send(body=body):
                return self._forward_to_server(verified, body)
            case Request():
                return self._handle_request(token, message, payload, now, hops)
            case Renew():
                return self._handle_renew(token, payload, now, hops)
            case Close():
                return self._handle_close(token, payload, hops)

    def _verify(self, sealed: bytes) -> _VerifiedToken | None:
        token = verify_token(sealed, self._node.keys).ok()
        if token is None:
            return None
        label = Label(
            token.caller,
            token.stream,
            token.service,
            token.server,
            token.server_incarnation,
            token.expires_at,
        )
        verified = _VerifiedToken(token, seal_label(label, self._node.keys))
        if len(self._token_cache) >= MAX_CACHED_TOKENS:
            self._token_cache.clear()
        self._token_cache[sealed] = verified
        return verified

    def _forward_to_server(self, verified: _VerifiedToken, body: bytes) -> list[Action]:
        token = verified.token
        servers = self._node.servers
        if verified.version != servers.version:
            verified.version = servers.version
            verified.server = servers.get(token.server)
            verified.is_server_lost = self._is_server_lost(token, verified.server)
        if verified.is_server_lost:
            self._node.counters["server_lost"] += 1
            reply = ServerLost(token.stream, "backend server is gone")
            return [SendToCaller(token.caller, encode(reply))]
        server = verified.server
        actions: list[Action] = []
        if server is not None and server.leaving:
            leaving = ServerLeaving(token.stream)
            actions.append(SendToCaller(token.caller, encode(leaving)))
        self._node.counters["datagrams_forwarded"] += 1
        forward = Forward(
            token.service,
            token.server,
            token.server_incarnation,
            token.stream,
            verified.label,
            body,
        )
        actions.append(SendInner(token.server_address, encode(forward)))
        return actions

    def _is_server_lost(self, token: Token, server: BackendServer | None) -> bool:
        """Returns whether the server named by a token is known to be gone or replaced.

        A server that is not in the server table is not lost, unless the table has another live
        server at its address.
        """
        listed_server = self._node.servers.at(token.server_address)
        if (
            listed_server is not None
            and listed_server.name != token.server
            and not listed_server.gone
        ):
            return True
        if server is None:
            return False
        has_newer_incarnation = server.incarnation > token.server_incarnation
        return has_newer_incarnation or server.service != token.service or server.gone

    def _handle_request(
        self, token: Token, request: Request, payload: bytes, now: float, hops: int
    ) -> list[Action]:
        if self._coordinates_here(token):
            actions = self._coordinator.handle_request(token, request, token.caller, now)
            return actions + self._reissue_moved_token(token, now)
        match self._locate(token):
            case Remote(address=address) if hops < MAX_HOPS:
                self._node.counters["requests_relayed"] += 1
                return [relay(self._node, address, token.caller, payload, hops)]
            case Remote():
                return self._drop(LogEvent.DATAGRAM_DROPPED, token.caller, "too many hops")
            case Local() | Lost():
                return self._report_coordinator_lost(token, now)

    def _coordinates_here(self, token: Token) -> bool:
        """Returns whether the flow is coordinated here, since its open or after a hand-over.

        A frozen flow may have moved although the successor's reply was lost. It is treated as moved
        if the token names a coordinator that is neither this one nor one whose flows were adopted
        here.
        """
        flow = self._node.flows.get(token.flow)
        if flow is None or flow.has_moved:
            return False
        return self._node.coordinates_for(token.coordinator) or not flow.is_frozen

    def _locate(self, token: Token) -> CoordinatorLocation:
        successor = self._node.successor
        flow = self._node.flows.get(token.flow)
        if flow is not None and flow.has_moved and successor is not None:
            return Remote(successor.peer_address)
        return self._node.entry_vms.locate(token.coordinator, token.peer_address)

    def _report_coordinator_lost(self, token: Token, now: float) -> list[Action]:
        if self._node.reply_suppressor.suppresses_reply(token.flow, now):
            return []
        self._node.counters["coordinators_lost"] += 1
        return [SendToCaller(token.caller, encode(CoordinatorLost(token.flow)))]

    def _reissue_moved_token(self, token: Token, now: float) -> list[Action]:
        """Returns a token that names this coordinator, if the given one names a former one."""
        if token.coordinator == self._node.coordinator:
            return []
        return [self._make_renewed(token, now, token.expires_at)]

    def _make_renewed(self, token: Token, now: float, expires_at: float) -> SendToCaller:
        """Returns a new token that names the flow's present coordinator, as far as it is known."""
        current_coordinator = self._node.entry_vms.latest_successor(token.coordinator)
        if token.flow in self._node.flows:
            current_coordinator = self._node.own
        changes = {"issued_at": now, "expires_at": expires_at}
        if current_coordinator is not None:
            changes["coordinator"] = Coordinator(
                current_coordinator.name, current_coordinator.incarnation
            )
            changes["peer_address"] = current_coordinator.peer_address
        sealed = seal_token(msgspec.structs.replace(token, **changes), self._node.keys)
        return SendToCaller(token.caller, encode(Renewed(token.flow, sealed, expires_at)))

    def _handle_renew(self, token: Token, payload: bytes, now: float, hops: int) -> list[Action]:
        """Extends the flow's expiry at its coordinator and replies with a renewed token.

        Only the entry VM that received the datagram from the caller sends the new token; it does
        not wait for the coordinator. If the coordinator is lost, the caller is told so instead.
        """
        if isinstance(self._locate(token), Lost):
            return self._report_coordinator_lost(token, now)
        expires_at = now + self._node.settings.times.token_lifetime
        self._node.flows.renew(token.flow, expires_at)
        actions = self._relay_to_coordinator(token, payload, hops)
        if hops == 0:
            actions.append(self._make_renewed(token, now, expires_at))
        return actions

    def _handle_close(self, token: Token, payload: bytes, hops: int) -> list[Action]:
        """Removes the flow at its coordinator, unless it is frozen or has unfinished requests."""
        flow = self._node.flows.get(token.flow)
        if flow is not None and flow.is_idle and not flow.is_frozen:
            self._node.flows.remove(token.flow)
        return self._relay_to_coordinator(token, payload, hops)

    def _relay_to_coordinator(self, token: Token, payload: bytes, hops: int) -> list[Action]:
        match self._locate(token):
            case Remote(address=address) if hops < MAX_HOPS:
                return [relay(self._node, address, token.caller, payload, hops)]
            case _:
                return []

    def _drop(self, event: LogEvent, peer: Address, reason: str) -> list[Action]:
        self._node.counters[event.name.lower()] += 1
        log_event(logger, event, peer=peer, reason=reason)
        return []
