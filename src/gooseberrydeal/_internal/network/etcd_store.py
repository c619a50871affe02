"""Access the key-value service through etcd's v3 JSON gateway."""

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

_CALL_TIMEOUT_SECONDS: Final = 2.0
_WATCH_IDLE_TIMEOUT_SECONDS: Final = 60.0
_POOL_SIZE: Final = 32


class EtcdStore:
    """Read, write and watch keys in etcd over its JSON gateway."""

    def __init__(self, session: HttpSession) -> None:
        self._session = session

    @classmethod
    def from_url(cls, url: str, tls: ssl.SSLContext | None = None) -> "EtcdStore":
        """Build a client for the gateway's base URL."""
        return cls(
            HttpSession(
                url, read_seconds=_CALL_TIMEOUT_SECONDS, pool_size=_POOL_SIZE, tls=tls
            )
        )

    async def get(self, key: str) -> Record | None:
        """Return the record of a key, or ``None`` if the key does not exist."""
        response = await self._read("/v3/kv/range", {"key": _base64(key)})
        records = _parse_records(response)
        return records[0] if records else None

    async def list(self, prefix: str) -> tuple[Record, ...]:
        """Return the records whose keys start with a prefix."""
        body = {"key": _base64(prefix), "range_end": _base64(_range_end(prefix))}
        return _parse_records(await self._read("/v3/kv/range", body))

    async def commit(
        self, writes: Sequence[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Apply each write whose condition holds, all in one request."""
        transactions = [{"request_txn": _build_transaction(write)} for write in writes]
        response = await self._write(
            "/v3/kv/txn", {"compare": [], "success": transactions}
        )
        results = (response or {}).get("responses") or []
        if len(results) != len(writes):
            raise StoreUnansweredError(
                f"key-value service returned {len(results)} results for"
                f" {len(writes)} writes; the writes may have been applied"
            )
        revision = int((response.get("header") or {}).get("revision", 0))
        return tuple(
            _parse_result(result.get("response_txn") or {}, revision)
            for result in results
        )

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that expires unless it is renewed."""
        response = await self._write("/v3/lease/grant", {"TTL": str(seconds)})
        return LeaseId(str(response["ID"]))

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it was still active."""
        response = await self._write("/v3/lease/keepalive", {"ID": lease})
        return int((response.get("result") or {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self._write("/v3/lease/revoke", {"ID": lease})

    async def watch(self, prefix: str) -> AsyncIterator[Record]:
        """Yield each changed record; a deleted record has an empty value."""
        body = {
            "create_request": {
                "key": _base64(prefix),
                "range_end": _base64(_range_end(prefix)),
            }
        }
        try:
            response = await self._session.open(
                "POST", "/v3/watch", json.dumps(body).encode(), {}
            )
            buffer = b""
            async for chunk in self._session.chunks(
                response, _WATCH_IDLE_TIMEOUT_SECONDS
            ):
                *lines, buffer = (buffer + chunk).split(b"\n")
                for line in lines:
                    for record in _parse_events(line):
                        yield record
        except (ServerError, ValueError) as error:
            raise StoreUnavailableError(
                f"watch on {prefix!r} was interrupted"
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _read(self, path: str, body: dict[str, Any]) -> Any:  # noqa: ANN401
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                return await self._session.call_json("POST", path, body)
        except (ServerError, TimeoutError) as error:
            raise StoreUnavailableError(
                f"key-value service is unavailable: read {path} failed"
            ) from error

    async def _write(self, path: str, body: dict[str, Any]) -> Any:  # noqa: ANN401
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                return await self._session.call_json("POST", path, body)
        except (ServerUnreachableError, ServerRefusedError) as error:
            raise StoreUnavailableError(
                f"key-value service is unavailable: write {path} was not applied"
            ) from error
        except (ServerBrokenError, TimeoutError) as error:
            raise StoreUnansweredError(
                f"key-value service did not answer write {path};"
                " it may have been applied"
            ) from error


def _base64(text: str) -> str:
    return b64encode(text.encode()).decode()


def _range_end(prefix: str) -> str:
    """Return the first key after all keys that start with the prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _parse_record(value: dict[str, Any]) -> Record:
    return Record(
        key=b64decode(value["key"]).decode(),
        value=b64decode(value.get("value", "")),
        mod_revision=int(value.get("mod_revision", 0)),
    )


def _parse_records(response: dict[str, Any] | None) -> tuple[Record, ...]:
    return tuple(_parse_record(item) for item in (response or {}).get("kvs") or [])


def _build_transaction(write: ConditionalWrite) -> dict[str, Any]:
    """Build a compare-and-swap that returns the current record if it fails."""
    key = _base64(write.key)
    operation: dict[str, Any]
    if write.value is None:
        operation = {"request_delete_range": {"key": key}}
    else:
        put = {"key": key, "value": b64encode(write.value).decode()}
        if write.lease is not None:
            put["lease"] = write.lease
        operation = {"request_put": put}
    compare = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(write.expected_revision),
    }
    return {
        "compare": [compare],
        "success": [operation],
        "failure": [{"request_range": {"key": key}}],
    }


def _parse_result(response: dict[str, Any], revision: int) -> WriteResult:
    if response.get("succeeded"):
        return WriteResult(applied=True, mod_revision=revision)
    for item in response.get("responses") or []:
        records = _parse_records(item.get("response_range"))
        if records:
            return WriteResult(applied=False, current=records[0])
    return WriteResult(applied=False)


def _parse_events(line: bytes) -> list[Record]:
    """Parse one line of the watch stream, which is newline-delimited JSON."""
    if not line.strip():
        return []
    result = json.loads(line).get("result") or {}
    records = []
    for event in result.get("events") or []:
        record = _parse_record(event["kv"])
        if event.get("type") == "DELETE":
            record = Record(record.key, b"", record.mod_revision)
        records.append(record)
    return records
