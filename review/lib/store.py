"""Stand in for the platform's store, with one address for each machine."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from http_messages import Message, encode_response, listen, read_request

_POLL_SECONDS = 0.02


@dataclass
class Item:
    """Hold the value of a key."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class Lease:
    """Hold a lease and the keys that end with it."""

    seconds: float
    until: float
    holder: str
    keys: set[str] = field(default_factory=set)


class Store:
    """Keep keys, leases and the whole history in memory.

    ``on_call`` is called with the machine, the method, the target, the body and the
    status of each call that was carried out.
    """

    def __init__(
        self, on_call: Callable[[str, str, str, bytes, int], None] | None = None
    ) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 10
        self.refused: set[str] = set()
        self._changes: list[tuple[int, str, Item | None]] = []
        self._next_lease = 1
        self._on_call = on_call or (lambda *call: None)

    async def open(self, machine: str, host: str) -> str:
        """Return the address at which a machine reaches the store."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while (request := await read_request(reader)) is not None:
                self.expire()
                if machine in self.refused:
                    status, body = 503, {}
                else:
                    status, body = await self._call(machine, request)
                headers = {"Content-Type": "application/json", "Store-Era": "0"}
                data = json.dumps(body).encode()
                writer.write(encode_response(status, headers, data))
                self._on_call(
                    machine, request.method, request.target, request.body, status
                )

        return await listen(serve, host)

    async def expire_forever(self) -> None:
        """End leases on time."""
        while True:
            self.expire()
            await asyncio.sleep(0.01)

    def expire(self) -> None:
        """End the leases whose time has passed."""
        now = time.monotonic()
        for number in [k for k, v in self.leases.items() if v.until <= now]:
            self._end(number)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return its revision."""
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.created
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self._changes.append((self.revision, key, item))
        if lease:
            self.leases[lease].keys.add(key)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._changes.append((self.revision, key, None))

    def _end(self, number: int) -> None:
        lease = self.leases.pop(number, None)
        for key in sorted(lease.keys) if lease else ():
            item = self.items.get(key)
            if item is not None and item.lease == number:
                self.remove(key)

    async def _call(self, machine: str, request: Message) -> tuple[int, dict]:
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        path = parts.path
        if path == "/-/kv-range":
            return 200, self._range(query)
        if path == "/-/kv-watch":
            return await self._watch(machine, query)
        if path == "/-/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/-/kv-lease":
            seconds = json.loads(request.body)["ttlMs"] / 1000
            number, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[number] = Lease(seconds, time.monotonic() + seconds, machine)
            return 200, {"lease": number, "ttlMs": int(seconds * 1000)}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return 404, {}
            lease.until = time.monotonic() + lease.seconds
            return 200, {"ttlMs": int(lease.seconds * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self._end(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, _row(query["key"], item))
        return 400, {}

    def _range(self, query: dict[str, str]) -> dict:
        rows = [
            _row(key, item)
            for key, item in sorted(self.items.items())
            if key.startswith(query["pathPrefix"]) and key > query.get("after", "")
        ]
        return {"items": rows, "truncated": False, "storeRevision": self.revision}

    async def _watch(self, machine: str, query: dict[str, str]) -> tuple[int, dict]:
        until = time.monotonic() + int(query["waitMs"]) / 1000
        prefix, after = query["pathPrefix"], int(query["after"])
        while True:
            self.expire()
            if machine in self.refused:
                return 503, {}
            found = [
                {"key": key, "revision": revision, "removed": True}
                if item is None
                else _row(key, item)
                for revision, key, item in self._changes
                if revision > after and key.startswith(prefix)
            ]
            if found or time.monotonic() >= until:
                return 200, {"events": found, "storeRevision": self.revision}
            await asyncio.sleep(_POLL_SECONDS)

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                return 412, {"items": []}
        if any(row["lease"] and row["lease"] not in self.leases for row in body["puts"]):
            return 404, {}
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


def _row(key: str, item: Item) -> dict:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdRev": item.created,
        "lease": item.lease,
    }
