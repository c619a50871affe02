"""Hold the records, leases and watches of the key-value stand-in."""

import asyncio
from base64 import b64decode
from dataclasses import dataclass
from typing import Any

from gooseberrydeal._internal.utils.clock import Clock


@dataclass
class _Value:
    data: str
    created: int
    modified: int
    lease: str | None


@dataclass
class _Lease:
    seconds: int
    expires: float


class StoreState:
    """Emulate the state of an etcd server in memory.

    Keys and values are base64 strings, as in the JSON gateway of etcd.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._values: dict[str, _Value] = {}
        self._leases: dict[str, _Lease] = {}
        self._revision = 1
        self._next_lease = 1000
        self._watchers: list[tuple[str, str, asyncio.Queue[dict[str, Any]]]] = []

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def watch_count(self) -> int:
        """Return the number of open watches."""
        return len(self._watchers)

    def snapshot(self) -> dict[str, _Value]:
        """Return a copy of the values for ``restore``."""
        return dict(self._values)

    def restore(self, values: dict[str, _Value]) -> None:
        """Replace the values by an older snapshot, as a restore from a backup does.

        The revision and the leases stay, and watches get no events.
        """
        self._values = dict(values)

    def range(self, key: str, end: str | None) -> dict[str, Any]:
        """Return the records of ``key``, or of the range that ends before ``end``."""
        self.expire()
        if end is None:
            found = [key] if key in self._values else []
        else:
            first, last = b64decode(key), b64decode(end)
            found = [k for k in self._values if first <= b64decode(k) < last]
        kvs = [self._record(item) for item in sorted(found, key=b64decode)]
        return {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}

    def transact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Run a transaction, including nested transactions."""
        self.expire()
        succeeded = all(self._matches(item) for item in body.get("compare") or [])
        branch = body.get("success" if succeeded else "failure") or []
        responses = [self._apply(item) for item in branch]
        return {
            "header": self._header(),
            "succeeded": succeeded,
            "responses": responses,
        }

    def grant(self, seconds: int) -> dict[str, Any]:
        """Grant a lease of this many seconds."""
        self._next_lease += 1
        lease = str(self._next_lease)
        self._leases[lease] = _Lease(seconds, self._clock.monotonic() + seconds)
        return {"ID": lease, "TTL": str(seconds)}

    def renew(self, lease: str) -> dict[str, Any]:
        """Renew a lease; the answer has no ``TTL`` if the lease has expired."""
        self.expire()
        found = self._leases.get(lease)
        if found is None:
            return {"result": {"ID": lease}}
        found.expires = self._clock.monotonic() + found.seconds
        return {"result": {"ID": lease, "TTL": str(found.seconds)}}

    def revoke(self, lease: str) -> dict[str, Any]:
        """Revoke a lease and delete its keys."""
        self._drop_lease(lease)
        return {"header": self._header()}

    def watch(self, key: str, end: str) -> asyncio.Queue[dict[str, Any]]:
        """Open a watch of a range; return the queue that receives its events."""
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._watchers.append((key, end, queue))
        return queue

    def unwatch(self, queue: asyncio.Queue[dict[str, Any]]) -> None:
        """Close the watch that uses this queue."""
        self._watchers = [item for item in self._watchers if item[2] is not queue]

    def expire(self) -> None:
        """Revoke expired leases and delete their keys."""
        now = self._clock.monotonic()
        for lease in [k for k, v in self._leases.items() if v.expires <= now]:
            self._drop_lease(lease)

    def _drop_lease(self, lease: str) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, v in self._values.items() if v.lease == lease]:
            self._delete(key)

    def _matches(self, item: dict[str, Any]) -> bool:
        value = self._values.get(item["key"])
        actual = value.modified if value is not None else 0
        return actual == int(item.get("mod_revision", 0))

    def _apply(self, item: dict[str, Any]) -> dict[str, Any]:
        if "request_txn" in item:
            return {"response_txn": self.transact(item["request_txn"])}
        if "request_put" in item:
            self._put(item["request_put"])
            return {"response_put": {}}
        if "request_delete_range" in item:
            self._delete(item["request_delete_range"]["key"])
            return {"response_delete_range": {}}
        range_request = item["request_range"]
        return {
            "response_range": self.range(
                range_request["key"], range_request.get("range_end")
            )
        }

    def _put(self, put: dict[str, Any]) -> None:
        self._revision += 1
        key = put["key"]
        old = self._values.get(key)
        created = old.created if old is not None else self._revision
        lease = put.get("lease")
        self._values[key] = _Value(put["value"], created, self._revision, lease)
        self._notify("PUT", key, self._record(key))

    def _delete(self, key: str) -> None:
        if self._values.pop(key, None) is None:
            return
        self._revision += 1
        record = {"key": key, "mod_revision": str(self._revision)}
        self._notify("DELETE", key, record)

    def _notify(self, kind: str, key: str, record: dict[str, Any]) -> None:
        raw = b64decode(key)
        for first, end, queue in self._watchers:
            if b64decode(first) <= raw < b64decode(end):
                queue.put_nowait({"type": kind, "kv": record})

    def _record(self, key: str) -> dict[str, Any]:
        value = self._values[key]
        return {
            "key": key,
            "value": value.data,
            "create_revision": str(value.created),
            "mod_revision": str(value.modified),
        }

    def _header(self) -> dict[str, Any]:
        return {"revision": str(self._revision)}
