"""Carries reports of requests in progress between entry VMs, one datagram each.

A lost report is not repeated: the next one replaces it.
"""

import asyncio
import logging
import socket
import time

import msgspec

from ..shared.addresses import Address
from ..shared.logs import LogEvent, log_event
from .flow_balancers import FlowBalancer
from .flow_settings import PacketVmSettings
from .peer_groups import PeerGroup
from .peer_loads import LoadReport, choose_receivers

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 4096
MAX_BATCH_DATAGRAMS = 32
# While no report is due, it is asked again after this time.
IDLE_SECONDS = 0.1


class LoadExchange:
    """Sends the reports of one entry VM and receives those of others.

    Args:
        settings: settings of this entry VM; all entry VMs receive at the same port.
        balancer: makes the reports, and uses those of others.
        group: knows the other entry VMs.
    """

    def __init__(self, settings: PacketVmSettings, balancer: FlowBalancer, group: PeerGroup):
        self._settings = settings
        self._balancer = balancer
        self._group = group
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        host = Address.parse(settings.control_address).host
        self._socket.bind((host, settings.load_port))

    async def run(self) -> None:
        """Reports in a loop until cancelled.

        The receivers take turns, so that they get the newest counts at different times: entry VMs
        that learn of free slots at the same moment would all use them.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._receive)
        try:
            while True:
                await asyncio.sleep(self._report())
        finally:
            loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _report(self) -> float:
        """Sends the next report if one is due; returns the seconds until the one after it."""
        own = self._group.entry_vms.own
        report = self._balancer.admission.make_load_report(own.incarnation, time.monotonic())
        if report is None:
            return IDLE_SECONDS
        addresses = {vm.name: vm.control_address for vm in self._group.entry_vms.active()}
        load_reports = self._settings.load_reports
        receivers = choose_receivers(own.name, addresses, load_reports.receivers)
        if not receivers:
            return IDLE_SECONDS
        receiver = addresses[receivers[report.sequence % len(receivers)]]
        self._send(msgspec.msgpack.encode(report), receiver.host)
        return load_reports.interval_seconds / len(receivers)

    def _send(self, payload: bytes, host: str) -> None:
        try:
            self._socket.sendto(payload, (host, self._settings.load_port))
            self._balancer.counters["load_reports_sent"] += 1
        except OSError as error:
            self._balancer.counters["send_failed"] += 1
            logger.debug("sending a load report to %s failed: %r", host, error)

    def _receive(self) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                payload, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                logger.debug("receiving a load report failed: %r", error)
                return
            self.handle(payload, sender[0])

    def handle(self, payload: bytes, host: str) -> bool:
        """Uses a report that came from a host; returns whether it was accepted."""
        try:
            report = msgspec.msgpack.decode(payload, type=LoadReport)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            self._balancer.counters["load_reports_rejected"] += 1
            log_event(logger, LogEvent.CONTROL_BODY_REJECTED, reason=str(error))
            return False
        sender = self._find_sender(host, report.incarnation)
        if sender is None:
            # Usually one of the two has just started.
            self._balancer.counters["load_reports_rejected"] += 1
            logger.debug("load report of an unknown sender at %s", host)
            return False
        return self._balancer.admission.peer_loads.record(sender, report, time.monotonic())

    def _find_sender(self, host: str, incarnation: int) -> str | None:
        """Returns the name of the member at a host, or None."""
        for vm in self._group.entry_vms.reachable():
            if (vm.control_address.host, vm.incarnation) == (host, incarnation):
                return vm.name
        return None
