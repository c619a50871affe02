"""Serve a stand-in for the platform: key-value store, host list and weight store."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from gooseberrydeal._internal.lab.platform_faults import PlatformFaults
from gooseberrydeal._internal.lab.store_state import StoreState
from gooseberrydeal._internal.lab.weight_store_state import WeightStoreState

_STALL_SECONDS: Final = 3600.0


class PlatformApp:
    """Serve the HTTP API of the platform and inject faults on request."""

    def __init__(self, store: StoreState, weights: WeightStoreState) -> None:
        self._store = store
        self._weights = weights
        self._faults = PlatformFaults()
        self._calls: Counter[str] = Counter()
        self._hosts: dict[str, str] = {}

    @property
    def faults(self) -> PlatformFaults:
        """Return the faults to inject."""
        return self._faults

    @property
    def calls(self) -> Counter[str]:
        """Return the number of calls by path."""
        return self._calls

    @property
    def store(self) -> StoreState:
        """Return the state of the key-value store."""
        return self._store

    @property
    def weights(self) -> WeightStoreState:
        """Return the state of the weight store."""
        return self._weights

    @property
    def hosts(self) -> dict[str, str]:
        """Return the state of each listed host, by address."""
        return self._hosts

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v3/kv/range", self._range, methods=["POST"]),
                Route("/v3/kv/txn", self._transact, methods=["POST"]),
                Route("/v3/lease/grant", self._grant, methods=["POST"]),
                Route("/v3/lease/keepalive", self._renew, methods=["POST"]),
                Route("/v3/lease/revoke", self._revoke, methods=["POST"]),
                Route("/v3/watch", self._watch, methods=["POST"]),
                Route("/hosts", self._list_hosts),
                Route("/weights/{path:path}", self._fetch_weights),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/counts", self._counts),
            ]
        )

    async def _range(self, request: Request) -> Response:
        body = await self._read_body(request)
        if body is None:
            return Response(status_code=503)
        return JSONResponse(self._store.range(body["key"], body.get("range_end")))

    async def _transact(self, request: Request) -> Response:
        body = await self._read_body(request)
        if body is None:
            return Response(status_code=503)
        return await self._answer_write(self._store.transact(body))

    async def _grant(self, request: Request) -> Response:
        body = await self._read_body(request)
        if body is None:
            return Response(status_code=503)
        return JSONResponse(self._store.grant(int(body["TTL"])))

    async def _renew(self, request: Request) -> Response:
        body = await self._read_body(request)
        if body is None:
            return Response(status_code=503)
        return JSONResponse(self._store.renew(str(body["ID"])))

    async def _revoke(self, request: Request) -> Response:
        body = await self._read_body(request)
        if body is None:
            return Response(status_code=503)
        return JSONResponse(self._store.revoke(str(body["ID"])))

    async def _watch(self, request: Request) -> Response:
        body = await self._read_body(request)
        if body is None:
            return Response(status_code=503)
        watch_request = body["create_request"]
        queue = self._store.watch(watch_request["key"], watch_request["range_end"])
        return StreamingResponse(self._events(queue))

    async def _events(
        self, queue: asyncio.Queue[dict[str, Any]]
    ) -> AsyncIterator[bytes]:
        try:
            yield b'{"result": {"created": true}}\n'
            while True:
                event = await queue.get()
                if self._faults.is_down:
                    return
                yield json.dumps({"result": {"events": [event]}}).encode() + b"\n"
        finally:
            self._store.unwatch(queue)

    async def _list_hosts(self, request: Request) -> Response:
        self._calls["/hosts"] += 1
        groups = [
            {"targets": [address], "labels": {"state": state}}
            for address, state in self._hosts.items()
        ]
        return JSONResponse(groups)

    async def _fetch_weights(self, request: Request) -> Response:
        path = request.path_params["path"]
        if not self._weights.exists(path):
            return Response(status_code=404)
        if request.query_params.get("head"):
            return Response(status_code=200)
        seconds = self._weights.begin()
        if seconds is None:
            return Response(status_code=429)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._weights.end()
        return JSONResponse({"path": path})

    async def _set_faults(self, request: Request) -> Response:
        for name, value in (await request.json()).items():
            setattr(self._faults, name, value)
        return JSONResponse({})

    async def _counts(self, request: Request) -> Response:
        return JSONResponse(
            {
                "calls": dict(self._calls),
                "watches": self._store.watch_count,
                "fetches": self._weights.fetches,
                "refused_fetches": self._weights.refused,
                "most_in_flight": self._weights.most_in_flight,
            }
        )

    async def _read_body(self, request: Request) -> dict[str, Any] | None:
        """Count the call and return its body, or ``None`` while the store is down."""
        self._calls[request.url.path] += 1
        if self._faults.is_down:
            return None
        if self._faults.delay_seconds:
            await asyncio.sleep(self._faults.delay_seconds)
        body: dict[str, Any] = await request.json()
        return body

    async def _answer_write(self, answer: dict[str, Any]) -> Response:
        """Answer a write that took effect, or stall if the answer is to be lost."""
        if self._faults.lost_answers > 0:
            self._faults.lost_answers -= 1
            await asyncio.sleep(_STALL_SECONDS)
        return JSONResponse(answer)
