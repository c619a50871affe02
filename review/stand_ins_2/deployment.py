"""Start the store's stand-in and routers, and end everything afterwards."""

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record
from .routers import DEPENDENCIES, Router, free_port
from .store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
HOST = "desk.example"


class CouldNotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Deployment:
    """Hold the store, the routers and the record of one play."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.store = Store()
        self.routers: list[Router] = []
        self.record = record
        self._folder = folder

    def configure(self, version: int, routes: list[dict], services: list[dict]) -> None:
        self.store.put_json(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
            },
        )

    async def start_routers(self, count: int, **bounds: object) -> None:
        """Start routers as at the first start of a deployment."""
        for number in range(1, count + 1):
            port = free_port()
            await self.store.listen(f"edge-{number}", "127.0.0.1", port)
            router = Router(f"edge-{number}", "z1", self._folder, port, bounds)
            self.routers.append(router)
        for router in self.routers:
            await router.start(is_first=True)
        for router in self.routers:
            if not await router.wait_ready():
                raise CouldNotRun(f"{router.name} is not ready")
        self.record.note(f"{count} routers are ready")

    async def stop(self) -> None:
        for router in self.routers:
            await router.kill()


def route(name: str, prefix: str, service: str, **values: object) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 1200,
        "targetLatencyMs": 150,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        **values,
    }


def plain_service(name: str) -> dict:
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
    }


def model_service(name: str, slots: int, places: int) -> dict:
    model = {
        "name": "m",
        "weightsMb": 34300.0,
        "loadS": 2.7,
        "adapters": 3000,
        "adapterMb": 40.0,
        "warmS": 0.78,
        "diskS": 1.1,
    }
    engine = {
        "slots": slots,
        "kvCapacity": 150175,
        "tokenKvBytes": 131072,
        "linkMbps": 550000.0,
        "stride": 2,
        "models": [model],
        "weightsMb": 35700.0,
        "adapterSlots": places,
        "loadsPerS": 6.0,
    }
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 620,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def play(
    folder: Path, scenario: Callable[[Deployment], Awaitable[bool]], seconds: float
) -> None:
    """Play a scenario, which returns whether the rule held, and exit accordingly."""
    sys.exit(asyncio.run(_play(folder, scenario, seconds)))


async def _play(
    folder: Path, scenario: Callable[[Deployment], Awaitable[bool]], seconds: float
) -> int:
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(Path(temporary), record)
        try:
            if not DEPENDENCIES.is_dir():
                raise CouldNotRun("target/deps is missing: run sh deploy/build.sh")
            async with asyncio.timeout(seconds):
                held = await scenario(deployment)
        except (CouldNotRun, TimeoutError, OSError) as error:
            record.note(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await deployment.stop()
            record.close()
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
