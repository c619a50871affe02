"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from .messages import Message, encode_json, serve

FIRST_REVISION = 10
WATCH_STEP_SECONDS = 0.02


@dataclass
class Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class Lease:
    seconds: float
    until: float
    keys: set[str] = field(default_factory=set)


class Store:
    """Hold keys, revisions and leases; each machine has an address of its own.

    A machine that is ``turned_away`` gets no answer, while the others are served.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.changes: list[tuple[str, int, Item | None]] = []
        self.leases: dict[int, Lease] = {}
        self.revision = FIRST_REVISION
        self.next_lease = 1
        self.era = 1
        self.turned_away: set[str] = set()
        self.is_away = False
        self._servers: list[asyncio.Server] = []

    async def listen(self, machine: str, host: str, port: int) -> None:
        async def handler(request: Message, writer: asyncio.StreamWriter) -> bool:
            if self._is_silent(machine):
                await asyncio.sleep(3600)
            answer = await self._answer(request, machine)
            if answer is None or self._is_silent(machine):
                await asyncio.sleep(3600)
            writer.write(answer)
            await writer.drain()
            return True

        self._servers.append(await serve(host, port, handler))

    def _is_silent(self, machine: str) -> bool:
        return self.is_away or machine in self.turned_away

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self.changes.append((key, self.revision, item))
        if lease in self.leases:
            self.leases[lease].keys.add(key)
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.changes.append((key, self.revision, None))

    def copy(self) -> tuple[dict[str, Item], int, int]:
        return dict(self.items), self.revision, self.next_lease

    def restore(self, copy: tuple[dict[str, Item], int, int]) -> None:
        """Come back from a copy: later writes and all leases are gone."""
        self.items, self.revision, self.next_lease = dict(copy[0]), copy[1], copy[2]
        self.changes.clear()
        self.leases.clear()
        self.era += 1

    def _expire(self) -> None:
        now = time.monotonic()
        for number in [n for n, held in self.leases.items() if held.until <= now]:
            self._drop(number)

    def _drop(self, number: int) -> None:
        lease = self.leases.pop(number, None)
        for key in sorted(lease.keys) if lease else ():
            item = self.items.get(key)
            if item is not None and item.lease == number:
                self.remove(key)

    def _json(self, status: int, value: object) -> bytes:
        return encode_json(status, value, {"Store-Era": str(self.era)})

    async def _answer(self, request: Message, machine: str) -> bytes | None:
        self._expire()
        query = {k: v[0] for k, v in parse_qs(request.query, keep_blank_values=True).items()}
        path = request.path
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            body = {"storeRevision": self.revision}
            if item is None:
                return self._json(404, body)
            return self._json(200, _record(query["key"], item) | body)
        if path == "/-/kv-range":
            found = [
                _record(key, item)
                for key, item in sorted(self.items.items())
                if key.startswith(query["pathPrefix"])
                and key > query.get("after", "")
            ]
            body = {"items": found, "truncated": False}
            return self._json(200, body | {"storeRevision": self.revision})
        if path == "/-/kv-watch":
            return await self._watch(query, machine)
        if path == "/-/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/-/kv-lease":
            seconds = json.loads(request.body)["ttlMs"] / 1000
            number, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[number] = Lease(seconds, time.monotonic() + seconds)
            return self._json(200, {"lease": number, "ttlMs": int(seconds * 1000)})
        number = int(path.rpartition("/")[2])
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(number)
            if lease is None:
                return self._json(404, {})
            lease.until = time.monotonic() + lease.seconds
            return self._json(200, {"ttlMs": int(lease.seconds * 1000)})
        self._drop(number)
        return self._json(200, {})

    async def _watch(self, query: dict[str, str], machine: str) -> bytes | None:
        prefix, after = query["pathPrefix"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        era = self.era
        while True:
            self._expire()
            if self._is_silent(machine):
                return None
            if after > self.revision or self.era != era:
                return self._json(410, {})
            if self.era > 1 and after < self.revision and not self.changes:
                return self._json(410, {})
            found = [
                _record(key, item, revision)
                for key, revision, item in self.changes
                if revision > after and key.startswith(prefix)
            ]
            if found or time.monotonic() >= until:
                body = {"events": found, "storeRevision": self.revision}
                return self._json(200, body)
            await asyncio.sleep(WATCH_STEP_SECONDS)

    def _transact(self, body: dict) -> bytes:
        for row in body.get("precondition", ()):
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                current = [_record(row["key"], item)] if item else []
                return self._json(412, {"items": current})
        puts = body.get("puts", ())
        if any(row.get("lease", 0) not in (0, *self.leases) for row in puts):
            return self._json(404, {})
        for row in puts:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return self._json(200, {"revision": self.revision})


def _record(key: str, item: Item | None, revision: int = 0) -> dict:
    if item is None:
        return {"key": key, "revision": revision, "removed": True}
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdRev": item.created,
        "lease": item.lease,
    }
