"""Run routers, engines and a metadata store in one process, over real sockets."""

import asyncio
import json
import random
from typing import Final

from starlette.applications import Starlette

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.lab.router.adapter_engine_app import AdapterEngineApp
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
from gooseberrydeal._internal.operations.router.router_node import RouterNode
from gooseberrydeal._internal.platform.engine_client import PlatformEngineClient
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.platform.store_client import PlatformStore
from gooseberrydeal._internal.utils.clock import SystemClock

MODEL: Final = "bavaria-8b"
SERVICE: Final = "language"
CALLER_HOST: Final = "language.example"
PATH_PREFIX: Final = "/letters/"
DOMAIN: Final = "lab-a"


class RouterCluster:
    """Run a router deployment; hosts can be stopped and a store outage simulated."""

    def __init__(self, hosts: int, engines: int, slots: int) -> None:
        self._store = MetadataApp()
        self._store_addresses: dict[str, str] = {}
        self._slots = slots
        self._engines = {
            f"i-{number}": AdapterEngineApp(f"i-{number}", MODEL, slots)
            for number in range(engines)
        }
        self._engine_addresses: dict[str, str] = {}
        self._servers: list[HttpServer] = []
        self._nodes: dict[str, RouterNode] = {}
        self._caller_addresses: dict[str, str] = {}
        self._metrics_addresses: dict[str, str] = {}
        self._host_count = hosts

    @property
    def store(self) -> MetadataApp:
        """Return the metadata store stand-in."""
        return self._store

    @property
    def engines(self) -> dict[str, AdapterEngineApp]:
        """Return the engine stand-ins by server id."""
        return self._engines

    @property
    def engine_addresses(self) -> dict[str, str]:
        """Return the address (``IP:port``) of each engine stand-in by server id."""
        return self._engine_addresses

    @property
    def addresses(self) -> dict[str, str]:
        """Return the caller address (``IP:port``) of each running host."""
        return {name: self._caller_addresses[name] for name in self._nodes}

    @property
    def metrics_addresses(self) -> dict[str, str]:
        """Return the metrics address (``IP:port``) of each running host."""
        return {name: self._metrics_addresses[name] for name in self._nodes}

    async def start(self) -> None:
        """Start the metadata store, the engines and the routers."""
        self._store.put("op/config", self._configuration())
        for name, engine in self._engines.items():
            address = self._engine_addresses[name] = free_address()
            await self._serve(address, engine.app())
            entry = engine.entry(SERVICE, address, DOMAIN)
            self._store.put(f"servers/{name}", entry)
        for number in range(self._host_count):
            await self.start_host(f"host-{number}", is_first_start=True)

    async def start_host(self, name: str, *, is_first_start: bool) -> None:
        """Start a router on new ports, with an address of the store of its own."""
        callers = free_address()
        store_address = await self.store_address(name)
        settings = HostSettings(
            host=HostId(name),
            domain=DomainName(DOMAIN),
            callers=callers,
            readiness=free_address(),
            peers=free_address(),
            metrics=free_address(),
            store=StoreSettings(store_address),
            is_first_start=is_first_start,
            bounds=RoutingBounds(grace=4.0),
        )
        node = RouterNode(
            settings,
            PlatformStore(store_address),
            PlatformEngineClient(),
            PlatformRelayCodec(),
            PlatformMetadataCodec(),
            SystemClock(),
            random.Random(name),
        )
        await node.start()
        self._nodes[name] = node
        self._caller_addresses[name] = callers
        self._metrics_addresses[name] = settings.metrics

    async def store_address(self, host: str) -> str:
        """Return the address (``IP:port``) of the store that serves one host."""
        if host not in self._store_addresses:
            self._store_addresses[host] = free_address()
            await self._serve(self._store_addresses[host], self._store.app(host))
        return self._store_addresses[host]

    async def stop_host(self, name: str) -> int:
        """Stop a router gracefully; return the number of replies that were cut off."""
        return await self._nodes.pop(name).stop()

    async def kill_host(self, name: str) -> None:
        """Stop a router without draining, as if its process was killed."""
        await self._nodes.pop(name).abort()

    async def stop(self) -> None:
        """Stop all routers, engines and the store without draining."""
        for node in self._nodes.values():
            await node.abort()
        self._nodes.clear()
        # During an outage, open watches end at their next poll. Aborting the server
        # while they are open would log errors.
        self._store.set_unavailable(is_unavailable=True)
        await asyncio.sleep(2 * WATCH_POLL_SECONDS)
        for server in self._servers:
            await server.abort()

    async def _serve(self, address: str, app: Starlette) -> None:
        host, port = address.rsplit(":", 1)
        server = HttpServer(app, host, int(port))
        await server.start()
        self._servers.append(server)

    def _configuration(self) -> bytes:
        route = {
            "name": "letters",
            "host": CALLER_HOST,
            "pathPrefix": PATH_PREFIX,
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 800,
            "service": SERVICE,
            "maxAttempts": 1,
            "gapAimMs": 400,
        }
        model = {"name": MODEL, "weightsMb": 16100, "loadS": 0.6, "adapterMb": 14}
        engine = {
            "slots": 32,
            "kvCapacity": 150000,
            "models": [model],
            "weightsMb": 17000,
            "adapterSlots": self._slots,
        }
        service = {"name": SERVICE, "maxConnections": 100, "engine": engine}
        data = {"version": 1, "routes": [route], "services": [service], "limits": {}}
        return json.dumps(data).encode()
