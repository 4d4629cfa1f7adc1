"""Imbalance of the default policy is at most 1.10 times that of an oracle, on the same seeds.

Guards against a policy that relies on load reports which are late, or false because one server
always reports idle.
"""

from functools import cache

import pytest

from marjoramford.evaluations.comparisons import ORACLE, REPORTS, measure_imbalance

MAX_RATIO_TO_ORACLE = 1.10
ONE_SEED = (1,)


@cache
def measure_oracle(work, seeds):
    return measure_imbalance("grievance", ORACLE, work, REPORTS["fresh"], seeds)


def assert_within_target(work, report, seeds):
    oracle = measure_oracle(work, seeds)
    found = measure_imbalance("grievance", "estimated", work, REPORTS[report], seeds)
    assert found.median <= MAX_RATIO_TO_ORACLE * oracle.median, (found, oracle)
    assert found.ninth_decile <= MAX_RATIO_TO_ORACLE * oracle.ninth_decile, (found, oracle)


@pytest.mark.parametrize("report", ["fresh", "one liar"])
def test_work_of_a_third_of_a_second(report):
    assert_within_target(0.3, report, ONE_SEED)


@pytest.mark.parametrize("report", ["fresh", "5 s late", "one liar"])
def test_work_of_five_seconds(report):
    assert_within_target(5.0, report, (1, 2, 3))


@pytest.mark.parametrize("report", REPORTS)
def test_work_of_a_minute(report):
    assert_within_target(60.0, report, (1, 2, 3))
