"""Hand-over of flows at a planned stop: a successor that refuses, and a stop that is forced."""

import msgspec
import pytest

from marjoramford.shared.logs import LogEvent
from marjoramford.token_flows.actions import CancelDispatch, DrainFinished, SendHandover
from marjoramford.token_flows.events import AnswerReceived, DrainRequested, HandoverReplied, Tick
from marjoramford.token_flows.handovers import HandoverReply
from marjoramford.token_flows.messages import Answer, CoordinatorLost, NotRun, OutcomeUnknown

from .token_cores import NOW, TokenCore, dispatches, messages


def drain(core, now=NOW, seconds=30.0):
    """Requests a planned stop; returns the batches sent."""
    return batches(core.balancer.handle(DrainRequested(now + seconds), now))


def batches(actions):
    return [action for action in actions if isinstance(action, SendHandover)]


def refuse(core, batch, now=NOW):
    payload = msgspec.json.encode(HandoverReply(batch.batch, False))
    return core.balancer.handle(HandoverReplied(batch.batch, payload), now)


@pytest.fixture
def drains_finished(monkeypatch):
    """The fields of each finished drain that is logged."""
    logged = []

    def log(_logger, event, **fields):
        if event is LogEvent.DRAIN_FINISHED:
            logged.append(fields)

    monkeypatch.setattr("marjoramford.token_flows.handovers.log_event", log)
    return logged


def test_flows_of_a_batch_refused_at_its_only_send_continue(drains_finished):
    """They stayed frozen, and requests on them got no reply."""
    core = TokenCore(peers=("entry-2",), slots=4)
    busy, idle = core.open_flow(), core.open_flow()
    core.request(busy)
    (batch,) = drain(core)
    refuse(core, batch)
    assert not drains_finished
    assert dispatches(core.request(idle))


def test_flows_of_a_refused_batch_count_as_unmoved(drains_finished):
    core = TokenCore(peers=("entry-2",))
    for _ in range(3):
        core.open_flow()
    (batch,) = drain(core)
    refuse(core, batch)
    assert [fields["unmoved"] for fields in drains_finished] == [3]


def test_callers_learn_that_a_batch_refused_after_a_resend_has_lost_its_coordinator():
    """An earlier incarnation of the successor may have adopted the flows at the first send."""
    core = TokenCore(peers=("entry-2",), slots=4)
    busy, idle = core.open_flow(), core.open_flow()
    core.request(busy)
    (batch,) = drain(core)
    core.balancer.handle(HandoverReplied(batch.batch, None), NOW)
    (resent,) = batches(core.balancer.handle(Tick(), NOW + 1.0))
    assert not messages(core.request(idle, now=NOW + 1.0))
    refuse(core, resent, NOW + 1.1)
    actions = core.request(idle, now=NOW + 1.2)
    assert messages(actions) == [CoordinatorLost(idle[1].flow)]
    assert not dispatches(actions)


def test_a_forced_leave_dispatches_nothing_during_the_linger():
    """The process exits after the linger, which would cut what it has dispatched."""
    core = TokenCore(servers=("s1",), slots=1)
    first, second, idle = core.open_flow(), core.open_flow(), core.open_flow()
    (running,) = dispatches(core.request(first, deadline=NOW + 20.0))
    assert not dispatches(core.request(second, deadline=NOW + 20.0))
    drain(core, seconds=2.0)
    left = core.balancer.handle(Tick(), NOW + 2.0)
    assert [type(message) for message in messages(left)] == [NotRun]
    answered = core.end(running, AnswerReceived(b"done"), NOW + 2.1)
    assert not dispatches(answered)
    assert [type(message) for message in messages(answered)] == [Answer]
    late = core.request(idle, now=NOW + 2.2, deadline=NOW + 20.0)
    assert not dispatches(late)
    assert [type(message) for message in messages(late)] == [NotRun]


def test_a_request_that_still_runs_at_the_exit_ends_as_unknown():
    """The exit cut it off, and its caller got no reply."""
    core = TokenCore()
    linger = core.balancer.node.settings.times.drain_linger
    (running,) = dispatches(core.request(core.open_flow(), deadline=NOW + 20.0))
    drain(core, seconds=2.0)
    core.balancer.handle(Tick(), NOW + 2.0)
    actions = core.balancer.handle(Tick(), NOW + 2.0 + linger)
    assert [type(message) for message in messages(actions)] == [OutcomeUnknown]
    assert actions[0] == CancelDispatch(running.dispatch)
    assert actions[-1] == DrainFinished()


def test_a_request_that_would_outlast_the_stop_is_refused():
    """It was dispatched just before the deadline, and the exit cut it off."""
    core = TokenCore(slots=2)
    linger = core.balancer.node.settings.times.drain_linger
    busy, waiting, late = (core.open_flow() for _ in range(3))
    (measured,) = dispatches(core.request(busy, 1, deadline=NOW + 60.0))
    core.end(measured, AnswerReceived(b"done"), NOW + 5.0)
    running = dispatches(core.request(busy, 2, now=NOW + 5.0, deadline=NOW + 60.0))
    running += dispatches(core.request(busy, 3, now=NOW + 5.0, deadline=NOW + 60.0))
    assert len(running) == 2
    assert not dispatches(core.request(waiting, now=NOW + 5.0, deadline=NOW + 60.0))
    drain(core, now=NOW + 5.0, seconds=10.0)
    # Requests take 5 s, and the process exits `drain_linger` after the deadline.
    start_by = NOW + 15.0 + linger - 5.0
    actions = core.end(running[0], AnswerReceived(b"done"), start_by + 0.1)
    assert not dispatches(actions)
    assert [type(message) for message in messages(actions)] == [Answer, NotRun]
    actions = core.request(late, now=start_by + 0.2, deadline=NOW + 60.0)
    assert not dispatches(actions)
    assert [type(message) for message in messages(actions)] == [NotRun]


@pytest.mark.parametrize("adopted", [True, False])
def test_the_reply_to_another_batch_proves_nothing(adopted):
    """A second copy of a reply would let two coordinators, or none, decide on the flows."""
    core = TokenCore(peers=("entry-2",), slots=4)
    busy, idle = core.open_flow(), core.open_flow()
    core.request(busy)
    (batch,) = drain(core)
    copy = msgspec.json.encode(HandoverReply(batch.batch + 1, adopted))
    core.balancer.handle(HandoverReplied(batch.batch, copy), NOW)
    assert not dispatches(core.request(idle))
    (resent,) = batches(core.balancer.handle(Tick(), NOW + 1.0))
    assert resent.payload == batch.payload
