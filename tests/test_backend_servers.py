"""Failures of backend servers: what counts, and what clears the count."""

import pytest

from marjoramford.shared.backend_servers import FAILURES_TO_EJECT
from marjoramford.token_flows.events import BrokenOff, LoadReported, ProbeFailed

from .token_cores import NOW, TokenCore, dispatches


def report(core, now):
    core.balancer.handle(LoadReported("s1", 1, 0, 4, False, now), now)


def make_core():
    core = TokenCore(servers=("s1", "s2"), slots=4)
    return core, core.balancer.node.servers.get("s1")


def test_failed_probes_far_apart_do_not_eject_a_server_whose_other_probes_succeed():
    core, server = make_core()
    for minute in range(2 * FAILURES_TO_EJECT):
        now = NOW + 60.0 * minute
        core.balancer.handle(ProbeFailed("s1", 1), now)
        report(core, now + 30.0)
    assert server.ejected_until == 0.0


def test_failed_probes_in_a_row_eject_a_server():
    core, server = make_core()
    for _ in range(FAILURES_TO_EJECT):
        core.balancer.handle(ProbeFailed("s1", 1), NOW)
    assert server.ejected_until > NOW


@pytest.mark.parametrize("failed_probes", [0, 1])
def test_successful_probes_do_not_excuse_broken_requests(failed_probes):
    """A server that answers its probes and breaks every request is still ejected."""
    core, server = make_core()
    flow = core.open_flow_at("s1")
    for number in range(1, FAILURES_TO_EJECT + 1):
        (running,) = dispatches(core.request(flow, number, "basket"))
        core.end(running, BrokenOff("reset"))
        for _ in range(failed_probes):
            core.balancer.handle(ProbeFailed("s1", 1), NOW)
        report(core, NOW)
    assert server.ejected_until > NOW
