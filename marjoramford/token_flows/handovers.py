"""Connection draining at a planned stop: hands a coordinator's flows over to one successor.

The steps of a planned stop are:

1. Drain: the entry VM becomes `leaving`, opens no more flows and chooses a successor. Flows without
   unfinished requests are frozen and sent to the successor, if there is one, in batches.
2. Left: when nothing remains to be done, or at the deadline, it becomes `left` and dispatches no
   more requests. The next gossip announces this, with the successor if that has adopted any flows.
3. Exit: after the configured linger time, `DrainFinished` lets the process exit. Until then the
   entry VM still handles datagrams. Requests that still run are given up, and callers are told.

Load pattern: flows that always have a request under way, so that they cannot be handed over, go on
until the deadline. A request that would outlast the stop is refused meanwhile.
"""

import logging
from dataclasses import dataclass
from itertools import islice

import msgspec
from result import Err, Ok

from ..shared.addresses import Address
from ..shared.entry_vms import Coordinator, EntryVm, rendezvous_order
from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from .actions import Action, DrainFinished, ReplyHandover, SendHandover
from .coordinators import RequestCoordinator
from .events import HandoverReceived, HandoverReplied
from .invariants import Invariant
from .nodes import Node
from .requests import Answered, Flow, Refused, RequestRecord, Unknown

logger = logging.getLogger(__name__)

FLOWS_PER_BATCH = 200
MAX_BATCHES_IN_FLIGHT = 4
RESEND_DELAY_SECONDS = 0.5


class FinalRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request's final state, kept for retransmissions.

    `answer` is set for an answered request and `refused_until` for a refused one; if neither is
    set, the outcome is unknown.
    """

    number: int
    deadline: float
    kind: str
    answer: bytes | None = None
    refused_until: float | None = None
    reason: str = ""


class FlowState(msgspec.Struct, frozen=True):
    """Snapshot of a frozen flow: its window of request numbers and the existing final states."""

    number: int
    service: str
    server: str
    caller: Address | None
    expires_at: float
    highest: int
    seen: int
    finals: tuple[FinalRecord, ...] = ()


class HandoverBatch(msgspec.Struct, frozen=True):
    """Flows being handed over; a batch is only ever sent to one successor.

    Attributes:
        origins: the sender and the coordinators from which it had adopted flows.
        batch: number of the batch, unique for the sender.
    """

    sender: Coordinator
    origins: tuple[Coordinator, ...]
    successor: Coordinator
    batch: int
    flows: tuple[FlowState, ...]


class HandoverReply(msgspec.Struct, frozen=True):
    """The successor's reply; `adopted` means all flows of the batch, otherwise it adopted none.

    `batch` is 0 if the successor could not decode the batch.
    """

    batch: int
    adopted: bool


@dataclass(slots=True)
class _InFlightBatch:
    """A batch to which the successor has not validly replied.

    Attributes:
        resend_at: epoch seconds; infinity until the latest send has succeeded or failed.
        sends: how many times it was sent.
    """

    payload: bytes
    flow_numbers: tuple[int, ...]
    resend_at: float = float("inf")
    sends: int = 1


class Handover:
    """Both sides of the hand-over of flows at a planned stop."""

    def __init__(self, node: Node, coordinator: RequestCoordinator):
        self._node = node
        self._coordinator = coordinator
        self._in_flight: dict[int, _InFlightBatch] = {}
        self._unsent_flows: dict[int, None] = {}
        self._last_batch = 0
        self._adopted_batches: set[tuple[Coordinator, int]] = set()
        self._successor_refused = False
        self._exit_at: float | None = None

    def start_drain(self, deadline: float, now: float) -> list[Action]:
        """Starts the planned stop; no new flows are accepted from now on.

        Args:
            deadline: when the stop is forced to complete, in epoch seconds.
            now: epoch seconds.
        """
        node = self._node
        if node.draining_until is not None:
            return []
        node.draining_until = deadline
        node.own.state = "leaving"
        node.own.heartbeat += 1
        node.successor = self._choose_successor()
        self._unsent_flows = dict.fromkeys(node.flows)
        log_event(logger, LogEvent.DRAIN_STARTED, flows=len(node.flows), deadline=deadline)
        return self.advance(now)

    def advance(self, now: float) -> list[Action]:
        """Hands over idle flows; leaves when nothing remains to be done, or at the deadline.

        Nothing remains when all requests have ended, every batch sent has got a valid reply, and no
        flow is left that can be handed over. `DrainFinished` follows after the linger time.
        """
        node = self._node
        if node.draining_until is None:
            return []
        if self._exit_at is not None:
            if now < self._exit_at:
                return []
            return [*self._coordinator.cancel_running(now), DrainFinished()]
        actions = self._resend(now)
        while self._may_send():
            flow_numbers = tuple(islice(self._idle_flows(), FLOWS_PER_BATCH))
            if not flow_numbers:
                break
            actions.append(self._send(flow_numbers, now))
        if self._is_complete() or now >= node.draining_until:
            actions += self._leave(now)
        return actions

    def handle_reply(self, event: HandoverReplied, now: float) -> list[Action]:
        """Handles the successor's reply to a batch.

        Without a valid reply the flows stay frozen and the batch is sent again, as the successor
        may have adopted them. If the successor refuses the batch, no further batch is begun;
        batches in flight are still resent until they get a reply. The flows of a batch that was
        refused at its only send continue here. After a resend, an earlier incarnation of the
        successor may have adopted them before, so callers are told that the coordinator is lost.
        """
        in_flight = self._in_flight.get(event.batch)
        if in_flight is None:
            return []
        adopted = self._decode_adopted(event)
        if adopted is None:
            in_flight.resend_at = now + RESEND_DELAY_SECONDS
            log_event(logger, LogEvent.HANDOVER_FAILED, batch=event.batch)
            return []
        del self._in_flight[event.batch]
        for number in in_flight.flow_numbers:
            flow = self._node.flows.get(number)
            if flow is None:
                continue
            if adopted:
                flow.confirm_move()
            elif in_flight.sends == 1:
                flow.unfreeze()
            else:
                flow.abandon()
        self._successor_refused = self._successor_refused or not adopted
        return self.advance(now)

    def handle_batch(self, event: HandoverReceived, now: float) -> list[Action]:
        """Adopts the flows of a leaving coordinator; a retransmitted batch changes nothing.

        A batch is refused if it cannot be decoded, if it is addressed to another coordinator, or if
        this entry VM is itself draining.
        """
        match decode_json(event.payload, HandoverBatch):
            case Ok(batch):
                reply = HandoverReply(batch.batch, self._adopt(batch, now))
            case Err(reason):
                log_event(logger, LogEvent.CONTROL_BODY_REJECTED, step="hand over", reason=reason)
                reply = HandoverReply(0, False)
        return [ReplyHandover(msgspec.json.encode(reply))]

    def _adopt(self, batch: HandoverBatch, now: float) -> bool:
        node = self._node
        key = (batch.sender, batch.batch)
        if key in self._adopted_batches:
            return True
        if batch.successor != node.coordinator or node.draining_until is not None:
            return False
        self._adopted_batches.add(key)
        node.adopted_from.update(batch.origins)
        for state in batch.flows:
            if state.number not in node.flows:
                node.flows.add(state.number, restore_flow(state))
                self._coordinator.schedule_record_expiry(state.number, now)
        log_event(
            logger, LogEvent.HANDOVER_ADOPTED, sender=batch.sender.entry_vm, flows=len(batch.flows)
        )
        return True

    def _choose_successor(self) -> EntryVm | None:
        """Returns an active entry VM, from the own zone if there is one; None without any."""
        active = self._node.entry_vms.active()
        own = self._node.own
        candidates = [vm for vm in active if vm.zone == own.zone] or active
        by_name = {vm.name: vm for vm in candidates}
        order = rendezvous_order(own.name, by_name)
        return by_name[order[0]] if order else None

    def _may_send(self) -> bool:
        if self._node.successor is None or self._successor_refused:
            return False
        return len(self._in_flight) < MAX_BATCHES_IN_FLIGHT

    def _idle_flows(self):
        for number in list(self._unsent_flows):
            flow = self._node.flows.get(number)
            if flow is None:
                del self._unsent_flows[number]
            elif flow.is_idle:
                yield number

    def _send(self, flow_numbers: tuple[int, ...], now: float) -> SendHandover:
        node = self._node
        successor = node.successor
        assert successor is not None
        states = []
        for number in flow_numbers:
            self._unsent_flows.pop(number)
            flow = node.flows.get(number)
            assert flow is not None
            flow.freeze()
            node.invariants.check(
                flow.is_frozen and flow.is_idle, Invariant.FROZEN_HANDOVER, number
            )
            states.append(snapshot_flow(number, flow))
        self._last_batch += 1
        batch = HandoverBatch(
            node.coordinator,
            (node.coordinator, *node.adopted_from),
            Coordinator(successor.name, successor.incarnation),
            self._last_batch,
            tuple(states),
        )
        payload = msgspec.json.encode(batch)
        self._in_flight[self._last_batch] = _InFlightBatch(payload, flow_numbers)
        log_event(logger, LogEvent.HANDOVER_SENT, batch=self._last_batch, flows=len(states))
        return SendHandover(self._last_batch, successor.name, successor.control_address, payload)

    def _resend(self, now: float) -> list[Action]:
        successor = self._node.successor
        actions: list[Action] = []
        for number, in_flight in self._in_flight.items():
            if successor is not None and in_flight.resend_at <= now:
                in_flight.resend_at = float("inf")
                in_flight.sends += 1
                actions.append(
                    SendHandover(
                        number, successor.name, successor.control_address, in_flight.payload
                    )
                )
        return actions

    def _is_complete(self) -> bool:
        if self._coordinator.running_count or self._coordinator.waiting_count or self._in_flight:
            return False
        return not self._unsent_flows or self._node.successor is None or self._successor_refused

    def _leave(self, now: float) -> list[Action]:
        node = self._node
        actions = self._coordinator.close(now)
        successor = node.successor
        node.own.state = "left"
        node.own.heartbeat += 1
        flows = [flow for flow in map(node.flows.get, node.flows) if flow is not None]
        unmoved = sum(not flow.has_moved for flow in flows)
        if successor is not None and unmoved < len(flows):
            node.own.successor = Coordinator(successor.name, successor.incarnation)
        self._exit_at = now + node.settings.times.drain_linger
        requests_cut = self._coordinator.running_count + self._coordinator.waiting_count
        log_event(
            logger,
            LogEvent.DRAIN_FINISHED,
            requests_cut=requests_cut,
            unmoved=unmoved,
        )
        return actions

    def _decode_adopted(self, event: HandoverReplied) -> bool | None:
        """Returns whether the batch was adopted; None if that is not known.

        A second copy of the reply to another batch says nothing about this one.
        """
        if event.payload is None:
            return None
        match decode_json(event.payload, HandoverReply):
            case Ok(reply) if reply.batch == event.batch or reply == HandoverReply(0, False):
                return reply.adopted
        return None


def snapshot_flow(number: int, flow: Flow) -> FlowState:
    """Returns the state that the successor needs of a flow without unfinished requests."""
    records = list(flow.records())
    return FlowState(
        number,
        flow.service,
        flow.server,
        records[0].caller if records else None,
        flow.expires_at,
        flow.highest,
        flow.seen,
        tuple(_final_record(record) for record in records),
    )


def _final_record(record: RequestRecord) -> FinalRecord:
    match record.state:
        case Answered(body=body):
            return FinalRecord(record.number, record.deadline, record.kind, answer=body)
        case Refused(reason=reason, retry_at=retry_at):
            return FinalRecord(
                record.number, record.deadline, record.kind, refused_until=retry_at, reason=reason
            )
        case Unknown(reason=reason):
            return FinalRecord(record.number, record.deadline, record.kind, reason=reason)
        case state:
            raise AssertionError(
                f"expected a final state for the hand-over of a request, got {state}"
            )


def restore_flow(state: FlowState) -> Flow:
    """Returns a flow restored from the former coordinator's snapshot."""
    flow = Flow(state.service, state.server, state.expires_at, state.highest, state.seen)
    for final in state.finals:
        assert state.caller is not None
        flow.add_record(
            RequestRecord(
                flow=state.number,
                number=final.number,
                service=state.service,
                kind=final.kind,
                idempotent=False,
                deadline=final.deadline,
                body=b"",
                caller=state.caller,
                state=_final_state(final),
            )
        )
    return flow


def _final_state(final: FinalRecord) -> Answered | Refused | Unknown:
    if final.answer is not None:
        return Answered(final.answer)
    if final.refused_until is not None:
        return Refused(final.reason, final.refused_until)
    return Unknown(final.reason)
