"""Randomised simulations with fixed seeds, in which the program asserts its own invariants.

They guard against broken guarantees under planned changes, failures and overload.
"""

from functools import partial

import pytest

from marjoramford.evaluations.experiments import Experiment, ExperimentPlan
from marjoramford.shared.backend_servers import BackendServers
from marjoramford.shared.errors import InvariantViolationError
from marjoramford.shared.records import KindRules
from marjoramford.standins.deployments import DEPLOYMENTS, GRIEVANCE, HERITAGE
from marjoramford.standins.faults import PlatformStale, inject_fault
from marjoramford.standins.schedules import START_EPOCH_SECONDS
from marjoramford.standins.server_models import ServerModel
from marjoramford.standins.worlds import World, WorldSettings
from marjoramford.token_flows.actions import SendToCaller
from marjoramford.token_flows.choosers import RandomChoice
from marjoramford.token_flows.coordinators import RequestCoordinator
from marjoramford.token_flows.forwarders import Forwarder
from marjoramford.token_flows.messages import NotRun, encode
from marjoramford.token_flows.record_stores import RecordStore
from marjoramford.token_flows.requests import Refused, RequestRecord

# With this seed both deployments lose replies to handovers during a planned stop.
LOST_HANDOVER_REPLY_SEED = 16


def run(deployment, seed, faults, seconds=25.0, **options):
    return Experiment(ExperimentPlan(deployment, seed, seconds, faults, **options)).run()


@pytest.mark.parametrize("name", DEPLOYMENTS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_planned_changes_break_nothing(name, seed):
    measures = run(DEPLOYMENTS[name], seed, "planned")
    assert measures.promises_kept, measures
    assert measures.broken_flows == {}
    assert measures.spread_seconds <= 5.0


@pytest.mark.parametrize("name", DEPLOYMENTS)
@pytest.mark.parametrize("seed", [1, 2, 3, LOST_HANDOVER_REPLY_SEED])
def test_failures_violate_no_guarantee(name, seed):
    measures = run(DEPLOYMENTS[name], seed, "all", fault_interval=3.0)
    assert measures.promises_kept, measures


def test_equal_seeds_give_equal_results():
    assert run(HERITAGE, 5, "all", 10.0) == run(HERITAGE, 5, "all", 10.0)


def test_overload_refuses_truthfully_and_keeps_the_slots_busy():
    measures = run(GRIEVANCE, 1, "none", load=2.0)
    assert measures.promises_kept, measures
    assert measures.delivered_share_of_slots >= 0.95


# Each test below replaces functions by faulty ones, and expects the simulated callers and servers
# or the invariants to detect the fault.


def test_detects_an_entry_vm_that_refuses_without_being_the_coordinator(monkeypatch):
    relay_request = Forwarder._handle_request

    def refuse_without_coordinating(self, token, request, payload, now, hops):
        actions = relay_request(self, token, request, payload, now, hops)
        if not self._coordinates_here(token):
            refusal = NotRun(token.flow, request.number, "planted", now + 1.0)
            actions.append(SendToCaller(token.caller, encode(refusal)))
        return actions

    monkeypatch.setattr(Forwarder, "_handle_request", refuse_without_coordinating)
    assert run(HERITAGE, 1, "none", 5.0).promises.false_not_run > 0


def test_detects_a_retry_after_an_unknown_outcome(monkeypatch):
    always_idempotent = KindRules("planted", idempotent=True)
    monkeypatch.setattr(RequestCoordinator, "_rules", lambda self, service, kind: always_idempotent)
    assert any(run(HERITAGE, seed, "unplanned", 20.0).promises.ran_twice for seed in range(1, 6))


def test_detects_an_older_revision_being_applied(monkeypatch):
    def apply_any_revision(self, record):
        self._by_key[record.key] = record
        self._by_revision[record.revision] = record
        return True

    monkeypatch.setattr(RecordStore, "apply", apply_any_revision)
    world = World(HERITAGE, 1, WorldSettings())
    world.run_until(START_EPOCH_SECONDS + 2.0)
    inject_fault(world, PlatformStale())
    with pytest.raises(InvariantViolationError, match="revision never falls"):
        world.run_until(START_EPOCH_SECONDS + 10.0)


def test_detects_a_datagram_accepted_by_another_service(monkeypatch):
    monkeypatch.setattr(Forwarder, "_is_server_lost", lambda self, token, server: False)
    monkeypatch.setattr(ServerModel, "_is_addressed_here", lambda *arguments: True)
    assert any(run(HERITAGE, seed, "unplanned", 30.0).wrong_service for seed in range(1, 6))


def test_detects_a_false_not_run(monkeypatch):
    def refuse_always(self, reason, retry_at, invariants):
        self.finish(Refused(reason, retry_at), invariants)

    monkeypatch.setattr(RequestRecord, "give_up", refuse_always)
    violation = run(HERITAGE, 1, "none", 20.0, load=3.0, request_seconds=0.4).violation
    assert "no 'not run' while a dispatch may have run" in violation


def test_detects_new_work_on_a_leaving_server(monkeypatch):
    sample_candidates = BackendServers.sample_candidates

    def sample_leaving_servers_too(self, service, random, now):
        for server in self.of_service(service):
            server.leaving = False
        return sample_candidates(self, service, random, now)

    def submit_while_draining(self, *arguments):
        draining, self.draining_since = self.draining_since, None
        started = submit(self, *arguments)
        self.draining_since = draining
        return started

    submit = ServerModel.submit
    monkeypatch.setattr(BackendServers, "sample_candidates", sample_leaving_servers_too)
    monkeypatch.setattr(ServerModel, "submit", submit_while_draining)
    monkeypatch.setattr(ServerModel, "is_drained", lambda self, now: False)
    world = World(HERITAGE, 1, WorldSettings(policy=RandomChoice()))
    sessions = [world.add_session("booking", f"hold-{number}") for number in range(20)]
    for number in range(400):
        session = sessions[number % len(sessions)]
        asked_at = START_EPOCH_SECONDS + 2.0 + 0.025 * number
        request = partial(session.request, "hold", asked_at + 5.0, asked_at)
        world.at(asked_at, request)
    world.run_until(START_EPOCH_SECONDS + 3.0)
    world.drain_server("booking-1")
    world.run_until(START_EPOCH_SECONDS + 12.0)
    assert world.ledger.late_work > 0
