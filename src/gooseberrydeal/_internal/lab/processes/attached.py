"""Connect to a lab deployment that runs as separate processes."""

import asyncio
import time
from pathlib import Path
from typing import Any, Final

from gooseberrydeal._internal.exceptions import PeerError
from gooseberrydeal._internal.lab.lab_client import LabClient
from gooseberrydeal._internal.lab.processes.folder import DeploymentFolder
from gooseberrydeal._internal.models.settings import CtlSettings
from gooseberrydeal._internal.network.http_session import HttpSession
from gooseberrydeal._internal.operations.fleet_client import FleetClient
from gooseberrydeal._internal.utils.clock import SystemClock

_READY_TIMEOUT_SECONDS: Final = 40.0
_POLL_INTERVAL_SECONDS: Final = 0.2
_READ_TIMEOUT_SECONDS: Final = 10.0
_SETTLE_SECONDS: Final = 3.0


class DeploymentClient:
    """Hold clients of the entries and of the stand-ins' control API."""

    def __init__(self, path: Path) -> None:
        self._folder = DeploymentFolder(path)
        self._description: dict[str, Any] = self._folder.read("deployment")
        self._control = HttpSession(
            self._description["control"], read_seconds=_READ_TIMEOUT_SECONDS
        )
        self._clients = [LabClient(url) for url in self._description["entries"]]

    @property
    def folder(self) -> DeploymentFolder:
        """Return the deployment's folder."""
        return self._folder

    @property
    def description(self) -> dict[str, Any]:
        """Return the URLs and names of the deployment's parts (``deployment.json``)."""
        return self._description

    @property
    def clients(self) -> list[LabClient]:
        """Return one client per entry."""
        return self._clients

    async def wait_ready(self) -> float:
        """Wait until every backend server is usable; return the seconds it took.

        Raise ``TimeoutError`` if that takes more than 40 seconds.
        """
        began = time.monotonic()
        settings = CtlSettings.model_validate(self._folder.read("ctl"))
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while not await self._is_ready(settings):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        elapsed = time.monotonic() - began
        await asyncio.sleep(_SETTLE_SECONDS)
        return elapsed

    async def control(self, path: str, body: object) -> None:
        """Post a JSON body to a path of the stand-ins' control API."""
        await self._control.call_json("POST", path, body)

    async def log(self) -> dict[str, Any]:
        """Return the stand-ins' logs: engine runs, bookings and platform calls."""
        found: dict[str, Any] = await self._control.call_json("GET", "/log")
        return found

    async def close(self) -> None:
        """Close all connections."""
        await self._control.close()
        for client in self._clients:
            await client.close()

    async def _is_ready(self, settings: CtlSettings) -> bool:
        fleet = FleetClient(settings, SystemClock())
        try:
            await fleet.connect()
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            now = time.monotonic()
            usable = fleet.view.usable_servers(now)
            return len(usable) >= int(self._description["servers"])
        except PeerError:
            return False
        finally:
            await fleet.close()
