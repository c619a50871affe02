"""Accept connections from peers."""

import asyncio
import contextlib

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.network.interfaces.peer_transport import (
    ListeningSocket,
    PeerSocket,
    PeerTransport,
)
from gooseberrydeal._internal.network.peer_connection import (
    MessageHandler,
    PeerConnection,
)


class PeerListener:
    """Own a listening socket and the connections accepted on it."""

    def __init__(
        self, hello: Hello, on_message: MessageHandler, transport: PeerTransport
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._transport = transport
        self._connections: set[PeerConnection] = set()
        self._listening_socket: ListeningSocket | None = None

    @property
    def connections(self) -> list[PeerConnection]:
        """Return the accepted connections that are open."""
        return [item for item in self._connections if item.is_open]

    async def start(self, address: str) -> None:
        """Start listening on ``IP:port``; raise ``OSError`` if that fails."""
        self._listening_socket = await self._transport.listen(address, self._serve)

    async def stop(self) -> None:
        """Close all connections concurrently, then the listening socket."""
        if self._listening_socket is None:
            return
        connections = list(self._connections)
        await asyncio.gather(*(connection.close() for connection in connections))
        await self._listening_socket.close()

    async def _serve(self, socket: PeerSocket) -> None:
        connection = PeerConnection(socket, self._on_message)
        self._connections.add(connection)
        try:
            with contextlib.suppress(PeerLostError):
                await connection.send(self._hello)
                await connection.run()
        finally:
            self._connections.discard(connection)
