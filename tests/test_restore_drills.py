"""Drills on a virtual clock: a zone is in step soon after the store's return.

Guards against a simulation that shows nothing: it must notice a zone that stays behind, and must
show the same figures for the same seed.
"""

import asyncio
import time

import pytest
from result import Ok

from marjoramford.platform import stores
from marjoramford.standins.restore_drills import Course, DrillPlan, run_drill
from marjoramford.standins.virtual_loops import run_virtually

SMALL = DrillPlan(8, 3, (0.1, 0.3))
LARGE_ZONE = DrillPlan(17, 1, (0.1, 0.3))
MAX_IN_STEP_SECONDS = 0.5


def test_time_passes_only_on_the_virtual_clock():
    async def wait():
        started_at = time.monotonic()
        await asyncio.gather(asyncio.sleep(3600), asyncio.sleep(7200))
        return time.monotonic() - started_at

    assert run_virtually(wait()) == pytest.approx(7200)


def test_a_wait_for_nothing_is_an_error():
    async def wait():
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="no timer"):
        run_virtually(wait())


@pytest.mark.parametrize("plan", [SMALL, LARGE_ZONE])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_vms_of_a_zone_are_in_step_after_a_short_drill(plan, seed):
    report = run_drill(plan, seed)
    for zone in report.zones.values():
        assert zone.in_step_at - zone.first_answer_at <= MAX_IN_STEP_SECONDS


@pytest.mark.parametrize(("plan", "readers"), [(SMALL, 8), (LARGE_ZONE, 1)])
def test_a_short_drill_costs_one_whole_read_for_each_reading_vm(plan, readers):
    assert run_drill(plan, 1).whole_reads.total() == readers


def test_the_same_seed_gives_the_same_figures():
    assert run_drill(SMALL, 4) == run_drill(SMALL, 4)


def test_an_outage_alone_costs_no_whole_read_and_no_new_era():
    report = run_drill(DrillPlan(8, 3, (0.1, 0.3), Course.OUTAGE), 1)
    assert report.whole_reads.total() == 0
    assert all(zone.first_answer_at is None for zone in report.zones.values())


def test_a_zone_that_does_not_notice_the_era_is_reported(monkeypatch):
    monkeypatch.setattr(stores, "_decode_era", lambda headers: Ok(1))
    report = run_drill(SMALL, 1)
    assert all(zone.in_step_at is None for zone in report.zones.values())
