"""Offer health and metrics to operators on an address of their own."""

from typing import Protocol

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrydeal._internal.models.lifecycle import Lifecycle
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port


class Observed(Protocol):
    """Run, and tell how it goes."""

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the process."""
        ...

    @property
    def lifecycle(self) -> Lifecycle:
        """Return the phase of the process."""
        ...

    async def start(self) -> None:
        """Begin all tasks."""
        ...

    async def stop(self) -> int:
        """End in an orderly way; return how many answers were cut."""
        ...


class OperatorApi:
    """Serve a node's metrics from before it starts until after it has stopped."""

    def __init__(self, node: Observed, address: str) -> None:
        self._node = node
        host, port = split_ip_and_port(address)
        self._server = HttpServer(self._app(), host, port)

    async def start(self) -> None:
        """Listen, then start the node."""
        await self._server.start()
        await self._node.start()

    async def stop(self) -> int:
        """Stop the node; return how many answers were cut."""
        return await self._node.stop()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.stop()

    def _app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/metrics", self._metrics),
                Route("/health", self._health),
                Route("/ready", self._ready),
            ]
        )

    async def _metrics(self, request: Request) -> Response:
        return Response(self._node.metrics.render(), media_type="text/plain")

    async def _health(self, request: Request) -> Response:
        return JSONResponse({"phase": self._node.lifecycle.phase.value})

    async def _ready(self, request: Request) -> Response:
        is_serving = self._node.lifecycle.is_serving
        return JSONResponse({"ready": is_serving}, 200 if is_serving else 503)
