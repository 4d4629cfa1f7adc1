"""New flows of a zone that is cut off open at its own servers, also if it is drained.

Load pattern: a zone is drained and then cut off from the other zones and the platform for six
seconds while callers go on opening flows in it.
"""

import msgspec
import pytest

from marjoramford.opaque_flows.flow_labels import derive_label
from marjoramford.opaque_flows.packets import Forward, ResetFlow

from .flow_worlds import SETTINGS, START, FlowWorld, drain, record

CUT_OFF = ResetFlow("zone cut off")
REFUSING = msgspec.structs.replace(
    SETTINGS, placement=msgspec.structs.replace(SETTINGS.placement, drained_if_cut_off=False)
)
# A read of the platform that began with the cut has failed.
DETECTED_SECONDS = 1.8


class DrainedZone(FlowWorld):
    """An entry VM of zone a, which is drained; two servers are there and four in other zones."""

    def __init__(self, settings=SETTINGS):
        entries = [record(f"s-{n}", n, zone=zone) for n, zone in enumerate("aabbcc", 1)]
        super().__init__(*entries, settings=settings, start=START)
        self.apply(drain("a", 101))
        self.cut_zones = frozenset()

    def open_flows(self, seconds):
        """Opens a flow every 0.1 s, with copies after 0.2 and 0.6 s.

        Servers of zones that are not cut off answer.

        Returns:
            The zones of the servers that answered, and the reasons of refusals, in order.
        """
        results, waiting = [], []
        end = self.now + seconds
        while self.now < end - 1e-9:
            waiting.append((self.now, self.caller()))
            for opened_at, caller in list(waiting):
                if round(self.now - opened_at, 1) not in (0.0, 0.2, 0.6):
                    continue
                action = caller.open()
                if isinstance(action, Forward) and action.server.zone not in self.cut_zones:
                    caller.receive_syn_ack(action)
                    results.append(action.server.zone)
                elif isinstance(action, ResetFlow):
                    results.append(action)
                if isinstance(action, ResetFlow) or caller.acknowledged:
                    waiting.remove((opened_at, caller))
            self.advance(0.1)
        return results

    def cut(self, platform_answers=False, zones="bc"):
        """Cuts zones off; returns what came of the flows until the platform's silence shows."""
        self.cut_zones = frozenset(zones)
        results = self.open_flows(DETECTED_SECONDS)
        if platform_answers:
            self.confirm()
        else:
            self.balancer.server_list.mark_unreachable(self.now)
        return results


def test_a_drained_zone_that_is_cut_off_uses_its_own_servers_until_it_is_back():
    world = DrainedZone()
    assert set(world.open_flows(1.0)) == {"b", "c"}
    assert world.cut() == []
    assert world.open_flows(4.0).count("a") >= 40
    world.cut_zones = frozenset()
    world.confirm()
    assert "a" not in world.open_flows(2.0)


def test_without_own_servers_flows_of_a_zone_that_is_cut_off_are_refused_at_once():
    """The callers would wait for servers that they cannot reach until their deadlines."""
    world = DrainedZone(REFUSING)
    world.open_flows(1.0)
    world.cut()
    assert set(world.open_flows(2.0)) == {CUT_OFF}
    assert world.balancer.counters["refused_cut_off"] >= 20


@pytest.mark.parametrize(
    ("platform_answers", "zones"),
    [pytest.param(True, "bc", id="the platform answers"), pytest.param(False, "b", id="zone c")],
)
def test_a_drain_holds_while_either_the_platform_or_another_zone_answers(platform_answers, zones):
    world = DrainedZone()
    world.open_flows(1.0)
    world.cut(platform_answers, zones)
    for _ in range(4):
        if platform_answers:
            world.confirm()
        assert "a" not in world.open_flows(0.5)


def test_old_silence_proves_no_cut_once_the_platform_is_lost():
    """Dead servers of another zone, and no packet to other zones since: nothing is cut off."""
    world = DrainedZone()
    world.cut(platform_answers=True)
    world.advance(6.0)
    world.balancer.server_list.mark_unreachable(world.now)
    action = world.caller().open()
    assert isinstance(action, Forward)
    assert action.server.zone != "a"


def test_a_late_copy_for_a_flow_that_opened_elsewhere_is_not_reset_while_cut_off():
    """Guards against a reset that hits an open flow, as for drained zones and cold servers."""
    world = DrainedZone(REFUSING)
    world.open_flows(1.0)
    world.cut()
    world.open_flows(0.5)
    caller = world.caller()
    caller.label = derive_label("s-3", 0)
    assert isinstance(caller.request(), Forward)
    assert not isinstance(caller.open(), ResetFlow)


def test_silence_from_before_a_stall_proves_no_cut():
    world = DrainedZone()
    world.open_flows(1.0)
    world.cut()
    world.now += 3.0
    world.balancer.tick(world.now)
    assert isinstance(world.caller().open(), Forward)
    assert "a" not in world.open_flows(0.2)
