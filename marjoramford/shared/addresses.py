"""Socket addresses."""

import msgspec


class Address(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An IP address and port, on the wire and for sockets."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses ``HOST:PORT``.

        Raises:
            ValueError: the text has no port or the port is not a number from 1 to 65535.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"expected HOST:PORT, got {text!r}")
        return cls(host, int(port))
