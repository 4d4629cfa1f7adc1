"""Labels: 32-bit values in a flow's packets that identify the flow's backend server.

A label is a hash of the server's name and incarnation, so every entry VM that knows the server can
resolve it, including one that has just started.
"""

from collections.abc import Iterable

import xxhash

from ..shared.backend_servers import BackendServer

NO_LABEL = 0
LABEL_MASK = 0xFFFFFFFF


def derive_label(name: str, incarnation: int) -> int:
    """Returns the label of one incarnation of a server; never `NO_LABEL`."""
    digest = xxhash.xxh3_64_intdigest(f"{name}/{incarnation}".encode())
    return digest & LABEL_MASK or 1


class LabelIndex:
    """Maps labels to servers.

    If the labels of two servers collide, the server added first keeps the label. The other accepts
    no new flows, because the packets of the two could not be told apart.
    """

    def __init__(self) -> None:
        self._servers: dict[int, BackendServer] = {}

    def find(self, label: int) -> BackendServer | None:
        """Returns the server with a label, or None."""
        return self._servers.get(label)

    def servers(self) -> Iterable[BackendServer]:
        """Returns all servers that have a label, also those that have left the list."""
        return self._servers.values()

    def add(self, server: BackendServer) -> bool:
        """Adds a server; returns False if another server holds the same label."""
        label = derive_label(server.name, server.incarnation)
        holder = self._servers.setdefault(label, server)
        if holder.name == server.name and holder.incarnation == server.incarnation:
            self._servers[label] = server
            return True
        return False

    def remove(self, server: BackendServer) -> None:
        """Removes a server unless another one holds its label."""
        label = derive_label(server.name, server.incarnation)
        if self._servers.get(label) is server:
            del self._servers[label]
