"""Accept connections from peers."""

import asyncio
import contextlib

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.network.interfaces.peer_transport import (
    PeerListening,
    PeerSocket,
    PeerTransport,
)
from gooseberrydeal._internal.network.peer_connection import (
    MessageHandler,
    PeerConnection,
)


class PeerListener:
    """Own the listening socket and the accepted connections."""

    def __init__(
        self, hello: Hello, on_message: MessageHandler, transport: PeerTransport
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._transport = transport
        self._connections: set[PeerConnection] = set()
        self._listening: PeerListening | None = None

    @property
    def connections(self) -> list[PeerConnection]:
        """Return the open connections."""
        return [item for item in self._connections if item.is_open]

    async def start(self, address: str) -> None:
        """Listen for peers."""
        self._listening = await self._transport.listen(address, self._serve)

    async def stop(self) -> None:
        """Close the socket and all connections at once."""
        if self._listening is None:
            return
        open_now = list(self._connections)
        await asyncio.gather(*(connection.close() for connection in open_now))
        await self._listening.close()

    async def _serve(self, socket: PeerSocket) -> None:
        connection = PeerConnection(socket, self._on_message)
        self._connections.add(connection)
        try:
            with contextlib.suppress(PeerLostError):
                await connection.send(self._hello)
                await connection.run()
        finally:
            self._connections.discard(connection)
