"""Accept connections from peers."""

import contextlib
import ssl

from websockets.asyncio.server import Server, ServerConnection, serve

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.network.codec import MAX_MESSAGE_BYTES
from gooseberrydeal._internal.network.peer_connection import (
    MessageHandler,
    PeerConnection,
)


class PeerListener:
    """Own the listening socket and the accepted connections."""

    def __init__(
        self, hello: Hello, on_message: MessageHandler, tls: ssl.SSLContext | None
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._tls = tls
        self._connections: set[PeerConnection] = set()
        self._server: Server | None = None

    @property
    def connections(self) -> list[PeerConnection]:
        """Return the open connections."""
        return [item for item in self._connections if item.is_open]

    async def start(self, host: str, port: int) -> None:
        """Listen for peers."""
        self._server = await serve(
            self._serve,
            host,
            port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            ssl=self._tls,
        )

    async def stop(self) -> None:
        """Close the socket and all connections."""
        if self._server is None:
            return
        for connection in list(self._connections):
            await connection.close()
        self._server.close(close_connections=True)
        await self._server.wait_closed()

    async def _serve(self, socket: ServerConnection) -> None:
        connection = PeerConnection(socket, self._on_message)
        self._connections.add(connection)
        try:
            with contextlib.suppress(PeerLostError):
                await connection.send(self._hello)
                await connection.run()
        finally:
            self._connections.discard(connection)
