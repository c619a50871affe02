"""Measure the latency that the serving path adds to direct engine calls."""

import asyncio
import random
import time
from pathlib import Path
from typing import Any, Final

import psutil

from gooseberrydeal._internal.lab.bench.quantiles import Quantiles
from gooseberrydeal._internal.lab.lab_client import LabClient
from gooseberrydeal._internal.lab.lab_configuration import adapter_name
from gooseberrydeal._internal.lab.least_squares import fit_line
from gooseberrydeal._internal.lab.processes.attached import DeploymentClient

_REQUESTS_PER_SECOND: Final = 200.0
_LATENCY_RUN_SECONDS: Final = 8.0
_ADAPTERS: Final = 24
_TOKENS_PER_REQUEST: Final = (1, 8, 32)
_CPU_RUN_REQUESTS_PER_SECOND: Final = 40.0
_CPU_RUN_SECONDS: Final = 6.0
_MILLISECONDS_PER_SECOND: Final = 1000.0


class Overhead:
    """Compare direct and proxied times to first token, and fit CPU time to load.

    Proxied and direct requests alternate in one run, so that both see the same load.
    """

    def __init__(self, path: Path) -> None:
        self._deployment = DeploymentClient(path)
        self._random = random.Random(1)
        engines = self._deployment.description["engines"]
        self._direct = {name: LabClient(url) for name, url in engines.items()}

    async def run(self) -> dict[str, Any]:
        """Return latencies and CPU times, both in milliseconds."""
        await self._deployment.wait_ready()
        await self._warm_up()
        copies = await self._loaded_copies()
        proxied, direct = await self._measure_first_tokens(copies)
        cpu_fits = await self._fit_cpu_time()
        await self._deployment.close()
        added = {
            f"p{p}": round((proxied.at(p) - direct.at(p)) * _MILLISECONDS_PER_SECOND, 2)
            for p in (50, 99)
        }
        return {
            "scenario": "overhead",
            "rate": _REQUESTS_PER_SECOND,
            "direct_ms": {f"p{p}": round(direct.at(p) * 1000, 2) for p in (50, 99)},
            "through_ms": {f"p{p}": round(proxied.at(p) * 1000, 2) for p in (50, 99)},
            "added_ms": added,
            "target_ms": {"p50": 3.0, "p99": 10.0},
            "met": added["p50"] <= 3.0 and added["p99"] <= 10.0,  # noqa: PLR2004
            "processor": cpu_fits,
        }

    async def _warm_up(self) -> None:
        clients = self._deployment.clients
        for number in range(_ADAPTERS * 2):
            client = clients[number % len(clients)]
            await client.complete(adapter_name(number % _ADAPTERS), "warm", tokens=1)

    async def _loaded_copies(self) -> list[tuple[str, str]]:
        """Return engine and name of each loaded copy, for direct calls."""
        copies = []
        for name, client in self._direct.items():
            _, models = await client.get("/v1/models")
            copies += [(name, m["id"]) for m in models["data"] if m.get("parent")]
        return copies

    async def _measure_first_tokens(
        self, copies: list[tuple[str, str]]
    ) -> tuple[Quantiles, Quantiles]:
        """Alternate proxied and direct requests, in one Poisson arrival process."""
        clients = self._deployment.clients
        proxied: list[asyncio.Task[float | None]] = []
        direct: list[asyncio.Task[float | None]] = []
        began = time.monotonic()
        due = began
        number = 0
        while due < began + _LATENCY_RUN_SECONDS:
            due += self._random.expovariate(_REQUESTS_PER_SECOND)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            if number % 2:
                client = clients[number // 2 % len(clients)]
                model = adapter_name(self._random.randrange(_ADAPTERS))
                proxied.append(asyncio.create_task(_first_token_seconds(client, model)))
            else:
                engine, copy = self._random.choice(copies)
                direct.append(
                    asyncio.create_task(
                        _first_token_seconds(self._direct[engine], copy)
                    )
                )
        return (
            Quantiles(await asyncio.gather(*proxied)),
            Quantiles(await asyncio.gather(*direct)),
        )

    async def _fit_cpu_time(self) -> dict[str, Any]:
        """Fit each role's CPU time to the tokens per request, at a fixed rate."""
        points: dict[str, list[tuple[float, float]]] = {"entry": [], "keeper": []}
        idle = await self._cpu_seconds_under_load(0, 0.0)
        for tokens in _TOKENS_PER_REQUEST:
            used = await self._cpu_seconds_under_load(
                tokens, _CPU_RUN_REQUESTS_PER_SECOND
            )
            for role, role_points in points.items():
                role_points.append((tokens, used[role] - idle[role]))
        requests = _CPU_RUN_REQUESTS_PER_SECOND * _CPU_RUN_SECONDS
        result: dict[str, Any] = {"idle_core_share": {}}
        for role, role_points in points.items():
            slope, intercept = fit_line(role_points)
            result[role] = {
                "ms_a_request": round(
                    intercept / requests * _MILLISECONDS_PER_SECOND, 3
                ),
                "ms_a_token": round(slope / requests * _MILLISECONDS_PER_SECOND, 4),
                "points": [(n, round(s, 3)) for n, s in role_points],
            }
            hosts = len(self._deployment.description["keepers"])
            share = idle[role] / _CPU_RUN_SECONDS / hosts
            result["idle_core_share"][role] = round(share, 4)
        return result

    async def _cpu_seconds_under_load(
        self, tokens: int, rate: float
    ) -> dict[str, float]:
        """Return the CPU seconds that each role uses while requests are sent."""
        before = self._cpu_seconds()
        tasks = []
        began = time.monotonic()
        clients = self._deployment.clients
        for number in range(int(rate * _CPU_RUN_SECONDS)):
            due = began + number / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            client = clients[number % len(clients)]
            model = adapter_name(number % _ADAPTERS)
            tasks.append(
                asyncio.create_task(client.complete(model, "p", tokens=tokens))
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, began + _CPU_RUN_SECONDS - time.monotonic()))
        after = self._cpu_seconds()
        return {role: after[role] - before[role] for role in after}

    def _cpu_seconds(self) -> dict[str, float]:
        description = self._deployment.description
        names = {
            "entry": [f"entry-{name}" for name in description["entry_names"]],
            "keeper": [f"keeper-{name}" for name in description["keepers"]],
        }
        return {
            role: sum(self._cpu_seconds_of(name) for name in listed)
            for role, listed in names.items()
        }

    def _cpu_seconds_of(self, name: str) -> float:
        pid = self._deployment.folder.pid(name)
        if pid is None:
            return 0.0
        times = psutil.Process(pid).cpu_times()
        return float(times.user + times.system)


async def _first_token_seconds(client: LabClient, model: str) -> float | None:
    result = await client.complete(model, "question", tokens=2)
    return result.first_seconds
