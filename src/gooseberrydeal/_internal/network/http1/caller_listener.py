"""Listen for connections from callers."""

import asyncio
import math
from collections.abc import Iterable

from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)
from gooseberrydeal._internal.network.http1.caller_connection import CallerConnection
from gooseberrydeal._internal.network.http1.host_resources import HostResources
from gooseberrydeal._internal.network.http1.listening import listen
from gooseberrydeal._internal.network.http1.request_handling import RequestHandler
from gooseberrydeal._internal.policy.host_memory.relief import choose_for_connection


class CallerListener:
    """Own the listening socket and track the open connections.

    Beyond ``max_connections`` one is closed for each new one: first those that brought
    no request, then idle ones, the oldest first, then those that do not progress. If
    there is none, the new one is closed. ``error_fields`` are added to responses that
    refuse requests for lack of room.
    """

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        resources: HostResources | None = None,
        max_connections: float = math.inf,
        error_fields: Iterable[Header] = (),
    ) -> None:
        self._address = address
        self._handler = handler
        self._resources = resources or HostResources()
        self._max_connections = max_connections
        self._error_fields = tuple(error_fields)
        self._watch = AcknowledgementWatch()
        # In the order in which they last brought a request, or were opened.
        self._connections: dict[CallerConnection, None] = {}
        self._unused: dict[CallerConnection, None] = {}
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
        self._server = await listen(self._address, self._make_connection)

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

    def _opened(self, connection: CallerConnection) -> None:
        """Register a new connection, and close another one if there are too many."""
        self._connections[connection] = None
        self._unused[connection] = None
        if len(self._connections) > self._max_connections:
            self._resources.count_limit("connections")
            (self._choose_closed(connection) or connection).shed(lingers=False)

    def _head_received(self, connection: CallerConnection) -> None:
        """Note that the connection brought a request."""
        self._unused.pop(connection, None)
        if self._connections.pop(connection, self) is None:
            self._connections[connection] = None

    def _closed(self, connection: CallerConnection) -> None:
        """Unregister a connection."""
        self._unused.pop(connection, None)
        self._connections.pop(connection, None)

    def _choose_closed(self, new: CallerConnection) -> CallerConnection | None:
        for connection in self._unused:
            if connection is not new and not connection.is_ending:
                return connection
        for connection in self._connections:
            is_unsent = connection.is_ending or connection.has_unsent
            if connection.is_idle and not is_unsent and connection is not new:
                return connection
        return choose_for_connection({item: item.load() for item in self._connections})

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(
            self._handler,
            self._opened,
            self._head_received,
            self._closed,
            self._watch,
            self._resources,
            self._error_fields,
        )
