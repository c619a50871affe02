"""Serve a stand-in of a model engine that takes orders."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

LOAD_SECONDS: Final = 0.1
_EVENTS: Final = 6
_EVENT_SECONDS: Final = 0.01


class AdapterEngineApp:
    """Hold adapters of one base model in a few slots, and stream events."""

    def __init__(self, server: str, model: str, slots: int) -> None:
        self._server = server
        self._model = model
        self._slots = slots
        self._ready_at: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        self._order_count = 0
        self._overloads = 0
        self._served: Counter[str] = Counter()
        self._holders: list[tuple[str, int]] = []

    @property
    def served(self) -> Counter[str]:
        """Return how many requests each adapter has served."""
        return self._served

    @property
    def overloads(self) -> int:
        """Return how often an order asked for more than the slots hold."""
        return self._overloads

    @property
    def holders(self) -> list[tuple[str, int]]:
        """Return who gave each order, and its fencing number."""
        return self._holders

    def entry(self, service: str, address: str, domain: str) -> bytes:
        """Return what the engine registers in the metadata store."""
        entry = {
            "service": service,
            "address": address,
            "zone": domain,
            "slots": 32,
            "state": "ready",
            "born": 1,
            "sequence": self._order_count,
            "models": [{"name": self._model, "version": 1, "adapters": []}],
        }
        return json.dumps(entry).encode()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/-/report", self._report),
                Route("/-/order", self._order, methods=["POST"]),
                Route("/{path:path}", self._generate, methods=["POST"]),
            ]
        )

    async def _report(self, request: Request) -> Response:
        now = time.monotonic()
        ready = [f"{name}@1" for name, at in self._ready_at.items() if at <= now]
        coming = [
            f"{self._model}/{name}@1" for name, at in self._ready_at.items() if at > now
        ]
        models = [{"name": self._model, "version": 1, "adapters": ready}]
        return JSONResponse(
            {
                "models": models,
                "busy": False,
                "sequence": self._order_count,
                "born": 1,
                "coming": coming,
            }
        )

    async def _order(self, request: Request) -> Response:
        order = await request.json()
        if order["precondition"] != self._order_count:
            return JSONResponse({}, HTTPStatus.CONFLICT)
        self._order_count += 1
        self._holders.append((order["holder"], order["fencingToken"]))
        name = order["adapter"]
        if order["operation"] == "unload":
            if self._running[name]:
                return JSONResponse({}, HTTPStatus.ACCEPTED)
            self._ready_at.pop(name, None)
            return JSONResponse({})
        self._overloads += len(self._ready_at) >= self._slots
        self._ready_at[name] = time.monotonic() + LOAD_SECONDS
        return JSONResponse({}, HTTPStatus.ACCEPTED)

    async def _generate(self, request: Request) -> Response:
        name = request.headers["x-model"].partition("/")[2]
        headers = {"X-Request-Id": request.headers["x-request-id"]}
        if self._ready_at.get(name, time.monotonic() + 1.0) > time.monotonic():
            headers["X-Not-Executed"] = "1"
            return Response(status_code=421, headers=headers)
        headers["X-Instance-Load"] = f"{sum(self._running.values())},0,32,100"
        self._served[name] += 1
        return StreamingResponse(
            self._events(name), headers=headers, media_type="text/event-stream"
        )

    async def _events(self, name: str) -> AsyncIterator[bytes]:
        self._running[name] += 1
        try:
            for number in range(1, _EVENTS + 1):
                data: dict[str, Any] = {"adapter": name, "server": self._server}
                yield f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
                await asyncio.sleep(_EVENT_SECONDS)
        finally:
            self._running[name] -= 1
