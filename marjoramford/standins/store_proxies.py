"""Fault-injecting TCP proxy between one entry VM and the metadata store."""

import asyncio
import contextlib
from typing import Literal

from ..shared.addresses import Address

LOOPBACK = "127.0.0.1"
DELAY_SECONDS = 0.3

ProxyMode = Literal["pass", "delay", "reset", "silent", "one way"]


class StoreProxy:
    """Relays the connections of an entry VM to the store, with a fault if a mode is set.

    Attributes:
        mode: `pass` relays normally; `delay` holds each chunk for `DELAY_SECONDS`; `reset` aborts
            all connections; `silent` discards all bytes; `one way` those from the store.
    """

    def __init__(self, store: Address):
        self._store = store
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.mode: ProxyMode = "pass"

    async def start(self) -> Address:
        """Listens on a free port and returns the address."""
        self._server = await asyncio.start_server(self._handle_connection, LOOPBACK, 0)
        return Address(LOOPBACK, self._server.sockets[0].getsockname()[1])

    def set_mode(self, mode: ProxyMode) -> None:
        """Sets the mode; `reset` also aborts the connections that are open."""
        self.mode = mode
        if mode == "reset":
            for writer in self._writers:
                writer.transport.abort()

    def stop(self) -> None:
        """Aborts all connections and stops listening."""
        self.set_mode("reset")
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(
                self._store.host, self._store.port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, store_writer}
        self._writers |= writers
        await asyncio.gather(
            self._relay(reader, store_writer, from_store=False),
            self._relay(store_reader, writer, from_store=True),
        )
        self._writers -= writers

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, from_store: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65_536):
                if self.mode == "silent" or (self.mode == "one way" and from_store):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()
