"""Starts an entry VM on the platform."""

import asyncio
import os
import sys

from result import Result

from ..addresses import Address
from ..errors import StepError
from ..flow_settings import PacketVmSettings, read_packet_settings
from ..logs import configure_logging
from ..packet_daemons import PacketVm
from .packets import PlatformCodec
from .stores import StoreReader

SETTINGS_PATH_VARIABLE = "MARJORAMFORD_BOOT"
EXIT_FAILED = 1


def read_settings() -> Result[PacketVmSettings, StepError]:
    """Reads the settings file, which the platform renders from `deploy/entry-vm.json`."""
    return read_packet_settings(os.environ[SETTINGS_PATH_VARIABLE])


def run_entry_vm() -> int:
    """Serves until the graceful shutdown is complete; returns the exit status."""
    loaded = read_settings()
    if loaded.is_err():
        print(loaded.err_value, file=sys.stderr)
        return EXIT_FAILED
    settings = loaded.ok_value
    configure_logging("json", settings.log_level, sys.stdout.fileno())
    codec = PlatformCodec(Address.parse(settings.packet_address).port)
    succeeded = asyncio.run(PacketVm(settings, codec, StoreReader, read_settings).run())
    return 0 if succeeded else EXIT_FAILED
