"""Reload of the settings of an entry VM for opaque flows: what the log says is in force."""

import msgspec
import pytest
from result import Err, Ok

from marjoramford.opaque_flows.flow_settings import StopSettings
from marjoramford.opaque_flows.packet_daemons import PacketVm
from marjoramford.shared.errors import Step, StepError

from .flow_worlds import SETTINGS

ERROR = StepError(Step.READ_SETTINGS, "entry.json", "expected a mapping")


@pytest.fixture
def reload_with(monkeypatch):
    """Reloads settings; returns the entry VM and the fields of the logged event."""
    logged = []
    monkeypatch.setattr(
        "marjoramford.opaque_flows.packet_daemons.log_event",
        lambda _logger, _event, **fields: logged.append(fields),
    )

    def run(*results):
        remaining = iter(results)
        vm = PacketVm(SETTINGS, None, lambda settings, balancer: None, lambda: next(remaining))
        for _ in results:
            vm._reload()
        return vm, logged[-1]

    return run


def changed(**settings):
    return Ok(msgspec.structs.replace(SETTINGS, **settings))


def test_seeds_and_stop_are_reported_as_applied(reload_with):
    stop = StopSettings(quiet_seconds=1.25)
    vm, logged = reload_with(changed(seeds=("127.0.0.1:7",), stop=stop))
    assert logged == {"applied": True}
    assert vm._settings.stop == stop


def test_settings_that_need_a_restart_are_not_reported_as_applied(reload_with):
    vm, logged = reload_with(changed(max_flows=7, zone="b", seeds=("127.0.0.1:7",)))
    assert logged == {"applied": False, "needs_restart": "zone max_flows"}
    assert vm._settings.max_flows == SETTINGS.max_flows


def test_a_setting_that_needs_a_restart_is_reported_until_it_is_changed_back(reload_with):
    _, logged = reload_with(changed(max_flows=7), changed(max_flows=7))
    assert logged == {"applied": False, "needs_restart": "max_flows"}
    _, logged = reload_with(changed(max_flows=7), Ok(SETTINGS))
    assert logged == {"applied": True}


def test_invalid_settings_change_nothing(reload_with):
    vm, logged = reload_with(Err(ERROR))
    assert logged == {"applied": False, "error": ERROR}
    assert vm._settings == SETTINGS
