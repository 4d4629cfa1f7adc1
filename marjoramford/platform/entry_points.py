"""Starts an entry VM on the platform."""

import gc
import os
import signal
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

from result import Result

from ..opaque_flows.early_starts import EarlyClient, EarlyStart, ReloadRequest
from ..opaque_flows.flow_balancers import FlowBalancer
from ..opaque_flows.flow_settings import PacketVmSettings, read_packet_settings
from ..opaque_flows.packet_sockets import PacketSocket
from ..shared.addresses import Address
from ..shared.errors import Step, StepError
from ..shared.logs import configure_logging
from .packets import PlatformCodec
from .stores import StoreReader

SETTINGS_PATH_VARIABLE = "MARJORAMFORD_BOOT"
EXIT_FAILED = 1
# What `PacketVm` needs beyond the early start, in steps: packets are handled between them.
LATER_MODULES = (
    "inspect",
    "concurrent.futures",
    "subprocess",
    "asyncio",
    ".http_services",
    ".peer_groups",
    ".packet_daemons",
)


def read_settings() -> Result[PacketVmSettings, StepError]:
    """Reads the settings file, which the platform renders from `deploy/entry-vm.json`."""
    return read_packet_settings(os.environ[SETTINGS_PATH_VARIABLE])


@contextmanager
def hide_tls() -> Iterator[None]:
    """Hides `ssl` from imports, so that asyncio is imported sooner, without TLS.

    Afterwards `ssl` can be imported: `prometheus_client` needs it once metrics are scraped.
    """
    sys.modules["ssl"] = None
    try:
        yield
    finally:
        del sys.modules["ssl"]


def run_entry_vm() -> int:
    """Serves until the graceful shutdown is complete; returns the exit status."""
    reload_request = ReloadRequest()
    signal.signal(signal.SIGHUP, reload_request.record)
    loaded = read_settings()
    if loaded.is_err():
        print(loaded.err_value, file=sys.stderr)
        return EXIT_FAILED
    settings = loaded.ok_value
    configure_logging("json", settings.log_level, sys.stdout.fileno())
    address = Address.parse(settings.packet_address)
    codec = PlatformCodec(address.port)
    balancer = FlowBalancer(settings, Random(), time.monotonic())
    packets = PacketSocket(balancer, codec, address)
    client = EarlyClient(Address.parse(settings.platform), Step.READ_PLATFORM)
    reader = StoreReader(settings, balancer, client)
    early = EarlyStart(settings, balancer, packets, reader, reload_request)
    with hide_tls():
        early.run(LATER_MODULES)
    client.close()
    # What has been imported stays for good, so later collections need not visit it.
    gc.freeze()
    gc.enable()
    reader.use_asyncio()
    return _serve(settings, codec, early)


def _serve(settings: PacketVmSettings, codec: PlatformCodec, early: EarlyStart) -> int:
    # Imported by the early start.
    import asyncio

    from ..opaque_flows.packet_daemons import PacketVm

    vm = PacketVm(settings, codec, lambda *_: early.reader, read_settings, early)
    return 0 if asyncio.run(vm.run()) else EXIT_FAILED
