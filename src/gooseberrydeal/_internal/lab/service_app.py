"""Serve a stand-in for a plain service, which is a server without adapters."""

import asyncio
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class ServiceApp:
    """Answer each call after a fixed time and count the calls by request body.

    A call with a repeated body shows in ``bookings`` as a duplicate execution.
    """

    def __init__(self, name: str, seconds: float) -> None:
        self._name = name
        self._service_seconds = seconds
        self._slowdown = 1.0
        self._bookings: Counter[str] = Counter()
        self._runs: list[str] = []
        self._lost_answers = 0

    @property
    def slowdown(self) -> float:
        """Return the factor applied to the service time."""
        return self._slowdown

    @slowdown.setter
    def slowdown(self, value: float) -> None:
        self._slowdown = value

    @property
    def lost_answers(self) -> int:
        """Return how many of the next calls run but lose their answer."""
        return self._lost_answers

    @lost_answers.setter
    def lost_answers(self, value: int) -> None:
        self._lost_answers = value

    @property
    def bookings(self) -> Counter[str]:
        """Return how many calls ran, by request body."""
        return self._bookings

    @property
    def runs(self) -> list[str]:
        """Return the ids of the requests that ran, in order."""
        return self._runs

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/health", self._health),
                Route("/{operation}", self._call, methods=["POST"]),
            ]
        )

    async def _health(self, request: Request) -> Response:
        return JSONResponse({"status": "ok"})

    async def _call(self, request: Request) -> Response:
        body = await request.body()
        request_id = request.headers.get("x-request-id", "none")
        await asyncio.sleep(self._service_seconds * self._slowdown)
        self._bookings[body.decode(errors="replace")] += 1
        self._runs.append(request_id)
        if self._lost_answers > 0:
            self._lost_answers -= 1
            raise ConnectionAbortedError
        answer: dict[str, Any] = {
            "server": self._name,
            "operation": request.path_params["operation"],
            "bytes": len(body),
        }
        return JSONResponse(answer, headers={"X-Request-Id": request_id})
