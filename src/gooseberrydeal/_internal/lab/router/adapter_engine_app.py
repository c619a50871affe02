"""Serve a stand-in for a model engine that loads adapters on command."""

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
_EVENTS_PER_ANSWER: Final = 6
_EVENT_INTERVAL_SECONDS: Final = 0.01


class AdapterEngineApp:
    """Load adapters of one base model into a few slots and stream answers.

    A load takes ``LOAD_SECONDS``; requests for an adapter that is not ready get 421.
    """

    def __init__(self, server: str, model: str, slots: int) -> None:
        self._server = server
        self._model = model
        self._slots = slots
        self._ready_at: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        self._command_count = 0
        self._excess_loads = 0
        self._served: Counter[str] = Counter()
        self._command_senders: list[tuple[str, int]] = []

    @property
    def served(self) -> Counter[str]:
        """Return the number of requests served, by adapter."""
        return self._served

    @property
    def excess_loads(self) -> int:
        """Return the number of load commands received while all slots were in use."""
        return self._excess_loads

    @property
    def command_senders(self) -> list[tuple[str, int]]:
        """Return the sender and the fencing token of each accepted command."""
        return self._command_senders

    def entry(self, service: str, address: str, domain: str) -> bytes:
        """Return the JSON record that the engine registers in the metadata store."""
        entry = {
            "service": service,
            "address": address,
            "zone": domain,
            "slots": 32,
            "state": "ready",
            "born": 1,
            "sequence": self._command_count,
            "models": [{"name": self._model, "version": 1, "adapters": []}],
        }
        return json.dumps(entry).encode()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/-/report", self._report),
                Route("/-/order", self._execute_command, methods=["POST"]),
                Route("/{path:path}", self._generate, methods=["POST"]),
            ]
        )

    async def _report(self, request: Request) -> Response:
        now = time.monotonic()
        ready = [f"{name}@1" for name, at in self._ready_at.items() if at <= now]
        loading = [
            f"{self._model}/{name}@1" for name, at in self._ready_at.items() if at > now
        ]
        models = [{"name": self._model, "version": 1, "adapters": ready}]
        return JSONResponse(
            {
                "models": models,
                "busy": False,
                "sequence": self._command_count,
                "born": 1,
                "coming": loading,
            }
        )

    async def _execute_command(self, request: Request) -> Response:
        command = await request.json()
        if command["precondition"] != self._command_count:
            return JSONResponse({}, HTTPStatus.CONFLICT)
        self._command_count += 1
        self._command_senders.append((command["holder"], command["fencingToken"]))
        name = command["adapter"]
        if command["operation"] == "unload":
            if self._running[name]:
                return JSONResponse({}, HTTPStatus.ACCEPTED)
            self._ready_at.pop(name, None)
            return JSONResponse({})
        self._excess_loads += len(self._ready_at) >= self._slots
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
            for number in range(1, _EVENTS_PER_ANSWER + 1):
                data: dict[str, Any] = {"adapter": name, "server": self._server}
                yield f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
                await asyncio.sleep(_EVENT_INTERVAL_SECONDS)
        finally:
            self._running[name] -= 1
