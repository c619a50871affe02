"""Pool connections to one backend server."""

import asyncio
import logging
import math
from collections.abc import Callable, Collection
from functools import partial
from typing import Final

from gooseberrydeal._internal.exceptions import (
    ConnectionLimitError,
    ServerNotListeningError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.http1.server_process import ServerProcess
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

logger = logging.getLogger(__name__)

# Long enough for many round trips between failure domains, but shorter than the
# retransmission timeout of a lost SYN: it is quicker to try another server.
_CONNECT_TIMEOUT_SECONDS: Final = 0.4


class ConnectionPool:
    """Reuse idle connections, the last used one first; open others up to a limit.

    ``on_unsolicited`` is called when the server sends bytes on an idle connection.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        on_unsolicited: Callable[[], None] = lambda: None,
    ) -> None:
        self._address = address
        self._on_unsolicited = on_unsolicited
        self._max_connections = max_connections
        self._idle: list[ServerConnection] = []
        self._in_use = 0
        self._is_retired = False
        self._process = ServerProcess()
        self._opened_at = -math.inf
        self._failed_at = -math.inf

    @property
    def heard_at(self) -> float:
        """Return when the server was last heard of, on the loop's clock in seconds.

        That is minus infinity if it was not since it started.
        """
        return self._process.heard_at

    @property
    def opened_at(self) -> float:
        """Return when a connection was last opened, on the loop's clock in seconds.

        That is minus infinity if none was.
        """
        return self._opened_at

    @property
    def failed_at(self) -> float:
        """Return when the last attempt to open a connection began that failed.

        That is on the loop's clock in seconds, minus infinity if none failed.
        """
        return self._failed_at

    @property
    def is_retired(self) -> bool:
        """Return whether requests must no longer be sent to this address."""
        return self._is_retired

    @property
    def has_idle(self) -> bool:
        """Return whether a request can be sent without opening a connection."""
        return any(connection.is_reusable() for connection in self._idle)

    def set_limit(self, max_connections: int) -> None:
        """Change the maximum number of connections, and close idle ones beyond it."""
        self._max_connections = max_connections
        self._close_excess()

    async def acquire(
        self, avoided: Collection[ServerConnection] = ()
    ) -> ServerConnection:
        """Return an idle connection that is not to be avoided, or a new one.

        Raises :class:`ConnectionLimitError` if all connections are in use and
        :class:`ServerUnreachableError` if no connection can be made; nothing has been
        sent to the server then.
        """
        kept: list[ServerConnection] = []
        found: ServerConnection | None = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_reusable():
                connection.abort()
            elif connection in avoided:
                kept.append(connection)
            else:
                found = connection
        self._idle += reversed(kept)
        if found is None and kept:
            # A connection that is to be avoided gives way to the new one.
            self._close_excess(spare=1)
        if found is not None:
            self._in_use += 1
            return found
        if self._in_use >= self._max_connections:
            raise ConnectionLimitError(
                f"all {self._max_connections} connections to {self._address} are in use"
            )
        self._in_use += 1
        try:
            return await self._open()
        except BaseException:
            self._in_use -= 1
            raise

    async def probe(self) -> None:
        """Check that the server can be reached by opening a connection.

        It becomes an idle connection of the pool. Raises
        :class:`ServerUnreachableError` if it can't be made.
        """
        self._idle.append(await self._open())
        self._close_excess()

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool after its response has ended."""
        self._in_use -= 1
        if connection.is_reusable():
            self._idle.append(connection)
            self._close_excess()
        else:
            connection.abort()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection whose response was abandoned."""
        self._in_use -= 1
        connection.abort()

    def server_restarted(self, now: float) -> None:
        """Close the idle connections, which lead to a process that has ended."""
        self.close()
        self._process.reset(now)

    def retire(self) -> None:
        """Close idle connections now and the others on release; open no new ones."""
        self._max_connections = 0
        self._is_retired = True
        self.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _close_excess(self, spare: int = 0) -> None:
        """Close the idle connections unused for longest, down to ``spare`` below."""
        excess = self._in_use + len(self._idle) + spare - self._max_connections
        for connection in self._idle[: max(0, excess)]:
            connection.abort()
        del self._idle[: max(0, excess)]

    async def _open(self) -> ServerConnection:
        host, port = split_ip_and_port(self._address)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    partial(ServerConnection, self._on_unsolicited, self._process),
                    host,
                    port,
                )
        except ConnectionRefusedError as error:
            self._failed_at = began_at
            raise ServerNotListeningError(
                f"cannot connect to {self._address}: {error}"
            ) from error
        except (OSError, TimeoutError) as error:
            self._failed_at = began_at
            raise ServerUnreachableError(
                f"cannot connect to {self._address}: {error or 'timeout'}"
            ) from error
        self._opened_at = loop.time()
        return connection
