"""Entry point of an entry VM on the platform."""

import asyncio
import os
import sys

import msgspec

from ..addresses import Address
from ..flow_settings import PacketVmSettings
from ..logs import configure_logging
from ..packet_daemons import PacketVm
from .packets import PlatformCodec
from .stores import StoreReader

SETTINGS_PATH_VARIABLE = "MARJORAMFORD_BOOT"


def read_settings() -> PacketVmSettings:
    """Reads the settings file, which the platform fills in from `deploy/entry-vm.json`."""
    with open(os.environ[SETTINGS_PATH_VARIABLE], "rb") as settings_file:
        return msgspec.json.decode(settings_file.read(), type=PacketVmSettings)


def main() -> None:
    """Serves until the planned stop is complete."""
    try:
        settings = read_settings()
    except (KeyError, OSError, msgspec.MsgspecError) as error:
        sys.exit(f"settings: {error!r}")
    configure_logging("json", settings.log_level, sys.stdout.fileno())
    codec = PlatformCodec(Address.parse(settings.packet_address).port)
    asyncio.run(PacketVm(settings, codec, StoreReader, read_settings).run())


if __name__ == "__main__":
    main()
