"""Encoding of the state that followers get.

Load pattern: the catalogue grows by 808 routes at once, and 17 followers read them from one entry
VM with a link of 20 Mbit/s. Uncompressed, the answers filled it for over a second; packets of
callers were lost three times in a row, and a flow was reset although its server lived.
"""

import zlib
from random import Random

import pytest

from marjoramford.opaque_flows.http_messages import MAX_REPLY_BODY_BYTES
from marjoramford.opaque_flows.published_states import PublishedState, decode_state, encode_state
from marjoramford.opaque_flows.routes import Route, RouteChanges, WeightedService

FOLLOWERS = 17
LINK_BYTES_PER_SECOND = 20e6 / 8
# Far below the half second after which a silent server is considered dead.
MAX_LINK_SECONDS = 0.2


def grown_state(routes=834):
    random = Random(1)
    added = tuple(
        Route(
            0xC6120000 + random.randrange(1 << 16),
            random.randrange(1, 1 << 16),
            (WeightedService(random.choice(["goje8a", "leda90b"]), 1.0),),
            random.randrange(4),
            random.choice([0.6, 0.8, 2.0]),
        )
        for _ in range(routes)
    )
    return PublishedState((), (), False, 7, 0.1, RouteChanges(20, 19, 15.0, added))


def test_many_new_routes_leave_room_for_packets_on_a_narrow_link():
    body = encode_state(grown_state(), True)
    assert FOLLOWERS * len(body) / LINK_BYTES_PER_SECOND <= MAX_LINK_SECONDS
    assert decode_state(body).ok_value == grown_state()


@pytest.mark.parametrize("compress", [False, True])
def test_a_small_state_is_sent_as_it_is(compress):
    body = encode_state(grown_state(1), compress)
    assert body.startswith(b"{")
    assert decode_state(body).ok_value == grown_state(1)


def test_a_follower_of_an_older_build_gets_an_uncompressed_state():
    assert encode_state(grown_state(), False).startswith(b"{")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x00",
        encode_state(grown_state(), True)[:-20],
        encode_state(grown_state(), True)[20:],
        zlib.compress(b"[]" * 2000),
        zlib.compress(b" " * (MAX_REPLY_BODY_BYTES + 1)),
    ],
)
def test_a_damaged_or_too_long_state_is_an_error(body):
    assert decode_state(body).is_err()
