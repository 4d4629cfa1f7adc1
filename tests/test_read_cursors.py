"""What a reader does with an answer of each kind and era."""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramford.opaque_flows.read_cursors import (
    AnswerKind,
    ReadCursor,
    ReadEverything,
    RejectAnswer,
    UseAnswer,
)
from marjoramford.opaque_flows.state_versions import StateVersion
from marjoramford.shared.logs import LogEvent


def cursor_at(era, revision):
    cursor = ReadCursor()
    cursor.learn_era(era)
    cursor.advance(revision)
    return cursor


@pytest.mark.parametrize("kind", [AnswerKind.CHANGES, AnswerKind.NEXT_PAGE])
def test_changes_of_a_new_era_are_not_used_and_everything_is_read_at_once(kind):
    cursor = cursor_at(1, 10)
    assert cursor.judge(kind, 2) == ReadEverything()
    assert cursor.version == StateVersion(2, 0)
    assert cursor.whole_read_due


def test_a_whole_read_that_begins_in_a_new_era_is_used():
    cursor = cursor_at(1, 0)
    assert cursor.judge(AnswerKind.FIRST_PAGE, 3) == UseAnswer()
    assert cursor.judge(AnswerKind.NEXT_PAGE, 3) == UseAnswer()
    assert cursor.version.era == 3


def test_a_refusal_that_shows_a_new_era_makes_a_whole_read_due():
    cursor = cursor_at(0, 10)
    assert isinstance(cursor.judge(AnswerKind.REFUSAL, 1), RejectAnswer)
    assert cursor.version == StateVersion(1, 0)


def test_a_refusal_of_the_same_era_changes_nothing():
    cursor = cursor_at(1, 10)
    assert isinstance(cursor.judge(AnswerKind.REFUSAL, 1), RejectAnswer)
    assert cursor.version == StateVersion(1, 10)


def test_lost_history_makes_a_whole_read_due_and_is_read_at_once_only_in_a_new_era():
    cursor = cursor_at(1, 10)
    assert isinstance(cursor.judge(AnswerKind.HISTORY_GONE, 1), RejectAnswer)
    assert cursor.whole_read_due
    assert cursor_at(1, 10).judge(AnswerKind.HISTORY_GONE, 2) == ReadEverything()


@pytest.mark.parametrize("kind", list(AnswerKind))
def test_an_era_that_goes_back_is_logged_and_changes_nothing(kind, caplog):
    logging.getLogger("marjoramford").propagate = True
    cursor = cursor_at(2, 10)
    with caplog.at_level(logging.INFO, logger="marjoramford"):
        assert isinstance(cursor.judge(kind, 1), RejectAnswer)
    assert cursor.version == StateVersion(2, 10)
    assert [line.event for line in caplog.records] == [LogEvent.PLATFORM_ANSWER_IGNORED]


def test_the_first_era_of_a_start_is_no_restore(caplog):
    logging.getLogger("marjoramford").propagate = True
    with caplog.at_level(logging.INFO, logger="marjoramford"):
        ReadCursor().judge(AnswerKind.FIRST_PAGE, 4)
        assert not caplog.records
        cursor_at(4, 10).judge(AnswerKind.REFUSAL, 5)
    assert LogEvent.PLATFORM_RESTORED in [line.event for line in caplog.records]


answers = st.lists(st.tuples(st.sampled_from(list(AnswerKind)), st.integers(0, 4)), max_size=20)


@given(answers)
def test_the_era_never_goes_back_and_only_its_own_answers_are_used(script):
    cursor = ReadCursor()
    for kind, era in script:
        before = cursor.version
        verdict = cursor.judge(kind, era)
        assert cursor.version.era == max(before.era, era)
        if verdict == UseAnswer():
            assert era == cursor.version.era
            assert kind is AnswerKind.FIRST_PAGE or era == before.era
        if era > before.era:
            assert cursor.whole_read_due
