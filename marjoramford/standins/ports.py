"""Free ports on loopback, for processes that bind them later."""

import random
import socket

HOST = "127.0.0.1"
# From 32,768 on, the kernel assigns ports to outgoing connections and to sockets bound to port 0.
# Such a port may be taken between its choice and the start of the process that is to bind it.
PORTS = range(10_000, 32_768)
# A port is reserved while a socket is bound to it at this address, where nothing else is bound.
RESERVATION_HOST = "127.255.255.254"

_reservations: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Returns distinct ports that are free for both UDP and TCP on the loopback interface.

    No other call returns them, in this or another process, until this process ends.
    """
    ports: list[int] = []
    start = random.randrange(len(PORTS))
    for offset in range(len(PORTS)):
        if len(ports) == count:
            return ports
        port = PORTS[(start + offset) % len(PORTS)]
        reservation = _bind(RESERVATION_HOST, port, socket.SOCK_DGRAM)
        if reservation is None:
            continue
        probes = [_bind(HOST, port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]
        for probe in probes:
            if probe is not None:
                probe.close()
        if None in probes:
            reservation.close()
            continue
        _reservations.append(reservation)
        ports.append(port)
    raise OSError(f"expected {count} free ports in {PORTS}, found {len(ports)}")


def _bind(host: str, port: int, kind: socket.SocketKind) -> socket.socket | None:
    """Returns a socket that is bound to a port; None if the port is in use."""
    bound = socket.socket(socket.AF_INET, kind)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        return None
    return bound
