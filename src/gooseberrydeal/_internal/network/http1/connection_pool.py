"""Keep connections to one backend server."""

import asyncio
import logging
from typing import Final

from gooseberrydeal._internal.exceptions import ServerUnreachableError
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

logger = logging.getLogger(__name__)

# Many round trips between failure domains, but less than a lost opening packet takes
# to be sent again: another server is tried sooner.
_CONNECT_SECONDS: Final = 0.4


class ConnectionPool:
    """Reuse the connection that was used last, and open others up to a limit."""

    def __init__(self, address: str, most: int) -> None:
        self._address = address
        self._most = most
        self._idle: list[ServerConnection] = []
        self._in_use = 0

    def set_limit(self, most: int) -> None:
        """Change how many connections may be open."""
        self._most = most

    async def acquire(self) -> ServerConnection:
        """Return a connection, or raise :class:`ServerUnreachableError`.

        Nothing has been sent on it if this fails.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable():
                self._in_use += 1
                return connection
            connection.abort()
        if self._in_use >= self._most:
            raise ServerUnreachableError(
                f"all {self._most} connections to {self._address} are in use"
            )
        self._in_use += 1
        try:
            return await self._open()
        except BaseException:
            self._in_use -= 1
            raise

    async def probe(self) -> None:
        """Open a connection and keep it, or raise :class:`ServerUnreachableError`."""
        self._idle.append(await self._open())

    def release(self, connection: ServerConnection) -> None:
        """Take a connection back after its response has ended."""
        self._in_use -= 1
        if connection.is_reusable() and self._in_use < self._most:
            self._idle.append(connection)
        else:
            connection.abort()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection whose response was given up."""
        self._in_use -= 1
        connection.abort()

    def retire(self) -> None:
        """Close each connection as soon as it is idle, and open no others."""
        self._most = 0
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _open(self) -> ServerConnection:
        host, port = split_ip_and_port(self._address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    ServerConnection, host, port
                )
        except (OSError, TimeoutError) as error:
            raise ServerUnreachableError(
                f"no connection to {self._address}: {error or 'timeout'}"
            ) from error
        return connection
