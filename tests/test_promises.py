"""Steps of features/promises.feature, run on several balancers in a simulation."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from marjoramford.standins import faults
from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.schedules import START_EPOCH_SECONDS
from marjoramford.standins.worlds import World, WorldSettings

scenarios("features/promises.feature")

HOLD_INTERVAL_SECONDS = 0.1
HOLD_DEADLINE_SECONDS = 5.0
SETTLE_SECONDS = 25.0
WARMED_UP_AT = START_EPOCH_SECONDS + 3.0


@pytest.fixture
def targets() -> list[str]:
    return []


@given("the heritage deployment with a board and an upload under way", target_fixture="world")
def world_with_streams():
    world = World(HERITAGE, 1, WorldSettings())
    world.run_until(START_EPOCH_SECONDS + 1.0)
    for number in range(6):
        world.add_session("booking", f"board-{number}").follow_board(world.now)
        world.add_session("manifest", f"upload-{number}").start_upload(300, world.now)
    world.run_until(WARMED_UP_AT)
    return world


@given("the heritage deployment with holds under way", target_fixture="world")
def world_with_holds():
    world = World(HERITAGE, 2, WorldSettings())
    world.run_until(START_EPOCH_SECONDS + 1.0)
    sessions = [world.add_session("booking", f"hold-{number}") for number in range(20)]

    def hold(number: int) -> None:
        session = sessions[number % len(sessions)]
        session.request("hold", world.now + HOLD_DEADLINE_SECONDS, world.now)

    for number in range(120):
        world.at(WARMED_UP_AT + number * HOLD_INTERVAL_SECONDS, lambda number=number: hold(number))
    world.run_until(WARMED_UP_AT + 1.0)
    return world


@when(parsers.parse("{name} happens"))
def inject_fault_by_name(world, targets, name):
    fault = getattr(faults, name)()
    targets.append(faults.inject_fault(world, fault))
    assert targets[-1]
    world.run_until(world.now + 2.0)


@then("the board goes on and the upload arrives whole")
def streams_survive(world):
    world.run_until(START_EPOCH_SECONDS + SETTLE_SECONDS)
    for session in world.sessions:
        assert not session.was_broken(world.now), session.name
        assert session.upload is None or session.upload.whole, session.name


@then("nothing reached another service or another caller")
def nothing_foreign(world):
    assert world.ledger.foreign == 0
    assert sum(session.foreign for session in world.sessions) == 0


def outcomes(world):
    world.run_until(START_EPOCH_SECONDS + SETTLE_SECONDS)
    return [outcome for session in world.sessions for outcome in session.outcomes]


@then("each hold ran at most once")
def at_most_once(world):
    assert all(world.ledger.started[outcome.work] <= 1 for outcome in outcomes(world))


@then("each hold refused as not run did not run")
def not_run_is_truthful(world):
    refused = [outcome for outcome in outcomes(world) if outcome.result == "not_run"]
    assert all(world.ledger.started[outcome.work] == 0 for outcome in refused)


@then("each hold has exactly one outcome")
def one_outcome(world):
    works = [outcome.work for outcome in outcomes(world)]
    assert len(works) == len(set(works)) == 120


@then("no server started work later than 3 seconds after it began to leave")
def no_late_work(world):
    assert len(outcomes(world)) == 120
    assert world.ledger.late_work == 0


@then("every hold was answered")
def all_answered(world):
    assert {outcome.result for outcome in outcomes(world)} == {"whole"}


@then("every entry VM has the newest catalogue within 5 seconds")
def newest_everywhere(world):
    newest = world.platform.catalogue.through
    world.run_until(world.now + 3.0)
    nodes = [node.balancer.node for node in world.alive_entry_vms()]
    assert all(node.catalogue.through == newest for node in nodes)
    world.run_until(world.now + 10.0)
    entry = world.platform.catalogue.get("booking")
    assert all(node.catalogue.get("booking") == entry for node in nodes)
