"""Reach the key-value service by etcd's v3 JSON gateway."""

import asyncio
import json
import ssl
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Sequence
from typing import Any, Final

from gooseberrydeal._internal.exceptions import (
    ServerBrokenError,
    ServerError,
    ServerRefusedError,
    ServerUnreachableError,
    StoreUnansweredError,
    StoreUnavailableError,
)
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.models.write_result import WriteResult
from gooseberrydeal._internal.network.http_session import HttpSession

_CALL_SECONDS: Final = 2.0
_WATCH_IDLE_SECONDS: Final = 60.0
_POOL_SIZE: Final = 32


class EtcdStore:
    """Speak etcd's published JSON gateway over HTTP."""

    def __init__(self, session: HttpSession) -> None:
        self._session = session

    @classmethod
    def from_url(cls, url: str, tls: ssl.SSLContext | None = None) -> "EtcdStore":
        """Build a client for a base URL."""
        return cls(
            HttpSession(url, read_seconds=_CALL_SECONDS, pool_size=_POOL_SIZE, tls=tls)
        )

    async def get(self, key: str) -> Record | None:
        """Return the record of a key."""
        answer = await self._read("/v3/kv/range", {"key": _encoded(key)})
        records = _records(answer)
        return records[0] if records else None

    async def list(self, prefix: str) -> tuple[Record, ...]:
        """Return the records whose keys start with a prefix."""
        body = {"key": _encoded(prefix), "range_end": _encoded(_range_end(prefix))}
        return _records(await self._read("/v3/kv/range", body))

    async def commit(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply each write that meets its condition, all in one call."""
        nested = [{"request_txn": _transaction(write)} for write in writes]
        answer = await self._write("/v3/kv/txn", {"compare": [], "success": nested})
        responses = (answer or {}).get("responses") or []
        if len(responses) != len(writes):
            raise StoreUnansweredError("the key-value service answered in part")
        revision = int((answer.get("header") or {}).get("revision", 0))
        return tuple(
            _result(response.get("response_txn") or {}, revision)
            for response in responses
        )

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that expires unless it is renewed."""
        answer = await self._write("/v3/lease/grant", {"TTL": str(seconds)})
        return LeaseId(str(answer["ID"]))

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it still stood."""
        answer = await self._write("/v3/lease/keepalive", {"ID": lease})
        return int((answer.get("result") or {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._write("/v3/lease/revoke", {"ID": lease})

    async def watch(self, prefix: str) -> AsyncIterator[Record]:
        """Yield each changed record; a deleted one has an empty value."""
        body = {
            "create_request": {
                "key": _encoded(prefix),
                "range_end": _encoded(_range_end(prefix)),
            }
        }
        try:
            response = await self._session.open(
                "POST", "/v3/watch", json.dumps(body).encode(), {}
            )
            pending = b""
            async for part in self._session.chunks(response, _WATCH_IDLE_SECONDS):
                *lines, pending = (pending + part).split(b"\n")
                for line in lines:
                    for record in _events(line):
                        yield record
        except (ServerError, ValueError) as error:
            raise StoreUnavailableError("the watch ended") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _read(self, path: str, body: dict[str, Any]) -> Any:  # noqa: ANN401
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                return await self._session.call_json("POST", path, body)
        except (ServerError, TimeoutError) as error:
            raise StoreUnavailableError("the key-value service is down") from error

    async def _write(self, path: str, body: dict[str, Any]) -> Any:  # noqa: ANN401
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                return await self._session.call_json("POST", path, body)
        except (ServerUnreachableError, ServerRefusedError) as error:
            raise StoreUnavailableError("the key-value service is down") from error
        except (ServerBrokenError, TimeoutError) as error:
            raise StoreUnansweredError("the write was not answered") from error


def _encoded(text: str) -> str:
    return b64encode(text.encode()).decode()


def _range_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _record(value: dict[str, Any]) -> Record:
    return Record(
        key=b64decode(value["key"]).decode(),
        value=b64decode(value.get("value", "")),
        mod_revision=int(value.get("mod_revision", 0)),
    )


def _records(answer: dict[str, Any] | None) -> tuple[Record, ...]:
    return tuple(_record(value) for value in (answer or {}).get("kvs") or [])


def _transaction(write: ConditionalWrite) -> dict[str, Any]:
    key = _encoded(write.key)
    change: dict[str, Any]
    if write.value is None:
        change = {"request_delete_range": {"key": key}}
    else:
        put = {"key": key, "value": b64encode(write.value).decode()}
        if write.lease is not None:
            put["lease"] = write.lease
        change = {"request_put": put}
    compare = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(write.expected_revision),
    }
    return {
        "compare": [compare],
        "success": [change],
        "failure": [{"request_range": {"key": key}}],
    }


def _result(response: dict[str, Any], revision: int) -> WriteResult:
    if response.get("succeeded"):
        return WriteResult(applied=True, mod_revision=revision)
    for item in response.get("responses") or []:
        records = _records(item.get("response_range"))
        if records:
            return WriteResult(applied=False, current=records[0])
    return WriteResult(applied=False)


def _events(line: bytes) -> list[Record]:
    if not line.strip():
        return []
    result = json.loads(line).get("result") or {}
    records = []
    for event in result.get("events") or []:
        record = _record(event["kv"])
        if event.get("type") == "DELETE":
            record = Record(record.key, b"", record.mod_revision)
        records.append(record)
    return records
