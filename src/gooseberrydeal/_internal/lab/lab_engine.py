"""Run one engine stand-in on its own port."""

import asyncio

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.lab.engine_app import EngineApp
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.free_port import LOOPBACK
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.http_session import HttpSession

_FETCH_TIMEOUT_SECONDS = 60.0


class LabEngine:
    """Serve an engine stand-in over HTTP and restart it after a crash."""

    def __init__(
        self, name: str, model: EngineModel, weights_url: str, *, checks_fencing: bool
    ) -> None:
        self._weight_store = HttpSession(
            weights_url, read_seconds=_FETCH_TIMEOUT_SECONDS
        )
        self._app = EngineApp(
            name,
            model,
            self._fetch,
            checks_fencing=checks_fencing,
            on_crash=self._start_crash,
        )
        self._port = 0
        self._server: HttpServer | None = None
        self._restart_delay_seconds = 0.5
        self._crashes = 0
        self._crash_task: asyncio.Task[None] | None = None

    @property
    def app(self) -> EngineApp:
        """Return the application of the engine."""
        return self._app

    @property
    def address(self) -> str:
        """Return the listening address as ``IP:port``."""
        return f"{LOOPBACK}:{self._port}"

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return self._crashes

    async def start(self) -> None:
        """Listen on loopback; a restart reuses the port of the first start."""
        self._server = HttpServer(self._app.app(), LOOPBACK, self._port)
        await self._server.start()
        self._port = self._server.port

    async def stop(self) -> None:
        """Drop all connections and stop listening."""
        if self._server is not None:
            server, self._server = self._server, None
            await server.abort()
        await self._app.restart()
        await self._weight_store.close()

    async def crash(self) -> None:
        """Drop all connections and state, then restart without adapters."""
        self._crashes += 1
        if self._server is not None:
            server, self._server = self._server, None
            await server.abort()
        await self._app.restart()
        await asyncio.sleep(self._restart_delay_seconds)
        await self.start()

    def _start_crash(self) -> None:
        if self._crash_task is None or self._crash_task.done():
            self._crash_task = asyncio.create_task(self.crash())

    async def _fetch(self, path: str) -> bool:
        try:
            await self._weight_store.call("GET", f"/weights/{path}", b"", {})
        except ServerError:
            return False
        return True
