"""The shares of a limit never add up to more than the limit.

They could if entry VMs had different views of the fleet, or if a lender and a borrower both used
the same lease.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramford.token_flows.limits import LimitRequest, LimitShares, Resource, member_share

HOLD = 10.0
NOW = 1000.0
FLEET = {"z1": ("a", "b"), "z2": ("c", "d", "e")}
member_lists = st.lists(
    st.text("abcdef", min_size=1, max_size=3), min_size=1, max_size=9, unique=True
)


@given(total=st.integers(0, 1000), members=member_lists, key=st.text(max_size=5))
def test_member_shares_add_up_to_the_total(total, members, key):
    parts = [member_share(total, key, members, member) for member in members]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1


def make_shares(fleet, now=NOW) -> dict[str, LimitShares]:
    shares = {}
    for zone, members in fleet.items():
        for name in members:
            shares[name] = LimitShares(name, zone, HOLD, 0.5)
            shares[name].set_fleet(fleet, True, now)
    return shares


@given(
    limit=st.integers(0, 60),
    seen=st.sets(st.sampled_from("abcde")),
    joined_zone=st.sampled_from(["z1", "z2"]),
    wait=st.floats(0, 30),
)
def test_a_join_known_to_some_entry_vms_does_not_exceed_the_limit(limit, seen, joined_zone, wait):
    """All entry VMs learn of the join within the hold time."""
    shares = make_shares(FLEET)
    larger_fleet = {
        zone: (*members, "f") if zone == joined_zone else members for zone, members in FLEET.items()
    }
    joined_share = LimitShares("f", joined_zone, HOLD, 0.5)
    joined_share.set_fleet(larger_fleet, False, NOW)
    for name in seen:
        shares[name].set_fleet(larger_fleet, False, NOW)
    later = NOW + wait
    if wait >= HOLD:
        for name in set("abcde") - seen:
            shares[name].set_fleet(larger_fleet, False, NOW + HOLD - 0.1)
    total = sum(
        share.available("s", Resource.LOAD, limit, later)
        for share in (*shares.values(), joined_share)
    )
    assert total <= limit


# With few entry VMs, chains of leases are found.
SMALL_FLEET = {"z1": ("a", "b"), "z2": ("c",)}
LEASE_SECONDS = 2.0
CLOCK_ERROR = 0.5
clock_offsets = st.lists(st.floats(0, CLOCK_ERROR), min_size=5, max_size=5)
lease_sequences = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.integers(0, 4),
        st.integers(1, 40),
        st.booleans(),
        st.sampled_from([0.0, 0.4, 1.4, 2.1]) | st.floats(0, 3),
        st.booleans(),
    ),
    max_size=30,
)


def usable_parts(shares, limit, clocks, resource=Resource.LOAD) -> list[int]:
    """Returns what each entry VM may use; a negative part does not make up for another one."""
    return [
        max(0, share.available("s", resource, limit, clocks[name]))
        for name, share in shares.items()
    ]


@pytest.mark.parametrize("fleet", [SMALL_FLEET, FLEET])
@settings(max_examples=500)
@given(limit=st.integers(0, 60), offsets=clock_offsets, lease_sequences=lease_sequences)
def test_usable_parts_do_not_exceed_the_limit_when_replies_are_lost(
    fleet, limit, offsets, lease_sequences
):
    """Clocks differ within their error bound; leases may be forgotten when they have expired."""
    shares = make_shares(fleet)
    names = list(shares)
    clocks = {name: NOW + offset for name, offset in zip(names, offsets, strict=False)}
    for lender_index, borrower_index, amount, reply_lost, pause, expire in lease_sequences:
        lender = names[lender_index % len(names)]
        borrower = names[borrower_index % len(names)]
        request = LimitRequest("s", Resource.LOAD, amount)
        expires_at = clocks[lender] + LEASE_SECONDS
        lease = shares[lender].lend(request, limit, 0, expires_at, clocks[lender])
        if not reply_lost and lender != borrower:
            shares[borrower].borrow(lease, clocks[borrower])
        clocks = {name: now + pause for name, now in clocks.items()}
        if expire:
            for name, share in shares.items():
                share.expire(clocks[name])
        for name, share in shares.items():
            assert share.available("s", Resource.LOAD, limit, clocks[name]) >= 0
        assert sum(usable_parts(shares, limit, clocks)) <= limit


def test_a_borrowed_part_is_not_lent_on_past_its_lease():
    """After such leases 51 parts of a limit of 40 were usable."""
    shares = make_shares(FLEET)
    request = LimitRequest("s", Resource.LOAD, 40)
    for lender in "acde":
        lease = shares[lender].lend(request, 40, 0, NOW + LEASE_SECONDS, NOW)
        shares["b"].borrow(lease, NOW)
    later = NOW + 1.4
    for _ in range(3):
        lease = shares["b"].lend(request, 40, 0, later + LEASE_SECONDS, later)
        shares["e"].borrow(lease, later)
    assert sum(usable_parts(shares, 40, dict.fromkeys("abcde", NOW + 2.6))) <= 40


def test_an_idle_entry_vm_lends_half_of_its_own_share():
    shares = make_shares(FLEET)
    share = shares["a"].available("s", Resource.LOAD, 40, NOW)
    request = LimitRequest("s", Resource.LOAD, 40)
    lease = shares["a"].lend(request, 40, 0, NOW + LEASE_SECONDS, NOW)
    assert share == 10
    assert lease.amount == 5
    assert shares["a"].available("s", Resource.LOAD, 40, NOW) == 5


def test_the_share_is_zero_before_the_first_vm_list():
    assert LimitShares("a", "z1", HOLD, 0.5).available("s", Resource.LOAD, 100, NOW) == 0


@pytest.mark.parametrize(
    ("resource", "lease_seconds", "learned_after"),
    [(Resource.CONNECTIONS, 60.0, 1.0), (Resource.LOAD, LEASE_SECONDS, HOLD - 0.1)],
    ids=["connections", "load"],
)
def test_leases_do_not_exceed_the_limit_while_the_fleet_grows(
    resource, lease_seconds, learned_after
):
    """The lender's share shrinks below what it has lent, and the joined ones get theirs."""
    shares = make_shares(FLEET)
    larger_fleet = FLEET | {"z1": ("a", "b", "f", "g", "h")}
    for name in "fgh":
        shares[name] = LimitShares(name, "z1", HOLD, CLOCK_ERROR)
        shares[name].set_fleet(larger_fleet, False, NOW)
    learned_at = NOW + learned_after
    request = LimitRequest("s", resource, 40)
    for _ in range(4):
        lease = shares["a"].lend(request, 40, 0, learned_at + lease_seconds, learned_at)
        shares["b"].borrow(lease, learned_at)
    for name in "abcde":
        shares[name].set_fleet(larger_fleet, False, learned_at)
    for seconds in range(80):
        clocks = dict.fromkeys(shares, learned_at + seconds)
        assert sum(usable_parts(shares, 40, clocks, resource)) <= 40
