"""Show requests routed straight to engines, with adapters loaded on demand."""

import asyncio
import json
import random
from collections import Counter
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.lab.router.router_cluster import (
    CALLER_HOST,
    MODEL,
    PATH_PREFIX,
    RouterCluster,
)

_HOSTS: Final = 3
_ENGINES: Final = 3
_SLOTS: Final = 6
_REQUESTS: Final = 120
_ADAPTERS: Final = 30
_AT_ONCE: Final = 8
_SEED: Final = 11
_CALL_SECONDS: Final = 10.0


class RouterDemo:
    """Send requests for more adapters than there are slots, and check each reply."""

    def __init__(self) -> None:
        self._cluster = RouterCluster(_HOSTS, _ENGINES, _SLOTS)
        self._random = random.Random(_SEED)
        self._statuses: Counter[int] = Counter()
        self._wrong = 0

    async def run(self) -> bool:
        """Return whether every reply was whole and from the right adapter."""
        await self._cluster.start()
        try:
            await self._until_ready()
            gate = asyncio.Semaphore(_AT_ONCE)
            calls = [self._call(number, gate) for number in range(_REQUESTS)]
            await asyncio.gather(*calls)
        finally:
            await self._cluster.stop()
        engines = self._cluster.engines.values()
        overloads = sum(engine.overloads for engine in engines)
        print(
            f"{_REQUESTS} requests for {_ADAPTERS} adapters in"
            f" {_ENGINES * _SLOTS} slots: statuses {dict(self._statuses)},"
            f" {self._wrong} wrong, {overloads} loads past the slots"
        )
        return (
            self._statuses[HTTPStatus.OK] == _REQUESTS
            and not self._wrong
            and not overloads
        )

    async def _until_ready(self) -> None:
        """Wait until a first request is served."""
        gate = asyncio.Semaphore(1)
        while not self._statuses[HTTPStatus.OK]:
            await self._call(0, gate)
            await asyncio.sleep(0.1)
        self._statuses.clear()

    async def _call(self, number: int, gate: asyncio.Semaphore) -> None:
        async with gate:
            addresses = list(self._cluster.addresses.values())
            adapter = f"a{min(int(self._random.paretovariate(0.9)), _ADAPTERS)}"
            address = self._random.choice(addresses)
            status, body = await call_router(address, adapter, f"q{number}")
        self._statuses[status] += 1
        lines = [line for line in body.splitlines() if line.startswith("data: ")]
        served_by = {json.loads(line[6:])["adapter"] for line in lines}
        if status == HTTPStatus.OK and served_by != {adapter}:
            self._wrong += 1


async def call_router(address: str, adapter: str, request_id: str) -> tuple[int, str]:
    """Send one request and return its status and body, which is whole."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(_CALL_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        head = [
            f"POST {PATH_PREFIX}x HTTP/1.1",
            f"Host: {CALLER_HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Model: {MODEL}/{adapter}",
            "X-Token-Counts: 400,60",
            "X-Deadline-Ms: 8000",
            "Content-Length: 0",
            "Connection: close",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        reply = await reader.read()
        writer.close()
    start, _, body = reply.partition(b"\r\n\r\n")
    return int(start.split()[1]), body.decode()
