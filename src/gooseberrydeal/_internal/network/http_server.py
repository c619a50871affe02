"""Serve an ASGI application over HTTP in a background task."""

import asyncio
import logging
from typing import Any, Final

import uvicorn
from starlette.types import ASGIApp

from gooseberrydeal._internal.network.limited_http import (
    HttpLimits,
    limited_protocol,
)

logger = logging.getLogger(__name__)

_START_POLL_INTERVAL_SECONDS: Final = 0.01
_KEEP_ALIVE_TIMEOUT_SECONDS: Final = 30


class HttpServer:
    """Run a uvicorn server for an application, without its signal handlers.

    ``connections`` limits the concurrent connections. ``tls`` names the files of the
    certificate and its private key.
    """

    def __init__(
        self,
        app: ASGIApp,
        host: str,
        port: int,
        *,
        tls: tuple[str, str] | None = None,
        connections: int = 4096,
        limits: HttpLimits | None = None,
    ) -> None:
        options: dict[str, Any] = {}
        if tls is not None:
            options = {"ssl_certfile": tls[0], "ssl_keyfile": tls[1]}
        self._server = uvicorn.Server(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                loop="asyncio",
                http=limited_protocol(limits or HttpLimits()),
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_SECONDS,
                limit_concurrency=connections,
                **options,
            )
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self._server.servers[0].sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start listening; raise ``OSError`` if the address is not available."""
        self._task = asyncio.create_task(self._serve(), name="http server")
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("HTTP server stopped before it started listening")
            await asyncio.sleep(_START_POLL_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Stop accepting connections and wait for the requests in progress."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def abort(self) -> None:
        """Close all connections immediately."""
        self._server.force_exit = True
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        await self.stop()

    async def _serve(self) -> None:
        try:
            # serve() would also install signal handlers.
            await self._server._serve()
        except SystemExit as error:
            raise OSError("HTTP server could not bind its address") from error
