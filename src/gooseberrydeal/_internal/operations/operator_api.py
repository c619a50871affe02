"""Serve health, readiness and metrics on a separate address for operators."""

from typing import Protocol

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrydeal._internal.models.lifecycle import Lifecycle
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port


class MonitoredNode(Protocol):
    """Describe a node with a lifecycle and metrics that can be served."""

    @property
    def metrics(self) -> Metrics:
        """Return the metrics registry of the process."""
        ...

    @property
    def lifecycle(self) -> Lifecycle:
        """Return the lifecycle of the process."""
        ...

    async def start(self) -> None:
        """Start all tasks."""
        ...

    async def stop(self) -> int:
        """Shut down gracefully; return the number of responses that were cut off."""
        ...


class OperatorApi:
    """Serve a node's metrics and health from before its start until after its stop."""

    def __init__(self, node: MonitoredNode, address: str) -> None:
        self._node = node
        host, port = split_ip_and_port(address)
        self._server = HttpServer(self._app(), host, port)

    async def start(self) -> None:
        """Listen, then start the node."""
        await self._server.start()
        await self._node.start()

    async def stop(self) -> int:
        """Stop the node; return the number of responses that were cut off.

        The operator address stays open until :meth:`close`.
        """
        return await self._node.stop()

    async def close(self) -> None:
        """Stop listening on the operator address."""
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
