"""Stand between a host and a server, and cut the path between them."""

import asyncio
import math
import socket
from collections.abc import Callable
from enum import Enum

from gooseberrydeal._internal.lab.free_port import free_address
from tests.lib.scripted_server import reset_connection

_CHUNK_BYTES = 16_384
# With a backlog of 0 the kernel completes one connection and drops further requests.
_FILLER_CONNECTIONS = 2


def _unchanged(data: bytes) -> bytes:
    return data


class LinkState(Enum):
    """List what becomes of a link's connections."""

    OPEN = "open"
    SILENT = "silent"
    RESET_AND_SILENT = "reset, new ones hang"
    RESET_AND_REFUSED = "reset, new ones refused"
    NEW_REFUSED = "live, new ones refused"


class LinkProxy:
    """Forward connections to one server, as long as the link is open.

    All of them share ``bytes_per_second``. What the server sends is passed through
    ``change``.
    """

    def __init__(
        self,
        target: str,
        bytes_per_second: float = math.inf,
        change: Callable[[bytes], bytes] = _unchanged,
    ) -> None:
        self._target = target
        self._change = change
        self._bytes_per_second = bytes_per_second
        self._is_free = asyncio.Lock()
        self.address = free_address()
        self.state = LinkState.OPEN
        self._listener: asyncio.Server | None = None
        self._full: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_flowing = asyncio.Event()
        self._is_flowing.set()

    async def start(self) -> None:
        await self._listen()

    async def stop(self) -> None:
        """Reset all connections, and wait until their tasks have ended."""
        self._stop_listening()
        self._reset_connections()
        self._is_flowing.set()
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def cut(self, state: LinkState) -> None:
        """Cut the link in one of the ways, or heal it."""
        self.state = state
        self._stop_listening()
        if state is LinkState.OPEN:
            self._is_flowing.set()
            await self._listen()
            return
        if state is LinkState.SILENT:
            self._is_flowing.clear()
        elif state is not LinkState.NEW_REFUSED:
            self._reset_connections()
        if state in (LinkState.SILENT, LinkState.RESET_AND_SILENT):
            self._listen_without_accepting()

    async def _listen(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(self._serve, host, int(port))

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for item in self._full:
            item.close()
        self._full.clear()

    def _listen_without_accepting(self) -> None:
        host, port = self.address.rsplit(":", 1)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self._full.append(listener)
        for _ in range(_FILLER_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._full.append(filler)

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            server = await asyncio.open_connection(*self._target.rsplit(":", 1))
        except OSError:
            reset_connection(writer)
            return
        self._writers.add(server[1])
        try:
            await asyncio.gather(
                self._pump(reader, server[1], _unchanged),
                self._pump(server[0], writer, self._change),
            )
        finally:
            for item in (writer, server[1]):
                self._writers.discard(item)
                item.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        change: Callable[[bytes], bytes],
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                async with self._is_free:
                    await asyncio.sleep(len(data) / self._bytes_per_second)
                await self._is_flowing.wait()
                writer.write(change(data))
                await writer.drain()
            await self._is_flowing.wait()
            writer.close()
        except ConnectionError:
            if writer in self._writers:
                reset_connection(writer)
