"""Serve HTTP until a request ends the server, which then starts again."""

import asyncio
import itertools
from collections.abc import Callable

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.scripted_server import ReceivedRequest, reset_connection, response

CRASH_MARK = b"crash"


class CrashingServer:
    """Answer requests with their body, and crash when one starts that has the mark.

    A crash resets all connections and closes the listening socket. The server starts
    again with a new id at the same address ``down_seconds`` later. ``on_start`` is
    called with the id at each start, ``on_end`` when the server has ended.
    """

    def __init__(
        self,
        name: str,
        down_seconds: float,
        service_seconds: float,
        on_start: Callable[["CrashingServer"], None],
        on_end: Callable[["CrashingServer"], None],
    ) -> None:
        self.name = name
        self.address = free_address()
        self.down_seconds = down_seconds
        self.service_seconds = service_seconds
        self.crash_times: list[float] = []
        self.answered: list[str] = []
        self._on_start = on_start
        self._on_end = on_end
        self._starts = itertools.count(1)
        self._start_number = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks = TaskOwner()

    @property
    def start_number(self) -> int:
        return self._start_number

    @property
    def id(self) -> str:
        """Return the id of the current start."""
        return f"{self.name}-{self._start_number}"

    @property
    def is_running(self) -> bool:
        return self._listener is not None

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._start_number = next(self._starts)
        self._on_start(self)

    async def stop(self) -> None:
        await self._tasks.stop()
        self._end()

    def _end(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    def crash(self) -> None:
        """End the server at once and start it again later."""
        if not self.is_running:
            return
        self.crash_times.append(asyncio.get_running_loop().time())
        self._end()
        self._on_end(self)
        self._tasks.start(self._restart(), f"restart of {self.name}")

    async def _restart(self) -> None:
        await asyncio.sleep(self.down_seconds)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = ReceivedRequest(head[:-4], b"")
                length = int(request.header("content-length") or 0)
                request.body = await reader.readexactly(length)
                if request.header("x-expect-instance") != self.id:
                    writer.write(response(b"", "421 Misdirected Request"))
                    continue
                if request.body.startswith(CRASH_MARK):
                    self.crash()
                    return
                await asyncio.sleep(self.service_seconds)
                request_id = request.header("x-request-id") or ""
                self.answered.append(request_id)
                writer.write(
                    response(request.body, "200 OK", f"X-Request-Id: {request_id}")
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()
