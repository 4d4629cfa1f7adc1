"""One decision core for flows with tokens, with a service, its servers and other entry VMs."""

from itertools import count
from random import Random

import msgspec

from marjoramford.shared.addresses import Address
from marjoramford.shared.records import CatalogueEntry, KindRules, VmRecord
from marjoramford.token_flows.actions import Dispatch, SendToCaller
from marjoramford.token_flows.balancers import Balancer, Identity
from marjoramford.token_flows.events import CallerDatagram, CatalogueRead, DispatchEnded, VmListRead
from marjoramford.token_flows.keys import KeyRing
from marjoramford.token_flows.messages import Open, Request, decode_from_entry_vm, encode
from marjoramford.token_flows.settings import CoreSettings

NOW = 1000.0
SERVICE = "booking"
ZONE = "tunis-ville"
KEYS = KeyRing({1: b"k" * 16}, 1)
KINDS = (
    KindRules("seats", idempotent=True),
    KindRules("hold"),
    KindRules("basket", sticky=True),
)


class TokenCore:
    """A balancer and its caller.

    Args:
        servers: names of the backend servers.
        peers: names of the other entry VMs.
        slots: slots of each server.
    """

    def __init__(self, servers=("s1",), peers=(), slots=1, max_load=100, max_connections=100):
        control = Address("10.0.0.1", 3)
        identity = Identity("entry-1", 1, ZONE, Address("10.0.0.1", 2), control)
        self.balancer = Balancer(identity, CoreSettings(), KEYS, Random(1), NOW, strict=True)
        entry = CatalogueEntry(SERVICE, 1, 1, "owner", "critical", max_connections, max_load, KINDS)
        records = [VmRecord("entry-1", 1, 1, "entry", ZONE, "10.0.0.1", 1, 3, 2)]
        for number, name in enumerate(peers, 2):
            host = f"10.0.0.{number}"
            records.append(VmRecord(name, number, 1, "entry", ZONE, host, 1, 3, 2))
        for number, name in enumerate(servers, 100):
            host = f"10.0.0.{number}"
            records.append(
                VmRecord(name, number, 1, "server", ZONE, host, 1, 3, service=SERVICE, slots=slots)
            )
        self.balancer.handle(CatalogueRead((msgspec.json.encode(entry),), 1), NOW)
        encoded = tuple(map(msgspec.json.encode, records))
        self.balancer.handle(VmListRead(encoded, records[-1].revision), NOW)
        self._nonces = count(1)

    def open_flow(self, now=NOW):
        """Opens a flow; returns the message that the caller gets."""
        nonce = next(self._nonces)
        caller = Address("10.1.0.1", nonce)
        (action,) = self.balancer.handle(CallerDatagram(caller, encode(Open(SERVICE, nonce))), now)
        return caller, decode_from_entry_vm(action.payload).unwrap()

    def open_flow_at(self, server, now=NOW):
        """Opens flows until one is placed at a server; returns that one."""
        while True:
            caller, opened = self.open_flow(now)
            if self.balancer.node.flows.get(opened.flow).server == server:
                return caller, opened

    def request(self, flow, number=1, kind="hold", now=NOW, deadline=NOW + 8.0):
        """Sends a request on a flow; returns the actions."""
        caller, opened = flow
        payload = encode(Request(opened.token, number, kind, deadline, b"work"))
        return self.balancer.handle(CallerDatagram(caller, payload), now)

    def end(self, dispatch, outcome, now=NOW):
        """Ends a dispatch; returns the actions."""
        return self.balancer.handle(DispatchEnded(dispatch.dispatch, outcome), now)

    def record(self, flow, number=1):
        """Returns the record of a request."""
        return self.balancer.node.flows.get(flow[1].flow).get_record(number)


def dispatches(actions):
    """Returns the dispatches among actions."""
    return [action for action in actions if isinstance(action, Dispatch)]


def messages(actions):
    """Returns the messages to callers among actions."""
    return [
        decode_from_entry_vm(action.payload).unwrap()
        for action in actions
        if isinstance(action, SendToCaller)
    ]
