"""Simulate the HTTP session with the etcd key-value service in memory."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from enum import Enum
from typing import Any

from gooseberrydeal._internal.exceptions import (
    ServerBrokenError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.lab.store_state import StoreState
from gooseberrydeal._internal.network.etcd_store import EtcdStore


class StoreFault(Enum):
    """Name the faults of a call.

    The store executes a call with ``LOST_ANSWER`` at once and one with ``LATE_WRITE``
    1 s after it has failed for the caller; it does not execute the others.
    """

    UNREACHABLE = "unreachable"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE_WRITE = "late_write"


class FakeStoreSession:
    """Replace :class:`HttpSession`, with faults at chosen calls.

    ``faults`` and ``write_faults`` are keyed by the number of the call or write, which
    counts from 1. Calls wait while ``unpaused`` is cleared.
    """

    def __init__(self, state: StoreState) -> None:
        self.state = state
        self.call_count = 0
        self.write_count = 0
        self.is_down = False
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.faults: dict[int, StoreFault] = {}
        self.write_faults: dict[int, StoreFault] = {}

    async def call_json(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Any:
        await asyncio.sleep(0.002)
        await self.unpaused.wait()
        assert body is not None
        fault = self._next_fault(path)
        if self.is_down or fault is StoreFault.UNREACHABLE:
            raise ServerUnreachableError("the store is down")
        if fault is StoreFault.LOST_REQUEST:
            raise ServerBrokenError("request lost")
        if fault is StoreFault.LATE_WRITE:
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, lambda: self._execute(path, body))
            raise ServerBrokenError("no answer; the write is applied later")
        answer = self._execute(path, body)
        if fault is StoreFault.LOST_ANSWER:
            raise ServerBrokenError("answer lost")
        return answer

    async def open(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Any:
        if self.is_down:
            raise ServerUnreachableError("the store is down")
        watch_request = json.loads(body)["create_request"]
        return self.state.watch(watch_request["key"], watch_request["range_end"])

    async def chunks(self, response: Any, idle_seconds: float) -> AsyncIterator[bytes]:
        try:
            while True:
                event = await asyncio.wait_for(response.get(), 1.0)
                yield json.dumps({"result": {"events": [event]}}).encode() + b"\n"
        except TimeoutError as error:
            raise ServerBrokenError("watch ended") from error
        finally:
            self.state.unwatch(response)

    async def close(self) -> None:
        return

    def _next_fault(self, path: str) -> StoreFault | None:
        self.call_count += 1
        fault = self.faults.pop(self.call_count, None)
        if "txn" in path:
            self.write_count += 1
            fault = self.write_faults.pop(self.write_count, None) or fault
        return fault

    def _execute(self, path: str, body: dict[str, Any]) -> Any:
        handlers: dict[str, Callable[[], Any]] = {
            "/v3/kv/range": lambda: self.state.range(
                body["key"], body.get("range_end")
            ),
            "/v3/kv/txn": lambda: self.state.transact(body),
            "/v3/lease/grant": lambda: self.state.grant(int(body["TTL"])),
            "/v3/lease/keepalive": lambda: self.state.renew(str(body["ID"])),
            "/v3/lease/revoke": lambda: self.state.revoke(str(body["ID"])),
        }
        return handlers[path]()


def fake_store(state: StoreState) -> tuple[EtcdStore, FakeStoreSession]:
    """Return the production client over a fake session, and that session."""
    session = FakeStoreSession(state)
    return EtcdStore(session), session  # type: ignore[arg-type]
