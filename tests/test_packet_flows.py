"""Inference of answers from the caller's packets of a flow."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramford.opaque_flows.packet_flows import PacketFlow, PacketFlowTable, sequence_distance
from marjoramford.opaque_flows.packets import FlowKey, PacketHeader
from marjoramford.shared.addresses import Address
from marjoramford.shared.backend_servers import BackendServer

KEY = FlowKey(1, 2, 3, 4)
DATA = 1200
ADDRESS = Address("127.0.0.9", 1)


def flow():
    made = PacketFlow(KEY, server=None, label=7, opening=False, opened_at=0.0, active_at=0.0)
    made.initialize_sequences(header(100))
    return made


def header(sequence, size=0, acknowledged=50):
    return PacketHeader(KEY, 7, False, False, False, sequence, acknowledged, size)


def test_an_advancing_acknowledgement_is_an_answer():
    subject = flow()
    subject.record_packet(header(100, DATA), 1.0)
    assert subject.waiting_since == 1.0
    assert subject.record_packet(header(1300, acknowledged=51), 1.1)
    assert subject.waiting_since is None


def test_each_round_of_retransmissions_counts_once():
    subject = flow()
    for round_at in (1.0, 1.2, 1.6, 2.4):
        for packet in range(16):
            assert not subject.record_packet(header(100 + packet * DATA, DATA), round_at)
    assert subject.rounds.count == 3


def test_the_first_round_after_an_answer_counts_at_once():
    """Two requests on one flow; the first one's round must not hide that of the second."""
    subject = flow()
    first, second = header(100, DATA), [header(1300 + n * DATA, DATA, 51) for n in range(2)]
    subject.record_packet(first, 1.0)
    for packet in second:
        subject.record_packet(packet, 1.1)
    subject.record_packet(first, 1.26)
    assert subject.rounds.count == 1
    assert subject.record_packet(header(1300 + 2 * DATA, acknowledged=52), 1.28)
    assert subject.rounds.count == 0
    for packet in second:
        subject.record_packet(packet, 1.3)
    assert subject.rounds.count == 1


def test_reordered_uploads_on_a_narrow_link_are_not_retransmission_rounds():
    """Regression from svb-gare-grown quiet-1 at 6.289 s.

    Packets of an upload are lost or reordered, and the caller fills one hole after another. That is
    progress, not silence of the server.
    """
    subject = flow()
    now = 1.0
    for hole in range(8):
        window = [100 + (hole * 8 + packet) * DATA for packet in range(16)]
        for sequence in (window[1:8] + window[:1] + window[8:])[:15]:
            subject.record_packet(header(sequence, DATA), now)
            now += 0.002
        now += 0.2
        subject.record_packet(header(window[8], DATA), now)
    assert subject.rounds.count < 2


def test_data_beyond_the_window_proves_that_older_data_arrived():
    subject = flow()
    answers = [
        subject.record_packet(header(100 + n * DATA, DATA), 1.0 + n * 0.001) for n in range(40)
    ]
    assert not any(answers[:16])
    assert all(answers[16:])


@given(st.integers(0, 2**32 - 1), st.integers(-(2**31), 2**31 - 1))
def test_sequence_numbers_wrap(start, distance):
    assert sequence_distance((start + distance) % 2**32, start) == distance


def test_a_full_table_evicts_the_oldest_flow():
    table = PacketFlowTable(2)
    servers = [BackendServer(f"s-{n}", 1, "a", "booking", ADDRESS, ADDRESS) for n in range(3)]
    flows = [PacketFlow(FlowKey(1, n, 3, 4), servers[n], 7, False, 0.0, 0.0) for n in range(3)]
    for each in flows:
        table.add(each)
    assert list(table) == flows[1:]
    assert [each.server.open_flows for each in flows] == [0, 1, 1]
