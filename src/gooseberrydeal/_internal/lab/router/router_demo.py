"""Route requests directly to engines that load adapters on demand."""

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

_HOST_COUNT: Final = 3
_ENGINE_COUNT: Final = 3
_SLOTS_PER_ENGINE: Final = 6
_REQUEST_COUNT: Final = 120
_ADAPTER_COUNT: Final = 30
_MAX_CONCURRENT_CALLS: Final = 8
_SEED: Final = 11
_CALL_TIMEOUT_SECONDS: Final = 10.0


class RouterDemo:
    """Request more adapters than there are slots and verify each reply."""

    def __init__(self) -> None:
        self._cluster = RouterCluster(_HOST_COUNT, _ENGINE_COUNT, _SLOTS_PER_ENGINE)
        self._random = random.Random(_SEED)
        self._statuses: Counter[int] = Counter()
        self._wrong_replies = 0

    async def run(self) -> bool:
        """Return whether each reply came from the requested adapter.

        No engine may have received a load command while its slots were full.
        """
        await self._cluster.start()
        try:
            await self._wait_ready()
            semaphore = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
            calls = [self._call(number, semaphore) for number in range(_REQUEST_COUNT)]
            await asyncio.gather(*calls)
        finally:
            await self._cluster.stop()
        engines = self._cluster.engines.values()
        excess_loads = sum(engine.excess_loads for engine in engines)
        print(
            f"{_REQUEST_COUNT} requests for {_ADAPTER_COUNT} adapters in"
            f" {_ENGINE_COUNT * _SLOTS_PER_ENGINE} slots:"
            f" statuses {dict(self._statuses)},"
            f" {self._wrong_replies} wrong, {excess_loads} loads past the slots"
        )
        return (
            self._statuses[HTTPStatus.OK] == _REQUEST_COUNT
            and not self._wrong_replies
            and not excess_loads
        )

    async def _wait_ready(self) -> None:
        """Wait until a first request succeeds."""
        semaphore = asyncio.Semaphore(1)
        while not self._statuses[HTTPStatus.OK]:
            await self._call(0, semaphore)
            await asyncio.sleep(0.1)
        self._statuses.clear()

    async def _call(self, number: int, semaphore: asyncio.Semaphore) -> None:
        async with semaphore:
            addresses = list(self._cluster.addresses.values())
            adapter = f"a{min(int(self._random.paretovariate(0.9)), _ADAPTER_COUNT)}"
            address = self._random.choice(addresses)
            status, body = await call_router(address, adapter, f"q{number}")
        self._statuses[status] += 1
        lines = [line for line in body.splitlines() if line.startswith("data: ")]
        served_by = {json.loads(line[6:])["adapter"] for line in lines}
        if status == HTTPStatus.OK and served_by != {adapter}:
            self._wrong_replies += 1


async def call_router(
    address: str, adapter: str, request_id: str, path_prefix: str = PATH_PREFIX
) -> tuple[int, str]:
    """Send one request to ``IP:port``; return the status and the complete body."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        head = [
            f"POST {path_prefix}x HTTP/1.1",
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
