"""Run routers before plain servers that a request can crash, over real sockets."""

import asyncio
import json
import random
from collections import Counter
from typing import Any, Self

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.lab.router.metadata_app import (
    WATCH_POLL_SECONDS,
    MetadataApp,
)
from gooseberrydeal._internal.models.ids import DomainName, HostId
from gooseberrydeal._internal.models.routing.host_settings import (
    HostSettings,
    RoutingBounds,
    StoreSettings,
)
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.operations.router.router_node import RouterNode
from gooseberrydeal._internal.platform.engine_client import PlatformEngineClient
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.platform.store_client import PlatformStore
from gooseberrydeal._internal.utils.clock import SystemClock
from tests.lib.crashing_server import CrashingServer

_ROUTES: tuple[tuple[str, str, dict[str, Any]], ...] = (
    ("safe", "safe", {}),
    ("safe", "quick", {"targetLatencyMs": 100}),
    ("unsafe", "once", {}),
    ("unsafe", "long", {"timeoutMs": 20_000}),
    ("streaming", "stream", {}),
    ("streaming", "resumable", {"resumable": True, "maxAttempts": 1}),
    ("streaming", "onward", {"resumable": True, "maxAttempts": 2}),
)
CALLER_HOST = "desk.example"
_SERVICE = "desk"
_DOMAIN = "d1"
_CALL_TIMEOUT_SECONDS = 5.0
# Entries of servers that send no heartbeats any more expire after this time.
_ENTRY_EXPIRY_SECONDS = 1.0


