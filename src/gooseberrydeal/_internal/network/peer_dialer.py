"""Maintain outgoing connections to peers."""

import asyncio
import contextlib
import logging
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError, PeerUnreachableError
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.network.interfaces.peer_transport import PeerTransport
from gooseberrydeal._internal.network.peer_connection import (
    MessageHandler,
    PeerConnection,
)
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_CONNECT_TIMEOUT_SECONDS: Final = 1.0


class PeerDialer:
    """Own the outgoing connections of a process, one per peer address."""

    def __init__(
        self, hello: Hello, on_message: MessageHandler, transport: PeerTransport
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._transport = transport
        self._connections: dict[str, PeerConnection] = {}
        self._connect_tasks: dict[str, asyncio.Task[PeerConnection]] = {}
        self._tasks = TaskOwner()

    @property
    def connections(self) -> list[PeerConnection]:
        """Return the open connections."""
        return [item for item in self._connections.values() if item.is_open]

    def find_open(self, address: str) -> PeerConnection | None:
        """Return the open connection to an address, or ``None``."""
        connection = self._connections.get(address)
        return connection if connection is not None and connection.is_open else None

    async def connect(self, address: str) -> PeerConnection:
        """Return an open connection to an address, establishing it if needed.

        Concurrent calls share one attempt. Raises :class:`PeerUnreachableError` if
        it fails.
        """
        open_connection = self.find_open(address)
        if open_connection is not None:
            return open_connection
        connect_task = self._connect_tasks.get(address)
        if connect_task is None:
            connect_task = self._tasks.start(
                self._connect(address), f"dial {address}", (PeerUnreachableError,)
            )
            self._connect_tasks[address] = connect_task
            connect_task.add_done_callback(
                lambda _: self._connect_tasks.pop(address, None)
            )
        return await asyncio.shield(connect_task)

    async def drop(self, address: str) -> None:
        """Close the connection to an address, if there is one."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            await connection.close()

    async def stop(self) -> None:
        """Close all connections concurrently, as each may wait for a lost peer."""
        connections = list(self._connections.values())
        await asyncio.gather(*(connection.close() for connection in connections))
        await self._tasks.stop()

    async def _connect(self, address: str) -> PeerConnection:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                socket = await self._transport.connect(address)
        except (OSError, TimeoutError) as error:
            raise PeerUnreachableError(
                f"could not connect to peer {address}"
            ) from error
        connection = PeerConnection(socket, self._on_message)
        try:
            await connection.send(self._hello)
        except PeerLostError as error:
            raise PeerUnreachableError(
                f"connection to peer {address} was lost before the hello message"
            ) from error
        self._connections[address] = connection
        self._tasks.start(self._run(address, connection), f"peer {address}")
        return connection

    async def _run(self, address: str, connection: PeerConnection) -> None:
        try:
            await connection.run()
        finally:
            if self._connections.get(address) is connection:
                with contextlib.suppress(KeyError):
                    del self._connections[address]
