"""Labels: 32 bits that a flow's packets carry and that name the flow's backend server.

A label is derived from the server's name and incarnation alone, so every entry VM that knows the
server reads it, also one that has just started.
"""

import xxhash

from .backend_servers import BackendServer

NO_LABEL = 0
LABEL_MASK = 0xFFFFFFFF


def derive_label(name: str, incarnation: int) -> int:
    """Returns the label of one incarnation of a server; never `NO_LABEL`."""
    digest = xxhash.xxh3_64_intdigest(f"{name}/{incarnation}".encode())
    return digest & LABEL_MASK or 1


class LabelIndex:
    """Finds servers by label.

    Of two servers with the same label the one known first keeps it. The other takes no new flows,
    as their packets could not be told apart.
    """

    def __init__(self) -> None:
        self._servers: dict[int, BackendServer] = {}

    def find(self, label: int) -> BackendServer | None:
        """Returns the server with a label."""
        return self._servers.get(label)

    def add(self, server: BackendServer) -> bool:
        """Enters a server; tells whether it has its label for itself."""
        label = derive_label(server.name, server.incarnation)
        holder = self._servers.setdefault(label, server)
        if holder.name == server.name and holder.incarnation == server.incarnation:
            self._servers[label] = server
            return True
        return False

    def remove(self, server: BackendServer) -> None:
        """Takes a server out."""
        label = derive_label(server.name, server.incarnation)
        if self._servers.get(label) is server:
            del self._servers[label]
