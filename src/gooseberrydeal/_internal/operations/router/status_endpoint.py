"""Serve a status, such as readiness or metrics, over HTTP."""

import asyncio
import logging
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import httptools

from gooseberrydeal._internal.network.http1.framing import (
    encode_response_head,
    reason_phrase,
)
from gooseberrydeal._internal.network.http1.listening import listen

logger = logging.getLogger(__name__)

StatusSource = Callable[[], tuple[HTTPStatus, bytes]]

# Load balancers and scrapers send heads of a few hundred bytes and no body.
_MAX_REQUEST_BYTES: Final = 16_384
# A scraper reads one response before it asks for the next.
_MAX_UNREAD_BYTES: Final = 262_144
# One read takes this much; all connections share the buffer, since its content is
# handled before the next read.
_READ_BUFFER: Final = memoryview(bytearray(4_096))


class _StatusConnection(asyncio.BufferedProtocol):
    def __init__(self, endpoint: "StatusEndpoint") -> None:
        self._endpoint = endpoint
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._endpoint.closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self._request_bytes += nbytes
        try:
            self._parser.feed_data(_READ_BUFFER[:nbytes])
        except httptools.HttpParserError as error:
            logger.info(
                "malformed request to a status endpoint, closing the connection: %s",
                error,
            )
            self.close()
        if self._request_bytes > _MAX_REQUEST_BYTES:
            self._endpoint.count_limit("status_request")
            self.close()

    def on_message_complete(self) -> None:
        self._request_bytes = 0
        self._endpoint.used(self)
        status, body = self._endpoint.source()
        fields = ((b"Content-Type", b"text/plain; charset=utf-8"),) if body else ()
        head = encode_response_head(status, reason_phrase(status), fields, len(body))
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size() > _MAX_UNREAD_BYTES:
            self._endpoint.count_limit("status_unread")
            self._transport.abort()
            return
        self._transport.write(head + body)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class StatusEndpoint:
    """HTTP server that answers every request with the current status.

    ``source`` returns the status code and body for each response. Beyond
    ``max_connections`` the one that has been without a request for longest is closed.
    ``on_limit`` is called with the name of a limit that a connection meets.
    """

    def __init__(
        self,
        address: str,
        source: StatusSource,
        max_connections: float = math.inf,
        on_limit: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._address = address
        self._source = source
        self._max_connections = max_connections
        self._on_limit = on_limit
        # In the order in which they last brought a request, or were opened.
        self._connections: dict[_StatusConnection, None] = {}
        self._server: asyncio.Server | None = None

    @property
    def source(self) -> StatusSource:
        """Return what returns the current status."""
        return self._source

    async def start(self) -> None:
        """Start listening; raise ``OSError`` if the address cannot be bound."""
        self._server = await listen(self._address, lambda: _StatusConnection(self))

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def opened(self, connection: _StatusConnection) -> None:
        """Register a new connection, and close another one if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            self.count_limit("status_connections")
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.close()

    def used(self, connection: _StatusConnection) -> None:
        """Note that a connection brought a request."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def closed(self, connection: _StatusConnection) -> None:
        """Unregister a connection."""
        self._connections.pop(connection, None)

    def count_limit(self, name: str) -> None:
        """Count a connection that a limit affects."""
        self._on_limit(name)
