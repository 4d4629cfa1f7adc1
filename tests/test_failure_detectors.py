"""The evidence at which a backend server is considered dead."""

import pytest

from marjoramford.opaque_flows.failure_detectors import (
    ListStatus,
    LossDetector,
    OwnLinkMonitor,
    is_dead,
)
from marjoramford.opaque_flows.flow_settings import SilenceSettings
from marjoramford.shared.responsiveness import Responsiveness

SETTINGS = SilenceSettings()
LISTED = ListStatus(None, False)


def evidence(unanswered, silent_since=10.0, answered_at=9.0):
    return Responsiveness(answered_at, unanswered, silent_since)


@pytest.mark.parametrize(
    ("subject", "list_status", "retransmissions", "now", "expected"),
    [
        (evidence(3), LISTED, 1, 10.6, True),
        (evidence(2), LISTED, 2, 13.0, False),
        (evidence(3), LISTED, 1, 10.4, False),
        (evidence(3), LISTED, 0, 13.0, False),
        (evidence(2), ListStatus(9.5, False), 1, 10.2, True),
        (evidence(1), ListStatus(9.5, False), 1, 10.2, False),
        (evidence(2), ListStatus(9.5, False), 1, 10.1, False),
        (evidence(2, answered_at=9.8), ListStatus(9.5, False), 1, 10.2, False),
        (evidence(0, float("inf")), ListStatus(9.5, True), 0, 12.0, True),
        (evidence(0, float("inf"), answered_at=9.8), ListStatus(9.5, True), 0, 12.0, False),
    ],
)
def test_is_dead(subject, list_status, retransmissions, now, expected):
    assert is_dead(subject, list_status, retransmissions, False, now, SETTINGS) is expected


def test_the_last_retransmission_may_still_be_answered():
    """Regression from svb-gare-grown trouble-1.

    A narrow link of an entry VM that reads the platform lost three rounds of one flow, whose server
    was alive.
    """
    subject = evidence(3)
    subject.last_retransmission_at = 11.4
    assert not is_dead(subject, LISTED, 3, False, 11.4, SETTINGS)
    assert is_dead(subject, LISTED, 3, False, 11.55, SETTINGS)


def test_an_answer_clears_all_evidence():
    subject = evidence(5)
    subject.suspected_until = 20.0
    subject.record_answer(11.0)
    assert subject.unanswered == 0
    assert subject.suspected_until < 11.0
    subject.record_retransmission(10.5, 11.2, 2.0)
    assert subject.unanswered == 0


def test_a_lossy_link_doubles_the_thresholds():
    assert is_dead(evidence(5), LISTED, 3, False, 12.0, SETTINGS)
    assert not is_dead(evidence(5), LISTED, 3, True, 12.0, SETTINGS)
    assert is_dead(evidence(6), LISTED, 3, True, 12.0, SETTINGS)


def test_losses_expire():
    gauge = LossDetector(SETTINGS)
    gauge.record_loss(10.0)
    assert not gauge.is_lossy(10.0)
    gauge.record_loss(11.0)
    assert gauge.is_lossy(12.9)
    assert not gauge.is_lossy(13.1)


def test_retransmissions_of_separate_incidents_do_not_add_up():
    """Regression from inc1: two losses while the own link was full, one more 4 s later."""
    subject = Responsiveness(answered_at=9.0)
    subject.record_retransmission(10.0, 10.2, 2.0)
    subject.record_retransmission(10.0, 10.6, 2.0)
    subject.record_retransmission(14.4, 14.6, 2.0)
    assert not is_dead(subject, LISTED, 1, False, 14.8, SETTINGS)


def test_silence_of_several_servers_is_blamed_on_the_link_until_one_answers_quickly():
    link = OwnLinkMonitor()
    link.record_retransmission("s-1", 10.2)
    assert not link.is_suspected("s-1", 10.3)
    link.record_retransmission("s-2", 10.3)
    assert link.is_suspected("s-1", 10.4)
    link.record_answer("s-3", forwarded_at=9.9, now=10.5)
    assert link.is_suspected("s-1", 10.5)
    link.record_answer("s-3", forwarded_at=10.5, now=10.6)
    assert not link.is_suspected("s-1", 10.6)


def test_an_answer_of_long_ago_does_not_clear_the_link():
    link = OwnLinkMonitor()
    link.record_answer("s-3", forwarded_at=10.2, now=10.3)
    link.record_retransmission("s-1", 15.0)
    link.record_retransmission("s-2", 15.0)
    assert link.is_suspected("s-1", 15.1)


def test_a_server_silent_some_time_ago_does_not_put_the_link_under_suspicion():
    link = OwnLinkMonitor()
    link.record_retransmission("s-2", 10.3)
    assert not link.is_suspected("s-1", 14.2)


def test_sparse_retransmissions_of_one_flow_add_up():
    """Every second copy of a flow late in its backoff is lost or goes through another entry VM."""
    subject = Responsiveness(answered_at=9.0)
    for rounds, now in enumerate((10.2, 13.4, 16.6), start=1):
        subject.record_retransmission(10.0, now, 2.0, rounds)
    assert is_dead(subject, LISTED, 3, False, 16.8, SETTINGS)


def test_a_retransmission_older_than_the_last_answer_may_still_be_answered():
    subject = evidence(3)
    subject.record_retransmission(8.0, 11.4, 2.0)
    assert subject.unanswered == 3
    assert not is_dead(subject, LISTED, 1, False, 11.4, SETTINGS)


def test_a_suspected_link_does_not_protect_an_unlisted_server():
    unlisted = ListStatus(9.5, False)
    assert is_dead(evidence(2), unlisted, 1, False, 10.2, SETTINGS, link_suspected=True)


def test_a_suspected_link_delays_the_verdict_only():
    assert not is_dead(evidence(9), LISTED, 3, False, 12.9, SETTINGS, link_suspected=True)
    assert is_dead(evidence(9), LISTED, 3, False, 13.0, SETTINGS, link_suspected=True)
    removed = ListStatus(9.5, True)
    assert is_dead(evidence(0, float("inf")), removed, 0, False, 12.0, SETTINGS, True)
