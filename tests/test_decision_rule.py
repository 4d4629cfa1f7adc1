"""Model check: a non-idempotent request runs at most once and is never falsely reported as not run.

Either could happen if two entry VMs decided on the same request, for example during a hand-over.
The model has one request, its coordinator A and an entry VM B that may take over the flow. It
explores every reachable state with the real classes for flows, requests and hand-over snapshots.
"""

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from marjoramford.shared.addresses import Address
from marjoramford.shared.errors import InvariantViolationError
from marjoramford.token_flows.handovers import FlowState, restore_flow, snapshot_flow
from marjoramford.token_flows.invariants import Invariants
from marjoramford.token_flows.requests import (
    Answered,
    Dispatched,
    Flow,
    NewRequest,
    Refused,
    RequestRecord,
    Retransmission,
    StaleNumber,
    Unknown,
    Waiting,
)

NUMBER = 1
DEADLINE = 10.0
NOW = 1.0
STRICT = Invariants(strict=True)


@dataclass(frozen=True)
class ModelFaults:
    """Faults that the model plants deliberately, to prove that it detects them."""

    non_coordinator_decides: bool = False
    skip_freeze: bool = False
    unfreeze_after_resend: bool = False


@dataclass
class State:
    """One state of the model."""

    flows: dict[str, Flow | None]
    alive: dict[str, bool] = field(default_factory=lambda: {"A": True, "B": True})
    datagram_copies_left: int = 3
    in_flight: FlowState | None = None
    resends_left: int = 1
    adopted: bool = False
    sends: int = 0
    successor_refuses: bool = False
    refusal_in_flight: bool = False
    ack_in_flight: bool = False
    runs: int = 0
    replies: frozenset[str] = frozenset()

    def signature(self) -> tuple:
        flows = tuple(_flow_signature(self.flows[name]) for name in "AB")
        alive = tuple(self.alive.values())
        sent = self.in_flight is not None and (self.in_flight.seen, len(self.in_flight.finals))
        handover_state = (
            self.datagram_copies_left,
            sent,
            self.resends_left,
            self.adopted,
            self.sends,
            self.successor_refuses,
            self.refusal_in_flight,
            self.ack_in_flight,
        )
        return (flows, alive, handover_state, self.runs, self.replies)


def _flow_signature(flow: Flow | None):
    if flow is None:
        return None
    record = flow.get_record(NUMBER)
    state = None if record is None else (type(record.state).__name__, record.may_have_run)
    return (flow.is_frozen, flow.has_moved, flow.is_abandoned, flow.seen, state)


def next_states(state: State, faults: ModelFaults) -> Iterator[State]:
    """Yields every state that can be reached in one step."""
    if state.datagram_copies_left:
        for name in "AB":
            yield from _delivery_steps(
                _copy_with(state, datagram_copies_left=state.datagram_copies_left - 1), name, faults
            )
    for name in "AB":
        if state.alive[name]:
            yield from _request_steps(state, name)
            yield _copy_and_apply(state, lambda new, name=name: new.alive.update({name: False}))
    yield from _handover_steps(state, faults)


def _delivery_steps(state: State, name: str, faults: ModelFaults) -> Iterator[State]:
    if not state.alive[name]:
        yield state
        return
    flow = state.flows[name]
    if flow is None and faults.non_coordinator_decides:
        flow = state.flows[name] = Flow("s", "s1", 100.0)
    if flow is None or flow.has_moved:
        other = "A" if name == "B" else "B"
        if state.flows[other] is not None and state.alive[other]:
            yield from _delivery_steps(state, other, faults)
        yield _copy_with(state, replies=state.replies | {"unknown"})
        return
    match flow.admit(NUMBER):
        case NewRequest():
            flow.add_record(_make_record())
        case Retransmission(record) if record.is_final:
            state.replies |= {_reply_for(record)}
        case StaleNumber() if not flow.is_frozen:
            state.replies |= {"unknown"}
    yield state


def _request_steps(state: State, name: str) -> Iterator[State]:
    flow = state.flows[name]
    record = flow.get_record(NUMBER) if flow else None
    if record is None or record.is_final:
        if record is not None:
            yield _copy_and_apply(state, lambda new: new.flows[name].drop_record(NUMBER))
        return
    yield _copy_and_apply_to_record(state, name, lambda r: r.give_up("deadline", NOW, STRICT))
    match record.state:
        case Waiting():
            yield _copy_and_apply_to_record(state, name, lambda r: r.dispatch("s1", 1, NOW, STRICT))
        case Dispatched():
            yield _copy_and_apply_to_record(state, name, lambda r: r.requeue(NOW))
            answered = _copy_and_apply_to_record(
                state, name, lambda r: r.finish(Answered(b""), STRICT)
            )
            yield _copy_with(answered, runs=state.runs + 1)
            broken = _copy_and_apply_to_record(
                state, name, lambda r: r.finish(Unknown("broken"), STRICT)
            )
            yield broken
            yield _copy_with(broken, runs=state.runs + 1)


