"""Withheld replies on the minority side of a partition, and what is forgotten when it heals."""

from marjoramford.shared.addresses import Address
from marjoramford.token_flows.events import CallerDatagram, Tick
from marjoramford.token_flows.messages import Open, encode
from marjoramford.token_flows.reply_suppressors import SUPPRESSION_SECONDS

from .token_cores import NOW, SERVICE, TokenCore, messages

PEERS = ("entry-2", "entry-3")


def partition(core, now):
    for peer in PEERS:
        core.balancer.node.entry_vms.suspect(peer, 1, now)


def heal(core):
    for peer in PEERS:
        core.balancer.node.entry_vms.confirm_alive(peer, 1)


def replies(core, now):
    """Sends the same `Open` again; returns the replies."""
    payload = encode(Open(SERVICE, 7))
    return messages(core.balancer.handle(CallerDatagram(Address("10.1.0.1", 5), payload), now))


def test_a_reply_is_withheld_again_in_the_next_partition():
    core = TokenCore(peers=PEERS)
    partition(core, NOW)
    assert not replies(core, NOW)
    assert replies(core, NOW + SUPPRESSION_SECONDS)
    heal(core)
    core.balancer.handle(Tick(), NOW + 60.0)
    partition(core, NOW + 61.0)
    assert not replies(core, NOW + 61.0)
    assert replies(core, NOW + 61.0 + SUPPRESSION_SECONDS)


def test_a_message_during_the_heal_also_ends_the_first_partition():
    core = TokenCore(peers=PEERS)
    partition(core, NOW)
    assert not replies(core, NOW)
    heal(core)
    assert replies(core, NOW + 0.1)
    partition(core, NOW + 0.2)
    assert not replies(core, NOW + SUPPRESSION_SECONDS)
