"""Counts of a caller's session, which experiments report."""

from random import Random

import pytest

from marjoramford.standins.caller_sessions import CallerSession
from marjoramford.standins.streams import UploadState, encode_body
from marjoramford.token_flows.messages import (
    Deliver,
    Opened,
    ServerLost,
    decode_from_caller,
    encode,
)

NOW = 1000.0
FIRST_STREAM = 11


class OpenedSession:
    """A session with an upload of which the server has acknowledged 5 pieces."""

    def __init__(self):
        self.session = CallerSession("manifest", Random(1), "upload-1")
        self.session.start_upload(30, NOW)
        self.open(FIRST_STREAM, NOW)
        self.acknowledge(5, NOW + 0.1)

    @property
    def upload(self):
        return self.session.upload

    def open(self, stream, now):
        (request,) = self.session.poll(now)
        nonce = decode_from_caller(request).unwrap().nonce
        self.session.receive(encode(Opened(nonce, 21, stream, b"token", now + 60.0)), now)

    def acknowledge(self, next_index, now):
        body = encode_body(UploadState(self.upload.number, next_index))
        self.session.receive(encode(Deliver(FIRST_STREAM, body)), now)


@pytest.mark.parametrize("stream", [FIRST_STREAM, FIRST_STREAM + 1])
def test_an_upload_whose_server_is_lost_counts_one_restart(stream):
    caller = OpenedSession()
    caller.session.receive(encode(ServerLost(FIRST_STREAM, "gone")), NOW + 0.2)
    caller.open(stream, NOW + 0.3)
    assert (caller.upload.restarts, caller.upload.next_index) == (1, 0)


def test_an_upload_on_a_new_stream_counts_one_restart():
    caller = OpenedSession()
    caller.session.receive(encode(ServerLost(FIRST_STREAM, "gone")), NOW + 0.2)
    caller.open(FIRST_STREAM + 1, NOW + 0.3)
    caller.session.receive(encode(ServerLost(FIRST_STREAM + 1, "gone")), NOW + 0.4)
    caller.open(FIRST_STREAM + 1, NOW + 0.5)
    assert caller.upload.restarts == 2


def test_a_late_acknowledgement_of_the_lost_server_does_not_skip_pieces():
    caller = OpenedSession()
    caller.session.receive(encode(ServerLost(FIRST_STREAM, "gone")), NOW + 0.2)
    caller.acknowledge(6, NOW + 0.25)
    caller.open(FIRST_STREAM, NOW + 0.3)
    assert caller.upload.next_index == 0
