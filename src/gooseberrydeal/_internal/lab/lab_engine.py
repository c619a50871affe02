"""Run one engine stand-in."""

import asyncio

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.lab.engine_app import EngineApp
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.free_port import LOOPBACK
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.http_session import HttpSession

_FETCH_SECONDS = 60.0


class LabEngine:
    """Own an engine stand-in and its socket, and restart it after a crash."""

    def __init__(
        self, name: str, model: EngineModel, weights_url: str, *, checks_fencing: bool
    ) -> None:
        self._weights = HttpSession(weights_url, read_seconds=_FETCH_SECONDS)
        self._app = EngineApp(
            name,
            model,
            self._fetch,
            checks_fencing=checks_fencing,
            on_crash=self._crash_soon,
        )
        self._port = 0
        self._server: HttpServer | None = None
        self._restart_seconds = 0.5
        self._crashes = 0
        self._crashing: asyncio.Task[None] | None = None

    @property
    def app(self) -> EngineApp:
        """Return the engine."""
        return self._app

    @property
    def address(self) -> str:
        """Return ``IP:port``."""
        return f"{LOOPBACK}:{self._port}"

    @property
    def crashes(self) -> int:
        """Return how often the engine has crashed."""
        return self._crashes

    async def start(self) -> None:
        """Listen."""
        self._server = HttpServer(self._app.app(), LOOPBACK, self._port)
        await self._server.start()
        self._port = self._server.port

    async def stop(self) -> None:
        """Cut all connections and end."""
        if self._server is not None:
            server, self._server = self._server, None
            await server.abort()
        await self._app.restart()
        await self._weights.close()

    async def crash(self) -> None:
        """Cut all connections, forget everything and come back empty."""
        self._crashes += 1
        if self._server is not None:
            server, self._server = self._server, None
            await server.abort()
        await self._app.restart()
        await asyncio.sleep(self._restart_seconds)
        await self.start()

    def _crash_soon(self) -> None:
        if self._crashing is None or self._crashing.done():
            self._crashing = asyncio.create_task(self.crash())

    async def _fetch(self, path: str) -> bool:
        try:
            await self._weights.call("GET", f"/weights/{path}", b"", {})
        except ServerError:
            return False
        return True
