"""The emulated exchange of evidence: servers of a zone that fall dark, and suspended readers."""

from dataclasses import replace

import pytest

from marjoramford.opaque_flows.flow_settings import SharedEvidenceSettings
from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.packet_traffic import PacketTraffic
from marjoramford.standins.packet_worlds import PacketWorld, PacketWorldSettings

# More than four entry VMs in each zone, so that evidence is shared.
DEPLOYMENT = replace(HERITAGE, entry_vms=20)
TRAFFIC_SECONDS = 6.0


def run(inject, enabled=True):
    """Runs traffic for some seconds, with a fault after two of them."""
    settings = PacketWorldSettings(
        0.02, keep_all_open=True, shared_evidence=SharedEvidenceSettings(enabled=enabled)
    )
    world = PacketWorld(DEPLOYMENT, 1, settings)
    world.run_until(world.now + 3.0)
    PacketTraffic(
        world, 0.5, 4.0, world.now + TRAFFIC_SECONDS, lambda request, answered: None
    ).start()
    world.after(2.0, lambda: inject(world))
    world.run_until(world.now + TRAFFIC_SECONDS + 2.0)
    return world


def crash_zone(world):
    for server in world.running_servers():
        if server.zone == HERITAGE.zones[0]:
            world.terminate_server(server)


def suspend_first_vms(world):
    for vm in world.vms[:8]:
        vm.freeze(1.0)


def test_only_dark_servers_are_condemned_and_control_traffic_is_small():
    world = run(crash_zone)
    condemned = {verdict.server for verdict in world.evidence.verdicts}
    dead = {server.name for server in world.servers.values() if not server.alive}
    assert condemned
    assert condemned <= dead
    assert world.checker.findings.broken["FLOW"] == 0
    assert world.evidence.sent_bytes / TRAFFIC_SECONDS / DEPLOYMENT.entry_vms < 4000


@pytest.mark.parametrize("inject", [suspend_first_vms, lambda world: None])
def test_no_server_is_condemned_while_entry_vms_are_suspended_or_all_is_well(inject):
    assert run(inject).evidence.verdicts == []


def test_without_the_setting_nothing_is_exchanged():
    assert run(crash_zone, enabled=False).evidence is None
