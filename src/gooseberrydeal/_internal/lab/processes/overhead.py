"""Measure what the whole path adds to a stand-in called directly."""

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
from gooseberrydeal._internal.lab.processes.attached import Attached

_RATE: Final = 200.0
_SECONDS: Final = 8.0
_ADAPTERS: Final = 24
_TOKEN_SIZES: Final = (1, 8, 32)
_SLOPE_RATE: Final = 40.0
_SLOPE_SECONDS: Final = 6.0
_MILLISECONDS: Final = 1000.0


class Overhead:
    """Compare first tokens in one run, and fit processor time to its causes."""

    def __init__(self, path: Path) -> None:
        self._attached = Attached(path)
        self._random = random.Random(1)
        engines = self._attached.about["engines"]
        self._direct = {name: LabClient(url) for name, url in engines.items()}

    async def run(self) -> dict[str, Any]:
        """Return latencies in milliseconds and processor time in milliseconds."""
        await self._attached.wait_ready()
        await self._warm()
        copies = await self._copies()
        through, direct = await self._compare(copies)
        slopes = await self._slopes()
        await self._attached.close()
        added = {
            f"p{p}": round((through.at(p) - direct.at(p)) * _MILLISECONDS, 2)
            for p in (50, 99)
        }
        return {
            "scenario": "overhead",
            "rate": _RATE,
            "direct_ms": {f"p{p}": round(direct.at(p) * 1000, 2) for p in (50, 99)},
            "through_ms": {f"p{p}": round(through.at(p) * 1000, 2) for p in (50, 99)},
            "added_ms": added,
            "target_ms": {"p50": 3.0, "p99": 10.0},
            "met": added["p50"] <= 3.0 and added["p99"] <= 10.0,  # noqa: PLR2004
            "processor": slopes,
        }

    async def _warm(self) -> None:
        clients = self._attached.clients
        for number in range(_ADAPTERS * 2):
            client = clients[number % len(clients)]
            await client.complete(adapter_name(number % _ADAPTERS), "warm", tokens=1)

    async def _copies(self) -> list[tuple[str, str]]:
        """Return the loaded copies, for calls without us."""
        copies = []
        for name, client in self._direct.items():
            _, models = await client.get("/v1/models")
            copies += [(name, m["id"]) for m in models["data"] if m.get("parent")]
        return copies

    async def _compare(
        self, copies: list[tuple[str, str]]
    ) -> tuple[Quantiles, Quantiles]:
        """Send every other request directly, all at one rate."""
        clients = self._attached.clients
        through: list[asyncio.Task[float | None]] = []
        direct: list[asyncio.Task[float | None]] = []
        began = time.monotonic()
        due = began
        number = 0
        while due < began + _SECONDS:
            due += self._random.expovariate(_RATE)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            if number % 2:
                client = clients[number // 2 % len(clients)]
                model = adapter_name(self._random.randrange(_ADAPTERS))
                through.append(asyncio.create_task(_first(client, model)))
            else:
                engine, copy = self._random.choice(copies)
                direct.append(asyncio.create_task(_first(self._direct[engine], copy)))
        return (
            Quantiles(await asyncio.gather(*through)),
            Quantiles(await asyncio.gather(*direct)),
        )

    async def _slopes(self) -> dict[str, Any]:
        """Fit processor time a role to tokens, at a fixed rate of requests."""
        points: dict[str, list[tuple[float, float]]] = {"entry": [], "keeper": []}
        idle = await self._processor(0, 0.0)
        for tokens in _TOKEN_SIZES:
            used = await self._processor(tokens, _SLOPE_RATE)
            for role, role_points in points.items():
                role_points.append((tokens, used[role] - idle[role]))
        requests = _SLOPE_RATE * _SLOPE_SECONDS
        result: dict[str, Any] = {"idle_core_share": {}}
        for role, role_points in points.items():
            slope, intercept = fit_line(role_points)
            result[role] = {
                "ms_a_request": round(intercept / requests * _MILLISECONDS, 3),
                "ms_a_token": round(slope / requests * _MILLISECONDS, 4),
                "points": [(n, round(s, 3)) for n, s in role_points],
            }
            hosts = len(self._attached.about["keepers"])
            share = idle[role] / _SLOPE_SECONDS / hosts
            result["idle_core_share"][role] = round(share, 4)
        return result

    async def _processor(self, tokens: int, rate: float) -> dict[str, float]:
        """Return the processor seconds of each role while requests are sent."""
        before = self._times()
        tasks = []
        began = time.monotonic()
        clients = self._attached.clients
        for number in range(int(rate * _SLOPE_SECONDS)):
            due = began + number / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            client = clients[number % len(clients)]
            model = adapter_name(number % _ADAPTERS)
            tasks.append(
                asyncio.create_task(client.complete(model, "p", tokens=tokens))
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, began + _SLOPE_SECONDS - time.monotonic()))
        after = self._times()
        return {role: after[role] - before[role] for role in after}

    def _times(self) -> dict[str, float]:
        about = self._attached.about
        names = {
            "entry": [f"entry-{name}" for name in about["entry_names"]],
            "keeper": [f"keeper-{name}" for name in about["keepers"]],
        }
        return {
            role: sum(self._time_of(name) for name in listed)
            for role, listed in names.items()
        }

    def _time_of(self, name: str) -> float:
        pid = self._attached.folder.pid(name)
        if pid is None:
            return 0.0
        times = psutil.Process(pid).cpu_times()
        return float(times.user + times.system)


async def _first(client: LabClient, model: str) -> float | None:
    result = await client.complete(model, "question", tokens=2)
    return result.first_seconds
