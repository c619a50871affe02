"""Serve HTTP until too many requests had to be turned away within a second."""

import asyncio
from collections import deque

from tests.lib.crash_cluster import CrashCluster
from tests.lib.crashing_server import CrashingServer
from tests.lib.scripted_server import ReceivedRequest, response

PLACES = 4
_USUAL_ROOM = 8
# The most requests that a brittle server turns away in a second without falling over.
_MOST_REJECTED = 3


class BrittleServer(CrashingServer):
    """Run a few requests at a time, and let some wait.

    Between ``told`` and ``ended``, all responses of a brittle server say so. From
    ``shrinks_at`` on it lets no request wait, and falls over if it has to turn more
    than three away in a second.
    """

    is_brittle = False
    shrinks_at = float("inf")
    _busy = 0
    _room: asyncio.Semaphore | None = None

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.falls: list[float] = []
        self.rejected: deque[float] = deque()

    async def start(self) -> None:
        self._busy = 0
        self._room = asyncio.Semaphore(PLACES)
        await super().start()

    async def _turns_away(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        now = asyncio.get_running_loop().time()
        assert self._room is not None
        room = 0 if self.is_brittle and now >= self.shrinks_at else _USUAL_ROOM
        if self._busy < PLACES + room:
            self._busy += 1
            await self._room.acquire()
            return False
        request_id = request.header("x-request-id") or ""
        fields = [f"X-Request-Id: {request_id}", "X-Not-Executed: 1"]
        fields += self._stated_fields()
        writer.write(response(b"", "503 Service Unavailable", *fields))
        self.rejected.append(now)
        while self.rejected[0] < now - 1.0:
            self.rejected.popleft()
        if room == 0 and len(self.rejected) > _MOST_REJECTED:
            self.rejected.clear()
            self.falls.append(now)
            self.crash()
        return True

    def _finished(self) -> None:
        self._busy -= 1
        assert self._room is not None
        self._room.release()

    def _stated_fields(self) -> list[str]:
        fields = super()._stated_fields()
        return [*fields, "Server-Brittle: 3"] if self.is_brittle else fields


class BrittleCluster(CrashCluster):
    """Run hosts before servers that may become brittle."""

    server_class = BrittleServer
    server_slots = PLACES

    @property
    def falls(self) -> int:
        return sum(len(server.falls) for server in self.brittle_servers)

    @property
    def brittle_servers(self) -> list[BrittleServer]:
        return [item for item in self.servers if isinstance(item, BrittleServer)]
