"""Failure detection of other entry VMs: suspicion, loss and refutation in every state."""

import pytest

from marjoramford.shared.addresses import Address
from marjoramford.shared.entry_vms import Coordinator, EntryVm, EntryVms, Lost, MemberUpdate, Remote
from marjoramford.shared.records import VmRecord

NOW = 1000.0
SUSPICION_SECONDS = 3.0
PEER_ADDRESS = Address("10.0.0.2", 2)
CONTROL_ADDRESS = Address("10.0.0.2", 3)
PEER = Coordinator("entry-2", 1)


def member(state, heartbeat=0):
    return MemberUpdate("entry-2", 1, heartbeat, state, "z", PEER_ADDRESS, CONTROL_ADDRESS)


def make_table(*updates):
    own = EntryVm("entry-1", 1, "z", Address("10.0.0.1", 2), Address("10.0.0.1", 3))
    table = EntryVms(own, SUSPICION_SECONDS)
    for update in updates:
        table.merge_update(update)
    return table


def state(table):
    return table.get("entry-2").state


@pytest.mark.parametrize("last_seen", ["alive", "leaving"])
def test_an_entry_vm_that_crashes_is_lost_also_while_leaving(last_seen):
    """Datagrams for a crashed entry VM that had been leaving were relayed to it for ever."""
    table = make_table(member(last_seen, 1))
    assert table.locate(PEER, PEER_ADDRESS) == Remote(PEER_ADDRESS)
    table.suspect("entry-2", 1, NOW)
    assert state(table) == "suspect"
    table.merge_update(member(last_seen, 1))
    table.expire_suspicions(NOW + SUSPICION_SECONDS)
    assert table.locate(PEER, PEER_ADDRESS) == Lost()
    table.merge_update(member(last_seen, 1))
    assert table.locate(PEER, PEER_ADDRESS) == Lost()


@pytest.mark.parametrize("reported", ["suspect", "lost"])
def test_the_loss_of_a_leaving_entry_vm_spreads_by_gossip(reported):
    table = make_table(member("leaving", 1), member(reported, 1))
    assert state(table) == reported


@pytest.mark.parametrize("reported", ["suspect", "lost"])
def test_a_leaving_entry_vm_that_answers_is_leaving_again_and_opens_no_flows(reported):
    table = make_table(member("leaving", 1), member(reported, 1))
    table.confirm_alive("entry-2", 1)
    assert state(table) == "leaving"
    assert not table.active()


def test_a_leaving_entry_vm_refutes_its_loss():
    table = make_table(member("leaving", 1), member("lost", 1), member("leaving", 2))
    assert state(table) == "leaving"


def test_a_suspect_that_announces_its_leaving_is_leaving():
    """Entry VMs for opaque flows announce it without raising their heartbeat."""
    table = make_table(member("alive"), member("suspect"), member("leaving"))
    assert state(table) == "leaving"


def test_the_vm_list_does_not_clear_a_suspicion():
    table = make_table(member("alive"))
    table.suspect("entry-2", 1, NOW)
    record = VmRecord("entry-2", 5, 1, "entry", "z", "10.0.0.2", 1, 3, 2, state="leaving")
    table.apply_record(record)
    table.expire_suspicions(NOW + SUSPICION_SECONDS)
    assert state(table) == "lost"


def test_an_entry_vm_that_has_left_is_never_suspected():
    table = make_table(member("leaving", 1), member("left", 2))
    table.suspect("entry-2", 1, NOW)
    table.confirm_alive("entry-2", 1)
    assert state(table) == "left"
