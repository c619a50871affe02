"""Run routers, engines and a metadata store in one process, over real sockets."""

import asyncio
import json
import random
from typing import Final

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.lab.router.adapter_engine_app import AdapterEngineApp
from gooseberrydeal._internal.lab.router.metadata_app import (
    WATCH_LOOK_SECONDS,
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
_DOMAIN: Final = "lab-a"


class RouterCluster:
    """Own all parts; hosts can be stopped and the store can be away."""

    def __init__(self, hosts: int, engines: int, slots: int) -> None:
        self._store = MetadataApp()
        self._store_address = free_address()
        self._slots = slots
        self._engines = {
            f"i-{number}": AdapterEngineApp(f"i-{number}", MODEL, slots)
            for number in range(engines)
        }
        self._servers: list[HttpServer] = []
        self._nodes: dict[str, RouterNode] = {}
        self._callers: dict[str, str] = {}
        self._metrics: dict[str, str] = {}
        self._host_count = hosts

    @property
    def store(self) -> MetadataApp:
        """Return the metadata store."""
        return self._store

    @property
    def engines(self) -> dict[str, AdapterEngineApp]:
        """Return the engines by their ids."""
        return self._engines

    @property
    def addresses(self) -> dict[str, str]:
        """Return where each running host takes callers, as ``IP:port``."""
        return {name: self._callers[name] for name in self._nodes}

    @property
    def metrics_addresses(self) -> dict[str, str]:
        """Return where each running host serves its metrics, as ``IP:port``."""
        return {name: self._metrics[name] for name in self._nodes}

    async def start(self) -> None:
        """Start the store, the engines and the hosts."""
        await self._serve(self._store_address, self._store)
        self._store.put("op/config", self._configuration())
        for name, engine in self._engines.items():
            address = free_address()
            await self._serve(address, engine)
            entry = engine.entry(SERVICE, address, _DOMAIN)
            self._store.put(f"servers/{name}", entry)
        for number in range(self._host_count):
            await self.start_host(f"host-{number}", is_first_start=True)

    async def start_host(self, name: str, *, is_first_start: bool) -> None:
        """Start a router."""
        callers = free_address()
        settings = HostSettings(
            host=HostId(name),
            domain=DomainName(_DOMAIN),
            callers=callers,
            readiness=free_address(),
            peers=free_address(),
            metrics=free_address(),
            store=StoreSettings(self._store_address),
            is_first_start=is_first_start,
            bounds=RoutingBounds(grace=4.0),
        )
        node = RouterNode(
            settings,
            PlatformStore(self._store_address),
            PlatformEngineClient(),
            PlatformRelayCodec(),
            PlatformMetadataCodec(),
            SystemClock(),
            random.Random(name),
        )
        await node.start()
        self._nodes[name] = node
        self._callers[name] = callers
        self._metrics[name] = settings.metrics

    async def stop_host(self, name: str) -> int:
        """Stop a router in order; return how many replies were cut."""
        return await self._nodes.pop(name).stop()

    async def stop(self) -> None:
        """Stop everything at once."""
        for node in self._nodes.values():
            await node.abort()
        self._nodes.clear()
        # Watches that wait end by themselves; cutting them would log errors.
        self._store.set_away(is_away=True)
        await asyncio.sleep(2 * WATCH_LOOK_SECONDS)
        for server in self._servers:
            await server.abort()

    async def _serve(self, address: str, part: MetadataApp | AdapterEngineApp) -> None:
        host, port = address.rsplit(":", 1)
        server = HttpServer(part.app(), host, int(port))
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