class CrashCluster:
    """Run hosts, plain servers and a metadata store in one process.

    Requests under ``/safe/`` and ``/quick/`` may be repeated, those under ``/once/``
    and ``/long/`` and the streams under ``/stream/`` may not. Streams under
    ``/resumable/`` may be taken up by their callers, those under ``/onward/`` by the
    hosts too.
    """

    server_class: type[CrashingServer] = CrashingServer
    server_slots = 6
    max_connections = 100
    bounds = RoutingBounds()
    shares_plain_places = False

    def __init__(
        self,
        hosts: int = 2,
        servers: int = 6,
        down_seconds: float = 2.0,
        service_seconds: float = 0.02,
    ) -> None:
        self.store = MetadataApp()
        self._store_address = free_address()
        self._store_server: HttpServer | None = None
        self.servers = [
            self.server_class(
                f"p{number}",
                down_seconds,
                service_seconds,
                self._register,
                self._expire_later,
            )
            for number in range(servers)
        ]
        self.host_names = [f"host-{number}" for number in range(hosts)]
        self.nodes: dict[str, RouterNode] = {}
        self._addresses: dict[str, str] = {}
        self._peers: dict[str, str] = {}

    @property
    def crash_times(self) -> list[float]:
        return sorted(t for server in self.servers for t in server.crash_times)

    @property
    def bad_part_times(self) -> list[float]:
        """Return when requests with a part that crashes servers reached one."""
        return sorted(t for server in self.servers for t in server.bad_part_times)

    async def __aenter__(self) -> Self:
        host, port = self._store_address.rsplit(":", 1)
        self._store_server = HttpServer(self.store.app(), host, int(port))
        await self._store_server.start()
        self.store.put("op/config", self._configuration())
        for server in self.servers:
            await server.start()
        for name in self.host_names:
            await self.start_host(name)
        for name in self.host_names:
            while not await self._serves(name):
                await asyncio.sleep(0.05)
        while any(len(n._view.hosts) < len(self.nodes) for n in self.nodes.values()):
            await asyncio.sleep(0.05)
        return self

    async def _serves(self, name: str) -> bool:
        """Return whether a host serves requests."""
        return (await self.call(name, b"ready?"))[0] == 200

    async def __aexit__(self, *exc: object) -> None:
        for name in list(self.nodes):
            await self.kill_host(name)
        for server in self.servers:
            await server.stop()
        # During an outage, open watches end at their next poll. Aborting the server
        # while they are open would log errors.
        self.store.set_unavailable(is_unavailable=True)
        await asyncio.sleep(2 * WATCH_POLL_SECONDS)
        assert self._store_server is not None
        await self._store_server.abort()

    async def start_host(self, name: str) -> None:
        """Start a host; one that was killed starts again at the same addresses."""
        callers = self._addresses.setdefault(name, free_address())
        settings = HostSettings(
            host=HostId(name),
            domain=DomainName(_DOMAIN),
            callers=callers,
            readiness=free_address(),
            peers=self._peers.setdefault(name, free_address()),
            metrics=free_address(),
            store=StoreSettings(self._store_address),
            bounds=self.bounds,
            shares_plain_places=self.shares_plain_places,
        )
        node = RouterNode(
            settings,
            PlatformStore(await self._store_address_of(name)),
            PlatformEngineClient(),
            PlatformRelayCodec(),
            await self._decoder(name),
            self._clock(name),
            random.Random(),
        )
        await node.start()
        self.nodes[name] = node

    async def _decoder(self, host: str) -> MetadataDecoder:
        """Return what a host decodes the platform's entries with."""
        return PlatformMetadataCodec()

    async def _store_address_of(self, host: str) -> str:
        """Return where a host reaches the metadata store."""
        return self._store_address

    def _clock(self, host: str) -> SystemClock:
        """Return the clock of a host."""
        return SystemClock()

    def _configuration(self) -> bytes:
        """Return the routing configuration that the operators declare first."""
        return encode_configuration(self.max_connections)

    async def kill_host(self, name: str) -> None:
        """End a host without draining its connections."""
        await self.nodes.pop(name).abort()

    async def call(
        self,
        host: str,
        body: bytes,
        path: str = "/safe/a",
        method: str = "POST",
        **fields: str,
    ) -> tuple[int, dict[str, str]]:
        """Send one request on a new connection; return the status and the fields.

        The status is 0 if the connection ends without a response.
        """
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {CALLER_HOST}",
            f"X-Request-Id: {random.getrandbits(64):016x}",
            "X-Deadline-Ms: 3000",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *(f"{key.replace('_', '-')}: {value}" for key, value in fields.items()),
        ]
        reader, writer = await asyncio.open_connection(*self.address_of(host))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                data = await reader.read()
        except ConnectionError:
            data = b""
        finally:
            writer.close()
        if not data:
            return 0, {}
        status_line, *rest = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
        split = (line.split(":", 1) for line in rest)
        headers = {key.lower(): value.strip() for key, value in split}
        return int(status_line.split()[1]), headers

    def address_of(self, host: str) -> tuple[str, int]:
        """Return where a host listens for callers."""
        address, port = self._addresses[host].rsplit(":", 1)
        return address, int(port)

    async def call_steadily(
        self,
        calls: int,
        interval: float,
        prefix: bytes,
        paths: tuple[str, ...] = ("/safe/a", "/once/a"),
    ) -> Counter[int]:
        """Send distinct requests to the hosts in turn; return how often each status.

        Request ``n``, whose body ends with its number, goes to host ``n`` modulo the
        number of hosts.
        """
        running: list[asyncio.Task[tuple[int, dict[str, str]]]] = []
        for number in range(calls):
            host = self.host_names[number % len(self.host_names)]
            body = prefix + b" %d" % number
            path = paths[number % len(paths)]
            running.append(asyncio.create_task(self.call(host, body, path)))
            await asyncio.sleep(interval)
        return Counter([(await task)[0] for task in running])

    def _register(self, server: CrashingServer) -> None:
        entry = {
            "service": _SERVICE,
            "address": server.address,
            "zone": _DOMAIN,
            "version": server.version,
            "slots": self.server_slots,
            "state": "ready",
            "sequence": 1,
            "born": 1_000 + server.start_number,
        }
        self.store.put(f"servers/{server.id}", json.dumps(entry).encode())

    def _expire_later(self, server: CrashingServer) -> None:
        if server.keeps_id:
            return
        ended = server.id

        def expire() -> None:
            # A later start may have registered under the same id.
            if not (server.is_running and server.id == ended):
                self.store.remove(f"servers/{ended}")

        asyncio.get_running_loop().call_later(_ENTRY_EXPIRY_SECONDS, expire)


def encode_configuration(
    max_connections: int, version: int = 1, **others: object
) -> bytes:
    """Return a routing configuration, with ``others`` as further fields."""
    routes = [
        {
            "name": prefix,
            "host": CALLER_HOST,
            "pathPrefix": f"/{prefix}/",
            "kind": kind,
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "service": _SERVICE,
            "maxAttempts": 3,
            **options,
        }
        for kind, prefix, options in _ROUTES
    ]
    service = {"name": _SERVICE, "maxConnections": max_connections}
    data = {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": {},
        **others,
    }
    return json.dumps(data).encode()
