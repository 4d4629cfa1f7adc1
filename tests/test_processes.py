"""The whole path as separate processes on loopback."""

import json
import signal
from dataclasses import replace

import pytest

from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.sites import plan_site

from .processes import Fleet


@pytest.fixture
def fleet(tmp_path):
    booking, manifest = HERITAGE.services
    deployment = replace(
        HERITAGE,
        zones=HERITAGE.zones[:2],
        entry_vms=4,
        services=(replace(booking, servers=5), replace(manifest, servers=2)),
    )
    fleet = Fleet(plan_site(deployment), tmp_path)
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.stop_all()


def finish(process) -> dict:
    output, _ = process.communicate(timeout=60)
    return json.loads(output) | {"status": process.returncode}


def test_hold_board_and_manifest_are_whole_and_their_own(fleet):
    callers = {
        "hold": fleet.caller("booking", "hold", 3),
        "board": fleet.caller("booking", "board", 10),
        "upload": fleet.caller("manifest", "upload"),
    }
    results = {name: finish(process) for name, process in callers.items()}
    assert [result["status"] for result in results.values()] == [0, 0, 0], results
    assert [outcome["result"] for outcome in results["hold"]["outcomes"]] == ["whole"] * 3
    assert results["board"]["board_pieces"] >= 10
    assert results["upload"]["upload_whole"]
    assert all(result["foreign"] == 0 for result in results.values())


def test_planned_stop_of_an_entry_vm_cuts_nothing(fleet):
    callers = [fleet.caller("booking", "hold", 12), fleet.caller("booking", "board", 30)]
    leaving = next_with_flows(fleet)
    fleet.operate("POST", f"vms/{leaving}/leaving")
    fleet.signal(leaving, signal.SIGTERM)
    results = [finish(process) for process in callers]
    assert [result["status"] for result in results] == [0, 0], results
    assert fleet.wait_for_exit(leaving) == 0
    assert "drain finished requests_cut=0 unmoved=0" in fleet.log(leaving)


def next_with_flows(fleet) -> str:
    names = [vm.name for vm in fleet.site.entry_vms]
    found: list[str] = []

    def some_vm_coordinates() -> bool:
        found[:] = [name for name in names if fleet.state(name)["flows"]]
        return bool(found)

    fleet.wait_until(some_vm_coordinates)
    return found[0]


def test_operator_commands_on_running_processes(fleet):
    places = [f"{vm.host}:{vm.http_port}" for vm in fleet.site.entry_vms]
    assert "booking" in fleet.call("catalogue", "--at", places[0]).stdout
    dump = json.loads(fleet.call("dump", "--at", places[0]).stdout)
    assert len(dump["backend_servers"]) == 7
    fleet.operate("DELETE", "catalogue/manifest")
    converged = fleet.call("converged", "--revision=3", f"--at={','.join(places)}")
    assert converged.returncode == 0, converged.stderr
    assert "retired" in fleet.call("catalogue", "--at", places[1]).stdout
    late = fleet.call("converged", "--revision=99", f"--at={places[0]}", "--seconds=0.2")
    assert late.returncode == 1
