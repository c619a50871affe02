"""Start a small deployment with one service of model engines."""

import json
import tempfile
from pathlib import Path

from addresses import free_ports
from engine import Engine
from record import Record
from routers import Router
from store import Store

SERVICE, MODEL, CALLER_HOST, PREFIX = "advisor", "daka", "desk.example", "/advice/"
SLOTS = 4
_READY_SECONDS = 25.0


def configuration(version: int = 1) -> dict:
    """Return the configuration of the deployment."""
    return {
        "version": version,
        "routes": [{
            "name": "advice", "host": CALLER_HOST, "pathPrefix": PREFIX,
            "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 800,
            "priority": 0, "service": SERVICE, "maxAttempts": 1, "sticky": True,
            "resumable": False, "gapAimMs": 400,
        }],
        "services": [{
            "name": SERVICE, "healthPath": "/health", "maxConnections": 200,
            "protocol": "h1", "tls": False,
            "engine": {
                "slots": 128, "kvCapacity": 150175, "stride": 2,
                "models": [{"name": MODEL, "weightsMb": 34300.0, "loadS": 2.7,
                            "adapters": 3000, "adapterMb": 40.0}],
                "weightsMb": 35700.0, "adapterSlots": SLOTS, "loadsPerS": 6.0,
            },
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Deployment:
    """Hold the store, the engines and the routers of a case.

    If ``joins_later``, the scenario starts the last router.
    """

    def __init__(
        self, record: Record, routers: int, engines: int, *, joins_later: bool
    ) -> None:
        self._at_start = routers - joins_later
        self.record = record
        self.store = Store(record)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        machines = [f"127.0.41.{n + 1}" for n in range(routers)]
        stores = [f"127.0.42.{n + 1}" for n in range(routers)]
        port = free_ports([*machines, *stores, "127.0.43.1"], max(12, engines))
        self._port = port
        self._stores = stores
        self.routers = [
            Router(f"edge-{n + 1}", "zone-a", ip, port, f"{stores[n]}:{port}",
                   Path(self._folder.name), record)
            for n, ip in enumerate(machines)
        ]
        self.engines = [
            Engine(f"i-{n + 1:04x}", SERVICE, MODEL, SLOTS, "zone-a", record, self.store)
            for n in range(engines)
        ]

    @property
    def folder(self) -> Path:
        return Path(self._folder.name)

    @property
    def fronts(self) -> list[str]:
        return [router.front for router in self.routers[: self._at_start]]

    def router(self, name: str) -> Router:
        return next(item for item in self.routers if item.name == name)

    async def start(self) -> bool:
        """Start all; return whether all routers that start became ready."""
        self.store.put_json("op/config", configuration())
        for n, router in enumerate(self.routers):
            await self.store.listen(router.name, self._stores[n], self._port)
        for n, engine in enumerate(self.engines):
            await engine.start("127.0.43.1", self._port + n)
        at_start = self.routers[: self._at_start]
        for router in at_start:
            await router.start(is_first=True)
        ready = [await router.wait_ready(_READY_SECONDS) for router in at_start]
        return all(ready)

    async def stop(self) -> None:
        """End all processes that were started, and all stand-ins."""
        for router in self.routers:
            await router.kill()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        self._folder.cleanup()


def owner_of(store: Store, engine: str) -> str:
    """Return the machine whose record says that it gives orders to an engine."""
    value = store.value(f"gooseberrydeal/owners/{engine}")
    return "" if value is None else str(json.loads(value)[0])