def _handover_steps(state: State, faults: ModelFaults) -> Iterator[State]:
    flow = state.flows["A"]
    if state.alive["A"] and flow is not None and state.in_flight is None and flow.is_idle:
        new = copy.deepcopy(state)
        if not faults.skip_freeze:
            new.flows["A"].freeze()
        new.in_flight = snapshot_flow(7, new.flows["A"])
        yield new
    if state.in_flight is not None and state.alive["B"] and state.resends_left >= 0:
        sent = _copy_with(state, resends_left=state.resends_left - 1, sends=state.sends + 1)
        if state.successor_refuses and not state.adopted:
            yield _copy_with(sent, refusal_in_flight=True)
        else:
            new = _copy_with(sent, ack_in_flight=True)
            if not state.adopted:
                new.adopted = True
                new.flows["B"] = restore_flow(state.in_flight)
            yield new
    if not state.successor_refuses:
        yield from _refusing_successors(state)
    if state.refusal_in_flight:
        yield _copy_with(state, refusal_in_flight=False)
        if state.alive["A"]:
            yield _handle_refusal(state, faults)
    if state.ack_in_flight:
        yield _copy_with(state, ack_in_flight=False)
        if state.alive["A"]:
            acknowledged = _copy_with(state, ack_in_flight=False)
            acknowledged.flows["A"].confirm_move()
            yield acknowledged


def _refusing_successors(state: State) -> Iterator[State]:
    """B starts to drain, or is replaced by a new incarnation without its flows and batches."""
    if state.alive["B"]:
        yield _copy_with(state, successor_refuses=True)
    restarted = _copy_with(state, successor_refuses=True, adopted=False)
    restarted.flows["B"] = None
    restarted.alive["B"] = True
    yield restarted


def _handle_refusal(state: State, faults: ModelFaults) -> State:
    new = _copy_with(state, refusal_in_flight=False)
    if new.sends == 1 or faults.unfreeze_after_resend:
        new.flows["A"].unfreeze()
    else:
        new.flows["A"].abandon()
    return new


def _make_record() -> RequestRecord:
    caller = Address("c", 1)
    return RequestRecord(7, NUMBER, "s", "hold", False, DEADLINE, b"", caller, Waiting(NOW))


def _reply_for(record: RequestRecord) -> str:
    match record.state:
        case Answered():
            return "answered"
        case Refused():
            return "not run"
        case _:
            return "unknown"


def _copy_and_apply_to_record(state: State, name: str, change) -> State:
    new = copy.deepcopy(state)
    record = new.flows[name].get_record(NUMBER)
    change(record)
    if record.is_final:
        new.replies |= {_reply_for(record)}
    return new


def _copy_and_apply(state: State, change) -> State:
    new = copy.deepcopy(state)
    change(new)
    return new


def _copy_with(state: State, **changes) -> State:
    new = copy.deepcopy(state)
    for name, value in changes.items():
        setattr(new, name, value)
    return new


def violated_guarantee(state: State) -> str:
    if state.runs > 1:
        return "ran twice"
    if "not run" in state.replies and (state.runs or "answered" in state.replies):
        return "replied 'not run' but the request ran"
    return ""


def explore(faults: ModelFaults) -> tuple[int, str]:
    """Visits every reachable state, up to the first violation of a guarantee.

    Returns:
        The number of visited states and the violation, which is empty if there is none.
    """
    first = State({"A": Flow("s", "s1", 100.0), "B": None})
    seen = {first.signature()}
    todo = [first]
    while todo:
        state = todo.pop()
        if broken := violated_guarantee(state):
            return len(seen), broken
        try:
            reached_states = list(next_states(state, faults))
        except InvariantViolationError as violation:
            return len(seen), str(violation)
        for new in reached_states:
            if new.signature() not in seen:
                seen.add(new.signature())
                todo.append(new)
    return len(seen), ""


def test_every_reachable_state_keeps_the_guarantees():
    visited, broken = explore(ModelFaults())
    assert broken == ""
    assert visited > 1000


@pytest.mark.parametrize(
    "faults",
    [
        ModelFaults(non_coordinator_decides=True),
        ModelFaults(skip_freeze=True),
        ModelFaults(unfreeze_after_resend=True),
    ],
)
def test_the_model_detects_planted_faults(faults):
    assert explore(faults)[1]
