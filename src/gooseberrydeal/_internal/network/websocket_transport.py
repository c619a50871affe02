"""Carry messages between processes over websockets."""

import logging
import ssl
from collections.abc import AsyncIterator
from typing import Any, Final

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from gooseberrydeal._internal.network.codec import MAX_MESSAGE_BYTES
from gooseberrydeal._internal.network.interfaces.peer_transport import OnSocket
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port
from gooseberrydeal._internal.utils.tls import TlsContexts

logger = logging.getLogger(__name__)

_OPTIONS: Final[dict[str, Any]] = {
    "compression": None,
    "max_size": MAX_MESSAGE_BYTES,
    "ping_interval": None,
}


class WebsocketSocket:
    """Own one websocket."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    async def send(self, data: bytes) -> None:
        """Send one message."""
        try:
            await self._connection.send(data)
        except ConnectionClosed as error:
            raise ConnectionResetError("the websocket is closed") from error

    async def receive(self) -> AsyncIterator[bytes]:
        """Yield messages until the socket is lost or closed."""
        try:
            async for data in self._connection:
                yield data if isinstance(data, bytes) else data.encode()
        except ConnectionClosed:
            return

    async def close(self) -> None:
        """Close in an orderly way."""
        await self._connection.close()

    def abort(self) -> None:
        """Close without waiting for the other side."""
        self._connection.transport.abort()


class WebsocketListening:
    """Own one listening socket."""

    def __init__(self, server: Server) -> None:
        self._server = server

    async def close(self) -> None:
        """Stop accepting, and close what was accepted."""
        self._server.close(close_connections=True)
        await self._server.wait_closed()


class WebsocketTransport:
    """Connect and listen, with mutual TLS where contexts are given."""

    def __init__(self, tls: TlsContexts | None = None) -> None:
        self._tls = tls

    async def connect(self, address: str) -> WebsocketSocket:
        """Connect to ``IP:port``, or raise ``OSError``."""
        scheme = "ws" if self._tls is None else "wss"
        try:
            connection = await connect(
                f"{scheme}://{address}/",
                open_timeout=None,
                proxy=None,
                ssl=self._context(is_server=False),
                **_OPTIONS,
            )
        except WebSocketException as error:
            raise ConnectionResetError("the peer is no websocket server") from error
        return WebsocketSocket(connection)

    async def listen(self, address: str, on_socket: OnSocket) -> WebsocketListening:
        """Accept sockets on ``IP:port``, or raise ``OSError``."""

        async def accept(connection: ServerConnection) -> None:
            self._context(is_server=True)
            await on_socket(WebsocketSocket(connection))

        host, port = split_ip_and_port(address)
        context = self._context(is_server=True)
        server = await serve(accept, host, port, ssl=context, **_OPTIONS)
        return WebsocketListening(server)

    def _context(self, *, is_server: bool) -> ssl.SSLContext | None:
        """Return an up-to-date context; files that can't be read leave the old one."""
        if self._tls is None:
            return None
        try:
            self._tls.refresh()
        except OSError:
            logger.exception("the TLS files could not be read again")
        return self._tls.server if is_server else self._tls.client
