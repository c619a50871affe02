"""Simulate what keepers and entries call when they run as separate processes."""

import asyncio
import dataclasses
from pathlib import Path
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrydeal._internal.lab.free_port import LOOPBACK
from gooseberrydeal._internal.lab.lab_cluster import LabCluster
from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.lab.processes.folder import DeploymentFolder
from gooseberrydeal._internal.network.http_server import HttpServer


class StandIns:
    """Run simulated platform, engines and services; write keeper and entry settings."""

    def __init__(self, plan: LabPlan, path: Path) -> None:
        self._cluster = LabCluster(plan)
        self._folder = DeploymentFolder(path)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._cluster.start_stand_ins()
        control = HttpServer(self._control_app(), LOOPBACK, 0)
        await control.start()
        for name, settings in self._cluster.keeper_settings.items():
            self._folder.write(f"keeper-{name}", settings.model_dump(mode="json"))
            self._cluster.platform.hosts[settings.listen] = "live"
        for name, entry in self._cluster.entry_settings.items():
            self._folder.write(f"entry-{name}", entry.model_dump(mode="json"))
        self._folder.write("ctl", self._cluster.ctl_settings().model_dump(mode="json"))
        self._folder.write(
            "deployment",
            {
                "control": f"http://{LOOPBACK}:{control.port}",
                "platform": self._cluster.platform_url,
                "entries": self._cluster.entry_urls,
                "engines": {
                    name: f"http://{engine.address}"
                    for name, engine in self._cluster.engines.items()
                },
                "keepers": sorted(self._cluster.keeper_settings),
                "entry_names": sorted(self._cluster.entry_settings),
                "servers": len(self._cluster.engines) + len(self._cluster.services),
            },
        )
        await asyncio.Event().wait()

    def _control_app(self) -> Starlette:
        return Starlette(
            routes=[
                Route("/log", self._log),
                Route("/crash/{engine}", self._crash, methods=["POST"]),
                Route("/faults/{engine}", self._faults, methods=["POST"]),
                Route("/platform", self._platform, methods=["POST"]),
                Route("/hosts", self._hosts, methods=["POST"]),
            ]
        )

    async def _log(self, request: Request) -> Response:
        engines: dict[str, Any] = {}
        for name, engine in self._cluster.engines.items():
            log = engine.app.log
            engines[name] = {
                "runs": [dataclasses.asdict(run) for run in log.runs],
                "evicted_in_use": log.evicted_in_use,
                "stale_orders": log.stale_orders,
                "crashes": engine.crashes,
                "tokens": log.tokens,
            }
        services = {
            name: dict(service.bookings)
            for name, service in self._cluster.services.items()
        }
        weights = self._cluster.platform.weights
        return JSONResponse(
            {
                "engines": engines,
                "services": services,
                "refused_fetches": weights.refused,
                "calls": dict(self._cluster.platform.calls),
            }
        )

    async def _crash(self, request: Request) -> Response:
        await self._cluster.engines[request.path_params["engine"]].crash()
        return JSONResponse({})

    async def _faults(self, request: Request) -> Response:
        engine = self._cluster.engines[request.path_params["engine"]]
        for name, value in (await request.json()).items():
            setattr(engine.app.faults, name, value)
        return JSONResponse({})

    async def _platform(self, request: Request) -> Response:
        for name, value in (await request.json()).items():
            setattr(self._cluster.platform.faults, name, value)
        return JSONResponse({})

    async def _hosts(self, request: Request) -> Response:
        """Set the listed state of each host; null removes it from the host list."""
        for address, state in (await request.json()).items():
            if state is None:
                self._cluster.platform.hosts.pop(address, None)
            else:
                self._cluster.platform.hosts[address] = state
        return JSONResponse({})
