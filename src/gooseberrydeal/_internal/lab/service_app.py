"""Serve a plain service stand-in."""

import asyncio
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class ServiceApp:
    """Book each request, and count the bookings of each body."""

    def __init__(self, name: str, seconds: float) -> None:
        self._name = name
        self._seconds = seconds
        self._slowdown = 1.0
        self._bookings: Counter[str] = Counter()
        self._runs: list[str] = []
        self._lost_answers = 0

    @property
    def slowdown(self) -> float:
        """Return the factor by which calls are slowed."""
        return self._slowdown

    @slowdown.setter
    def slowdown(self, value: float) -> None:
        self._slowdown = value

    @property
    def lost_answers(self) -> int:
        """Return how many coming answers are lost."""
        return self._lost_answers

    @lost_answers.setter
    def lost_answers(self, value: int) -> None:
        self._lost_answers = value

    @property
    def bookings(self) -> Counter[str]:
        """Return how often each body was booked."""
        return self._bookings

    @property
    def runs(self) -> list[str]:
        """Return the request ids that were run."""
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
        await asyncio.sleep(self._seconds * self._slowdown)
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
