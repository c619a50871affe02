"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import copy
import json
import time
from collections.abc import Callable

from http_service import HttpService, Request, Response, json_response
from record import Record

_WATCH_POLL_SECONDS = 0.02
_HISTORY_SECONDS = 20.0


class Store:
    """Hold items, leases and the history; turn callers away or be restored.

    Each machine reaches the store at an address of its own, so that the store can turn
    one away and serve the others.
    """

    def __init__(self, record: Record, is_logging_writes: bool = True) -> None:
        self._record = record
        self._items: dict[str, dict] = {}
        self._changes: list[tuple[float, dict]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 100
        self._next_lease = 1
        self._era = 1
        self._is_down = False
        self._turned_away: set[str] = set()
        self._services: dict[str, HttpService] = {}
        self._is_logging_writes = is_logging_writes
        self.on_write: Callable[[str, str], None] = lambda caller, key: None

    async def listen(self, caller: str, ip: str, port: int) -> None:
        """Serve one machine at an address."""

        async def handle(request: Request) -> Response:
            return await self._handle(caller, request)

        self._services[caller] = HttpService(handle)
        await self._services[caller].listen(ip, port)

    async def close(self) -> None:
        for service in self._services.values():
            await service.close()

    def turn_away(self, caller: str, is_away: bool) -> None:
        """Answer a machine with 503 to all its calls, or serve it again."""
        if is_away:
            self._turned_away.add(caller)
        else:
            self._turned_away.discard(caller)

    def set_down(self, is_down: bool) -> None:
        """Answer all calls with 503, or serve again."""
        self._is_down = is_down

    def drop_leases(self) -> None:
        """End all leases, as they may expire while the store is down."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def save(self) -> tuple:
        """Return a copy of the data."""
        return copy.deepcopy((self._items, self._revision, self._next_lease))

    def restore(self, saved: tuple) -> None:
        """Come back from a copy: what the system wrote since is gone, and all leases.

        Items of a lease go with it. What the operator and the engines wrote is written
        again.
        """
        theirs = {k: v["value"] for k, v in self._items.items() if _is_theirs(k)}
        items, self._revision, self._next_lease = copy.deepcopy(saved)
        self._items = {key: item for key, item in items.items() if not item["lease"]}
        self._leases.clear()
        self._changes.clear()
        self._era += 1
        for key, value in theirs.items():
            self.put(key, base64.b64decode(value))

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item."""
        self._revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createdRev": old["createdRev"] if old else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._changes.append((time.monotonic(), item))
        return self._revision

    def put_json(self, key: str, data: object) -> int:
        return self.put(key, json.dumps(data).encode())

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            change = {"key": key, "revision": self._revision, "removed": True}
            self._changes.append((time.monotonic(), change))

    def value(self, key: str) -> bytes | None:
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix: str) -> list[str]:
        return [key for key in self._items if key.startswith(prefix)]

    async def _handle(self, caller: str, request: Request) -> Response:
        response = await self._answer(caller, request)
        response.headers = (*response.headers, ("Store-Era", str(self._era)))
        return response

    async def _answer(self, caller: str, request: Request) -> Response:
        self._expire()
        if self._is_unavailable(caller):
            return Response(503)
        path = request.path
        if path == "/-/kv-key":
            item = self._items.get(request.query["key"])
            body = dict(item or {}) | {"storeRevision": self._revision}
            return json_response(200 if item else 404, body)
        if path == "/-/kv-range":
            return self._range(request)
        if path == "/-/kv-watch":
            return await self._watch(caller, request)
        if path == "/-/kv-txn":
            return self._transact(caller, request.json())
        if path == "/-/kv-lease":
            seconds = int(request.json()["ttlMs"]) / 1000
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (seconds, time.monotonic() + seconds)
            self._record.note(f"store: lease {lease} for {caller}")
            return json_response(200, {"lease": lease, "ttlMs": int(seconds * 1000)})
        lease = int(path.rpartition("/")[2])
        if path.startswith("/-/kv-keep/"):
            if lease not in self._leases:
                return Response(404)
            seconds = self._leases[lease][0]
            self._leases[lease] = (seconds, time.monotonic() + seconds)
            return json_response(200, {"ttlMs": int(seconds * 1000)})
        if path.startswith("/-/kv-lease-end/"):
            if lease not in self._leases:
                return Response(404)
            self._end_lease(lease)
            return json_response(200, {})
        return Response(404)

    def _range(self, request: Request) -> Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:500]]
        body = {"items": items, "truncated": len(keys) > 500}
        return json_response(200, body | {"storeRevision": self._revision})

    async def _watch(self, caller: str, request: Request) -> Response:
        prefix, after = request.query["pathPrefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        era = self._era
        while True:
            if self._is_unavailable(caller):
                return Response(503)
            oldest = self._changes[0][1]["revision"] if self._changes else None
            is_lost = oldest is not None and after < oldest - 1
            if after > self._revision or era != self._era or is_lost:
                return json_response(410, {})
            found = [
                item
                for _, item in self._changes
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            if found or time.monotonic() >= until:
                body = {"events": found, "storeRevision": self._revision}
                return json_response(200, body)
            await asyncio.sleep(_WATCH_POLL_SECONDS)

    def _transact(self, caller: str, body: dict) -> Response:
        rows = body.get("precondition") or []
        for row in rows:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self._items[r["key"]] for r in rows if r["key"] in self._items]
                return json_response(412, {"items": found})
        puts = body.get("puts") or []
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return Response(404)
        for row in puts:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease") or 0)
            if self._is_logging_writes:
                text = value.decode("latin-1")[:60]
                self._record.note(f"store: {caller} wrote {row['key']}: {text}")
        for key in body.get("remove") or []:
            self.remove(key)
        answer = json_response(200, {"revision": self._revision})
        if rows:
            for row in puts:
                self.on_write(caller, row["key"])
        return answer

    def _is_unavailable(self, caller: str) -> bool:
        return self._is_down or caller in self._turned_away

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now:
                self._record.note(f"store: lease {lease} ended")
                self._end_lease(lease)
        while self._changes and self._changes[0][0] < now - _HISTORY_SECONDS:
            del self._changes[0]

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.remove(key)


def _is_theirs(key: str) -> bool:
    return key.startswith(("op/", "servers/"))
