"""The UDP socket of an entry VM for opaque flows."""

import logging
import socket
import time

from ..shared.addresses import Address
from ..shared.logs import LogEvent, log_event
from .flow_balancers import FlowBalancer
from .packets import Forward, PacketCodec, ResetFlow

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 2048
# Datagrams read in one go before the event loop runs other tasks.
MAX_BATCH_DATAGRAMS = 64
RECEIVE_BUFFER_BYTES = 1_048_576


class PacketSocket:
    """The UDP socket for datagrams from the fabric and to callers and backend servers."""

    def __init__(self, balancer: FlowBalancer, codec: PacketCodec, address: Address):
        self._balancer = balancer
        self._codec = codec
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind((address.host, address.port))
        self.last_packet_at = time.monotonic()

    def fileno(self) -> int:
        """Returns the file descriptor, for event loops."""
        return self._socket.fileno()

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def run_tick(self, now: float) -> None:
        """Advances the balancer to `now` and sends the resets that it returns."""
        for reset in self._balancer.tick(now):
            self._send(*self._codec.encode_reset(reset.flow, reset.acknowledged))

    def receive(self) -> None:
        """Handles the datagrams that have arrived, up to `MAX_BATCH_DATAGRAMS`."""
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._balancer.counters["receive_failed"] += 1
                logger.debug("receiving a datagram failed: %r", error)
                return
            self._handle_datagram(datagram)

    def _handle_datagram(self, datagram: bytes) -> None:
        header = self._codec.decode(datagram)
        if header is None:
            self._balancer.counters["datagram_malformed"] += 1
            log_event(logger, LogEvent.DATAGRAM_DROPPED, bytes=len(datagram))
            return
        now = time.monotonic()
        self.last_packet_at = now
        match self._balancer.handle_packet(header, now):
            case Forward() as forward:
                payload = self._codec.encode_forwarded(datagram, forward)
                self._send(payload, forward.server.data_address)
            case ResetFlow():
                self._send(*self._codec.encode_reset(header.flow, header.acknowledged))

    def _send(self, payload: bytes, address: Address) -> None:
        try:
            self._socket.sendto(payload, (address.host, address.port))
        except OSError as error:
            self._balancer.counters["send_failed"] += 1
            logger.debug("sending a datagram to %s failed: %r", address, error)
