"""Listen for connections from callers."""

import asyncio

from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)
from gooseberrydeal._internal.network.http1.caller_connection import CallerConnection
from gooseberrydeal._internal.network.http1.request_handling import RequestHandler
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

_ACCEPT_BACKLOG = 512


class CallerListener:
    """Own the listening socket and track the open connections."""

    def __init__(self, address: str, handler: RequestHandler) -> None:
        self._address = address
        self._handler = handler
        self._watch = AcknowledgementWatch()
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def open_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request or unsent bytes of a response."""
        return sum(
            not connection.is_idle or connection.has_unsent
            for connection in self._connections
        )

    @property
    def bound_address(self) -> str:
        """Return the address of the listening socket as ``IP:port``.

        The listener must have been started.
        """
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start listening.

        Raises ``OSError`` if the address can't be bound and ``ValueError`` if it is not
        of the form ``IP:port``.
        """
        host, port = split_ip_and_port(self._address, any_port=True)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            host,
            port,
            backlog=_ACCEPT_BACKLOG,
            reuse_address=True,
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close all connections that are not receiving or serving a request."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def abort(self) -> None:
        """Close the listening socket and all connections at once."""
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort_connection()

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(
            self._handler,
            self._connections.add,
            self._connections.discard,
            self._watch,
        )
