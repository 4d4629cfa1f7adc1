"""Queueing, dispatch and retries of requests at their coordinator."""

from marjoramford.token_flows.events import AnswerReceived, BrokenOff, ProvedNotRun, Tick

from .token_cores import NOW, TokenCore, dispatches


def test_a_sticky_request_that_waits_does_not_block_requests_for_other_servers():
    core = TokenCore(servers=("s1", "s2"))
    at_s1 = core.open_flow_at("s1")
    (running,) = dispatches(core.request(at_s1, 1, "basket"))
    assert running.server == "s1"
    assert not dispatches(core.request(at_s1, 2, "basket"))
    (other,) = dispatches(core.request(core.open_flow()))
    assert other.server == "s2"
    assert not dispatches(core.request(core.open_flow()))
    (queued,) = dispatches(core.end(other, AnswerReceived(b"")))
    assert queued.server == "s2"
    (sticky,) = dispatches(core.end(running, AnswerReceived(b"")))
    assert (sticky.server, sticky.number) == ("s1", 2)


def test_sticky_requests_that_wait_keep_their_order():
    core = TokenCore(servers=("s1", "s2"))
    at_s1 = core.open_flow_at("s1")
    (running,) = dispatches(core.request(at_s1, 1, "basket"))
    for number in (2, 3, 4):
        core.request(at_s1, number, "basket")
    for at in (0.1, 0.2):
        assert not dispatches(core.balancer.handle(Tick(), NOW + at))
    for number in (2, 3, 4):
        (running,) = dispatches(core.end(running, AnswerReceived(b""), NOW + 0.3))
        assert running.number == number


def test_a_broken_idempotent_request_spends_one_retry():
    core = TokenCore(servers=("s1", "s2"))
    budget = core.balancer.node.settings.load.retry_burst
    flow = core.open_flow()
    running = dispatches(core.request(flow, 1, "seats"))
    retries = 0
    while running:
        retries += 1
        running = dispatches(core.end(running[0], BrokenOff("reset"), NOW))
    assert retries - 1 == int(budget)


def test_a_deadline_that_passes_before_the_send_is_not_held_against_the_server():
    core = TokenCore(slots=4)
    server = core.balancer.node.servers.get("s1")
    (running,) = dispatches(core.request(core.open_flow(), deadline=NOW + 1.0))
    outcome = ProvedNotRun("deadline passed before the send", expired=True)
    core.end(running, outcome, NOW + 0.9)
    assert (server.sheds, server.limit, server.closed_until) == (0, 4.0, 0.0)
    assert server.trust == 1.0


def test_a_deadline_before_the_send_does_not_clear_the_failures_of_the_server():
    core = TokenCore(slots=4)
    server = core.balancer.node.servers.get("s1")
    flow = core.open_flow()
    (broken,) = dispatches(core.request(flow, 1))
    core.end(broken, BrokenOff("reset"))
    (running,) = dispatches(core.request(flow, 2))
    core.end(running, ProvedNotRun("deadline passed before the send", expired=True))
    assert server.failures == 1
