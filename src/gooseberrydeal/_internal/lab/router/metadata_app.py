"""Serve a stand-in for the platform's metadata store."""

import asyncio
import base64
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

from starlette.applications import Starlette
from starlette.datastructures import MutableHeaders
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

_FIRST_REVISION: Final = 10
WATCH_POLL_SECONDS: Final = 0.05


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class _Change:
    key: str
    revision: int
    item: _Item | None


@dataclass(slots=True)
class _Lease:
    seconds: float
    until: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class SavedStore:
    """Hold a copy of the store's data."""

    items: dict[str, _Item]
    revision: int
    next_lease: int


class MetadataApp:
    """Hold keys, revisions and leases in memory; can simulate an outage."""

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._changes: list[_Change] = []
        self._leases: dict[int, _Lease] = {}
        self._revision = _FIRST_REVISION
        self._next_lease = 1
        self._is_unavailable = False
        self._cut_off: frozenset[str] = frozenset()
        self._epoch: int | None = 1

    def set_unavailable(self, *, is_unavailable: bool) -> None:
        """Start or end an outage, in which every call is answered with status 503."""
        self._is_unavailable = is_unavailable

    def set_cut_off(self, callers: Iterable[str]) -> None:
        """Answer every call of these callers with status 503, and those of no other."""
        self._cut_off = frozenset(callers)

    def save(self) -> SavedStore:
        """Return a copy from which the store can be restored."""
        return SavedStore(dict(self._items), self._revision, self._next_lease)

    def restore(self, saved: SavedStore) -> None:
        """Replace the data by those of a copy; later writes and all leases are lost."""
        self._epoch = (self._epoch or 0) + 1
        self._items = dict(saved.items)
        self._changes.clear()
        self._leases.clear()
        self._revision = saved.revision
        self._next_lease = saved.next_lease

    def set_epoch(self, epoch: int | None) -> None:
        """Set the number of restorations that responses state, ``None`` for none."""
        self._epoch = epoch

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the new revision; lease 0 means no lease."""
        self._revision += 1
        known = self._items.get(key)
        created = known.created if known is not None else self._revision
        item = _Item(value, self._revision, created, lease)
        self._items[key] = item
        self._changes.append(_Change(key, self._revision, item))
        if lease in self._leases:
            self._leases[lease].keys.add(key)
        return self._revision

    def get(self, key: str) -> bytes:
        """Return the value of a key; raise ``KeyError`` if it does not exist."""
        return self._items[key].value

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._changes.append(_Change(key, self._revision, None))

    def app(self, caller: str = "") -> Starlette:
        """Return the ASGI application that serves one caller, by default any."""
        return Starlette(
            middleware=[
                Middleware(_EpochHeader, epoch=lambda: self._epoch),
                Middleware(_CallerOutage, is_cut_off=lambda: caller in self._cut_off),
            ],
            routes=[
                Route("/-/kv-key", self._key),
                Route("/-/kv-range", self._range),
                Route("/-/kv-watch", self._watch),
                Route("/-/kv-txn", self._transact, methods=["POST"]),
                Route("/-/kv-lease", self._grant, methods=["POST"]),
                Route("/-/kv-keep/{lease:int}", self._renew, methods=["POST"]),
                Route("/-/kv-lease-end/{lease:int}", self._revoke, methods=["DELETE"]),
            ],
        )

    async def _key(self, request: Request) -> Response:
        if self._expire_and_check_outage():
            return _unavailable_response()
        key = request.query_params["key"]
        found = self._items.get(key)
        body = {"storeRevision": self._revision}
        if found is None:
            return JSONResponse(body, HTTPStatus.NOT_FOUND)
        return JSONResponse(_to_record(key, found) | body)

    async def _range(self, request: Request) -> Response:
        if self._expire_and_check_outage():
            return _unavailable_response()
        prefix = request.query_params["pathPrefix"]
        items = [
            _to_record(key, item)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        return JSONResponse(
            {"items": items, "truncated": False, "storeRevision": self._revision}
        )

    async def _watch(self, request: Request) -> Response:
        prefix = request.query_params["pathPrefix"]
        after = int(request.query_params["after"])
        until = time.monotonic() + int(request.query_params["waitMs"]) / 1000
        while True:
            if self._expire_and_check_outage():
                return _unavailable_response()
            if after > self._revision:
                return JSONResponse({}, HTTPStatus.GONE)
            found = [
                _to_record(change.key, change.item, change.revision)
                for change in self._changes
                if change.revision > after and change.key.startswith(prefix)
            ]
            if found or time.monotonic() >= until:
                body = {"events": found, "storeRevision": self._revision}
                return JSONResponse(body)
            await asyncio.sleep(WATCH_POLL_SECONDS)

    async def _transact(self, request: Request) -> Response:
        if self._expire_and_check_outage():
            return _unavailable_response()
        body = await request.json()
        for row in body["precondition"]:
            item = self._items.get(row["key"])
            if (item.revision if item is not None else 0) != row["revision"]:
                status = HTTPStatus.PRECONDITION_FAILED
                return JSONResponse({"items": []}, status)
        if any(row["lease"] not in (0, *self._leases) for row in body["puts"]):
            return JSONResponse({}, HTTPStatus.NOT_FOUND)
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["remove"]:
            self.remove(key)
        return JSONResponse({"revision": self._revision})

    async def _grant(self, request: Request) -> Response:
        if self._expire_and_check_outage():
            return _unavailable_response()
        milliseconds = (await request.json())["ttlMs"]
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        seconds = milliseconds / 1000
        self._leases[lease] = _Lease(seconds, time.monotonic() + seconds)
        return JSONResponse({"lease": lease, "ttlMs": milliseconds})

    async def _renew(self, request: Request) -> Response:
        if self._expire_and_check_outage():
            return _unavailable_response()
        lease = self._leases.get(request.path_params["lease"])
        if lease is None:
            return JSONResponse({}, HTTPStatus.NOT_FOUND)
        lease.until = time.monotonic() + lease.seconds
        return JSONResponse({"ttlMs": int(lease.seconds * 1000)})

    async def _revoke(self, request: Request) -> Response:
        if self._expire_and_check_outage():
            return _unavailable_response()
        self._drop_lease(request.path_params["lease"])
        return JSONResponse({})

    def _expire_and_check_outage(self) -> bool:
        """Expire leases; return whether an outage is simulated."""
        now = time.monotonic()
        for lease in [k for k, held in self._leases.items() if held.until <= now]:
            self._drop_lease(lease)
        return self._is_unavailable

    def _drop_lease(self, number: int) -> None:
        lease = self._leases.pop(number, None)
        for key in sorted(lease.keys) if lease is not None else ():
            item = self._items.get(key)
            if item is not None and item.lease == number:
                self.remove(key)


class _EpochHeader:
    """Add to all responses how often the store was restored."""

    def __init__(self, app: ASGIApp, epoch: Callable[[], int | None]) -> None:
        self._app = app
        self._epoch = epoch

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_epoch(message: Message) -> None:
            epoch = self._epoch()
            if message["type"] == "http.response.start" and epoch is not None:
                MutableHeaders(scope=message)["Store-Era"] = str(epoch)
            await send(message)

        await self._app(scope, receive, send_with_epoch)


class _CallerOutage:
    """Answer calls with status 503 while their caller is cut off."""

    def __init__(self, app: ASGIApp, is_cut_off: Callable[[], bool]) -> None:
        self._app = app
        self._is_cut_off = is_cut_off

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http" and self._is_cut_off():
            await _unavailable_response()(scope, receive, send)
            return
        await self._app(scope, receive, send)


def _to_record(key: str, item: _Item | None, revision: int = 0) -> dict[str, Any]:
    if item is None:
        return {"key": key, "revision": revision, "removed": True}
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdRev": item.created,
        "lease": item.lease,
    }


def _unavailable_response() -> Response:
    return JSONResponse({}, HTTPStatus.SERVICE_UNAVAILABLE)
