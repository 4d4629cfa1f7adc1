"""The shares of a limit never add up to more than the limit.

They could if entry VMs had different views of the fleet, or if a lender and a borrower both used
the same lease.
"""

from hypothesis import given
from hypothesis import strategies as st

from marjoramford.limits import LimitRequest, LimitShares, Resource, member_share

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


lease_sequences = st.lists(
    st.tuples(
        st.sampled_from("abcde"),
        st.sampled_from("abcde"),
        st.integers(1, 20),
        st.booleans(),
        st.floats(0, 3),
    ),
    max_size=20,
)


@given(limit=st.integers(0, 60), lease_sequences=lease_sequences)
def test_leases_do_not_exceed_the_limit_when_replies_are_lost(limit, lease_sequences):
    shares = make_shares(FLEET)
    now = NOW
    for lender, borrower, amount, reply_lost, pause in lease_sequences:
        request = LimitRequest("s", Resource.LOAD, amount)
        lease = shares[lender].lend(request, limit, 0, now + 2.0, now)
        if not reply_lost and lender != borrower:
            shares[borrower].borrow(lease, now)
        now += pause
        total = sum(share.available("s", Resource.LOAD, limit, now) for share in shares.values())
        assert total <= limit


def test_the_share_is_zero_before_the_first_vm_list():
    assert LimitShares("a", "z1", HOLD, 0.5).available("s", Resource.LOAD, 100, NOW) == 0
