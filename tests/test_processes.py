"""End-to-end tests of daemons, stand-ins and callers as separate processes on loopback."""

import json
import signal
from dataclasses import replace

import pytest

from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.sites import plan_site

from .processes import Fleet, fetch


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


def test_requests_streams_and_uploads_are_complete_and_not_mixed_up(fleet):
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


def test_a_planned_stop_of_an_entry_vm_interrupts_no_request(fleet):
    callers = [fleet.caller("booking", "hold", 12), fleet.caller("booking", "board", 30)]
    leaving = wait_for_coordinator(fleet)
    fleet.operate("POST", f"vms/{leaving}/leaving")
    fleet.signal(leaving, signal.SIGTERM)
    results = [finish(process) for process in callers]
    assert [result["status"] for result in results] == [0, 0], results
    assert fleet.wait_for_exit(leaving) == 0
    assert "drain finished requests_cut=0 unmoved=0" in fleet.log(leaving)


def wait_for_coordinator(fleet) -> str:
    names = [vm.name for vm in fleet.site.entry_vms]
    found: list[str] = []

    def some_vm_has_flows() -> bool:
        found[:] = [name for name in names if fleet.state(name)["flows"]]
        return bool(found)

    fleet.wait_until(some_vm_has_flows)
    return found[0]


def test_operator_commands_on_running_processes(fleet):
    addresses = [f"{vm.host}:{vm.http_port}" for vm in fleet.site.entry_vms]
    assert "booking" in fleet.call("catalogue", "--at", addresses[0]).stdout
    dump = json.loads(fleet.call("dump", "--at", addresses[0]).stdout)
    assert len(dump["backend_servers"]) == 7
    fleet.operate("DELETE", "catalogue/manifest")
    converged = fleet.call("converged", "--revision=3", f"--at={','.join(addresses)}")
    assert converged.returncode == 0, converged.stderr
    assert "retired" in fleet.call("catalogue", "--at", addresses[1]).stdout
    late = fleet.call("converged", "--revision=99", f"--at={addresses[0]}", "--seconds=0.2")
    assert late.returncode == 1


def ledger(fleet) -> dict[str, int]:
    """Returns how often each unit of work was started, over all servers."""
    started: dict[str, int] = {}
    for record in fleet.site.servers:
        found = fetch(f"http://{record.host}:{record.http_port}/ledger")
        assert found["misdirected"] == 0
        for work, count in found["started"].items():
            started[work] = started.get(work, 0) + count
    return started


def observed_state(fleet, observer: str, name: str) -> str:
    return next(vm["state"] for vm in fleet.state(observer)["entry_vms"] if vm["name"] == name)


@pytest.mark.parametrize("failure", [signal.SIGSTOP, signal.SIGKILL])
def test_no_request_runs_twice_after_an_entry_vm_is_paused_or_killed(fleet, failure):
    """A resumed entry VM could dispatch requests that its callers have since sent elsewhere."""
    callers = [fleet.caller("booking", "hold", 8) for _ in range(4)]
    failed = wait_for_coordinator(fleet)
    observer = next(vm.name for vm in fleet.site.entry_vms if vm.name != failed)
    fleet.signal(failed, failure)
    fleet.wait_until(lambda: observed_state(fleet, observer, failed) == "lost")
    if failure == signal.SIGSTOP:
        fleet.signal(failed, signal.SIGCONT)
        fleet.wait_until(lambda: observed_state(fleet, observer, failed) == "alive")
    results = [finish(process) for process in callers]
    started = ledger(fleet)
    outcomes = [outcome for result in results for outcome in result["outcomes"]]
    assert len(outcomes) == 32
    assert all(result["foreign"] == 0 for result in results)
    assert all(count == 1 for count in started.values())
    for outcome in outcomes:
        runs = started.get(outcome["work"], 0)
        assert runs == 1 or outcome["result"] != "whole", outcome
        assert runs == 0 or outcome["result"] != "not_run", outcome


def test_a_second_signal_stops_immediately_and_logs_the_interrupted_requests(fleet):
    caller = fleet.caller("booking", "board", 20)
    stopped = wait_for_coordinator(fleet)
    fleet.signal(stopped, signal.SIGTERM)
    fleet.wait_until(lambda: "drain started" in fleet.log(stopped))
    fleet.signal(stopped, signal.SIGTERM)
    fleet.wait_for_exit(stopped)
    text = fleet.log(stopped)
    assert "stopped at once requests_cut=" in text or "drain finished" in text
    assert finish(caller)["status"] == 0
