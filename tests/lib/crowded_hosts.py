"""Start hosts of little memory with a store and a server, and observe them."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Final

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.lab.router.metadata_app import (
    WATCH_POLL_SECONDS,
    MetadataApp,
)
from gooseberrydeal._internal.network.http_server import HttpServer
from tests.lib.router_process import RouterProcess

KEY: Final = "crowd-key"
LARGE_RESPONSE_BYTES: Final = 12_000_000
_HOLD_SECONDS = 3.0
_READY_SECONDS = 30.0
_ANSWER_SECONDS = 10.0
_ATTEMPTS = 12
_PAUSE_SECONDS = 0.5


def _configuration() -> bytes:
    route = {
        "name": "once",
        "host": "desk.example",
        "pathPrefix": "/once/",
        "kind": "unsafe",
        "timeoutMs": 30_000,
        "targetLatencyMs": 400,
        "service": "desk",
        "maxAttempts": 1,
        "anonymous": True,
    }
    service = {"name": "desk", "maxConnections": 1_000}
    tenant = {"name": "first", "apiKeys": [KEY], "priority": 0}
    data = {"version": 1, "routes": [route], "services": [service], "limits": {}}
    return json.dumps({**data, "tenants": [tenant]}).encode()


def _entry(port: int) -> bytes:
    data = {
        "service": "desk",
        "address": f"127.0.0.1:{port}",
        "zone": "d1",
        "slots": 1_000,
        "state": "ready",
        "born": 1,
        "sequence": 0,
        "version": "v1",
    }
    return json.dumps(data).encode()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests; those to ``hold`` late, those to ``large`` with 12 MB."""
    try:
        while head := (await reader.readuntil(b"\r\n\r\n")).lower():
            length = head.partition(b"content-length: ")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length or 0))
            if b"/hold " in head:
                await asyncio.sleep(_HOLD_SECONDS)
            request_id = head.partition(b"x-request-id: ")[2].split(b"\r\n")[0]
            size = LARGE_RESPONSE_BYTES if b"/large " in head else 2
            fields = b"X-Request-Id: %b\r\nContent-Length: %d" % (request_id, size)
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % fields)
            for start in range(0, size, 65_536):
                writer.write(b"x" * min(65_536, size - start))
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        # The router closed the connection, or the test has ended.
        writer.close()


class CrowdedHosts:
    """Hold the running hosts, and note the most descriptors that each had open."""

    def __init__(self, routers: list[RouterProcess]) -> None:
        self.routers = routers
        self.most_descriptors = [0] * len(routers)

    async def observe(self) -> None:
        """Note the open descriptors until cancelled."""
        while True:
            for number, router in enumerate(self.routers):
                if router.is_running:
                    self.most_descriptors[number] = max(
                        self.most_descriptors[number], router.open_descriptors
                    )
            await asyncio.sleep(0.02)

    async def is_answering(self, address: str) -> bool:
        """Return whether an ordinary request is answered, if it is sent again."""
        for _ in range(_ATTEMPTS):
            if (await _call(address)).startswith(b"HTTP/1.1 200 "):
                return True
            await asyncio.sleep(_PAUSE_SECONDS)
        return False


async def _call(address: str) -> bytes:
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return b""
    try:
        lines = (
            "POST /once/a HTTP/1.1",
            "Host: desk.example",
            "X-Request-Id: q",
            "Connection: close",
            "Content-Length: 5",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhello")
        return await asyncio.wait_for(reader.read(), _ANSWER_SECONDS)
    except (OSError, TimeoutError):
        return b""
    finally:
        writer.close()


@asynccontextmanager
async def crowded_hosts(
    folder: Path, count: int, memory_mb: int, max_descriptors: int | None = None
) -> AsyncIterator[CrowdedHosts]:
    """Start hosts of one deployment, and end them."""
    store, address = MetadataApp(), free_address()
    host, port = address.rsplit(":", 1)
    store_server = HttpServer(store.app(), host, int(port))
    await store_server.start()
    server = await asyncio.start_server(_serve, "127.0.0.1", 0, limit=8 * 1024 * 1024)
    store.put("op/config", _configuration())
    store.put("servers/first", _entry(server.sockets[0].getsockname()[1]))
    async with AsyncExitStack() as stack:
        routers = [
            await stack.enter_async_context(
                RouterProcess(
                    folder, address, memory_mb, max_descriptors, f"host-{number}"
                )
            )
            for number in range(count)
        ]
        for router in routers:
            assert await router.wait_ready(_READY_SECONDS)
        hosts = CrowdedHosts(routers)
        observer = asyncio.create_task(hosts.observe())
        yield hosts
        observer.cancel()
    server.close()
    store.set_unavailable(is_unavailable=True)
    await asyncio.sleep(2 * WATCH_POLL_SECONDS)
    await store_server.abort()
