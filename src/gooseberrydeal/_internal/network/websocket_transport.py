"""Exchange messages between processes over websockets."""

import logging
import ssl
from collections.abc import AsyncIterator
from typing import Any, Final

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from gooseberrydeal._internal.network.codec import MAX_MESSAGE_BYTES
from gooseberrydeal._internal.network.interfaces.peer_transport import SocketHandler
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port
from gooseberrydeal._internal.utils.tls import TlsContexts

logger = logging.getLogger(__name__)

_WEBSOCKET_OPTIONS: Final[dict[str, Any]] = {
    "compression": None,
    "max_size": MAX_MESSAGE_BYTES,
    # PeerConnection sends its own pings.
    "ping_interval": None,
}


class WebsocketSocket:
    """Send and receive messages on one websocket connection."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def send(self, data: bytes) -> None:
        """Send one message; raise ``OSError`` if the connection is closed."""
        try:
            await self._connection.send(data)
        except ConnectionClosed as error:
            raise ConnectionResetError("websocket connection is closed") from error

    async def receive(self) -> AsyncIterator[bytes]:
        """Yield messages until the connection is lost or closed."""
        try:
            async for data in self._connection:
                yield data if isinstance(data, bytes) else data.encode()
        except ConnectionClosed:
            return

    async def close(self) -> None:
        """Close the connection with a closing handshake."""
        await self._connection.close()

    def abort(self) -> None:
        """Close the connection without waiting for the peer."""
        self._connection.transport.abort()


class WebsocketListeningSocket:
    """Own a listening websocket server."""

    def __init__(self, server: Server) -> None:
        self._server = server

    async def close(self) -> None:
        """Stop accepting connections and close the accepted ones."""
        self._server.close(close_connections=True)
        await self._server.wait_closed()


class WebsocketTransport:
    """Connect to and accept peers, with mutual TLS if TLS contexts are given."""

    def __init__(self, tls: TlsContexts | None = None) -> None:
        self._tls = tls

    async def connect(self, address: str) -> WebsocketSocket:
        """Connect to ``IP:port``; raise ``OSError`` if that fails."""
        scheme = "ws" if self._tls is None else "wss"
        try:
            connection = await connect(
                f"{scheme}://{address}/",
                open_timeout=None,
                proxy=None,
                ssl=self._tls_context(is_server=False),
                **_WEBSOCKET_OPTIONS,
            )
        except WebSocketException as error:
            raise ConnectionResetError(
                f"websocket handshake with {address} failed"
            ) from error
        return WebsocketSocket(connection)

    async def listen(
        self, address: str, on_socket: SocketHandler
    ) -> WebsocketListeningSocket:
        """Accept connections on ``IP:port``; raise ``OSError`` if that fails."""

        async def accept(connection: ServerConnection) -> None:
            # Reloads changed TLS files, which then apply to the next connection.
            self._tls_context(is_server=True)
            await on_socket(WebsocketSocket(connection))

        host, port = split_ip_and_port(address)
        context = self._tls_context(is_server=True)
        server = await serve(accept, host, port, ssl=context, **_WEBSOCKET_OPTIONS)
        return WebsocketListeningSocket(server)

    def _tls_context(self, *, is_server: bool) -> ssl.SSLContext | None:
        """Reload changed TLS files and return the context, or ``None`` without TLS.

        If the files cannot be read, the context keeps the certificates loaded before.
        """
        if self._tls is None:
            return None
        try:
            self._tls.refresh()
        except OSError:
            logger.exception(
                "could not reload the TLS files; using the certificates loaded before"
            )
        return self._tls.server if is_server else self._tls.client
