"""Run arrivals against a deployment of stand-ins."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from gooseberrydeal._internal.lab.bench.arrival import Arrival
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.sample import Sample
from gooseberrydeal._internal.lab.lab_client import LabClient
from gooseberrydeal._internal.lab.lab_cluster import LabCluster
from gooseberrydeal._internal.lab.lab_configuration import PLAIN_SERVICE, adapter_name
from gooseberrydeal._internal.lab.lab_plan import LabPlan

Disturb = Callable[[LabCluster], Coroutine[Any, Any, None]]
_SERIES_SECONDS = 0.5


class Experiment:
    """Send each request at its time, whatever became of those before it."""

    def __init__(self, plan: LabPlan, disturb: Disturb | None = None) -> None:
        self._cluster = LabCluster(plan)
        self._disturb = disturb
        self._record = RunRecord(plan.policy)
        self._clients: list[LabClient] = []
        self._open = 0

    async def run(
        self, arrivals: Sequence[Arrival], warm: Sequence[int] = ()
    ) -> RunRecord:
        """Return what came of the arrivals; ``warm`` adapters are asked for first."""
        await self._cluster.start()
        self._clients = [LabClient(url) for url in self._cluster.entry_urls]
        try:
            await self._warm(warm)
            await self._measure(arrivals)
            self._collect()
        finally:
            for client in self._clients:
                await client.close()
            await self._cluster.stop()
        return self._record

    async def _warm(self, adapters: Sequence[int]) -> None:
        """Ask for adapters at the store's pace, so that a run begins loaded."""
        pause = 1.2 / self._cluster.plan.loads_per_second
        tasks = []
        for number, adapter in enumerate(adapters):
            client = self._clients[number % len(self._clients)]
            request = client.complete(adapter_name(adapter), "warm", tokens=2)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(pause)
        await asyncio.gather(*tasks)

    async def _measure(self, arrivals: Sequence[Arrival]) -> None:
        self._forget_warming()
        disturbing: asyncio.Task[None] | None = None
        if self._disturb is not None:
            disturbing = asyncio.create_task(self._disturb(self._cluster))
        following = asyncio.create_task(self._follow())
        processor = time.process_time()
        self._record.started = time.monotonic()
        tasks = []
        for number, arrival in enumerate(arrivals):
            due = self._record.started + arrival.at
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(number, arrival, due)))
        await asyncio.gather(*tasks)
        self._record.processor_seconds = time.process_time() - processor
        following.cancel()
        if disturbing is not None:
            disturbing.cancel()

    def _forget_warming(self) -> None:
        for engine in self._cluster.engines.values():
            engine.app.log.runs.clear()
            engine.app.log.tokens = 0
        self._cluster.platform.weights.fetch_start_times.clear()

    async def _send(self, number: int, arrival: Arrival, due: float) -> None:
        client = self._clients[number % len(self._clients)]
        late = max(0.0, time.monotonic() - due)
        headers = {"X-Work-Class": arrival.work_class}
        self._open += 1
        if arrival.operation:
            result = await client.call(
                PLAIN_SERVICE, arrival.operation, {"number": number}, headers=headers
            )
        else:
            result = await client.complete(
                adapter_name(arrival.adapter),
                f"question {number}",
                tokens=arrival.tokens,
                headers=headers,
            )
        self._open -= 1
        self._record.samples.append(Sample(arrival, result, late))

    async def _follow(self) -> None:
        """Note queues, loads and refusals over time, for the plots."""
        while True:
            await asyncio.sleep(_SERIES_SECONDS)
            owners = [
                owner
                for keeper in self._cluster.keepers.values()
                for owner in keeper.owners.values()
            ]
            self._record.series.append(
                {
                    "at": time.monotonic() - self._record.started,
                    "queued": sum(len(owner.waiting) for owner in owners),
                    "running": sum(len(owner.running) for owner in owners),
                    "open": self._open,
                    "fetches": len(self._cluster.platform.weights.fetch_start_times),
                }
            )

    def _collect(self) -> None:
        record = self._record
        for engine in self._cluster.engines.values():
            record.evicted_in_use += engine.app.log.evicted_in_use
            record.tokens += engine.app.log.tokens
            record.engine_runs += len(engine.app.log.runs)
            for run in engine.app.log.runs:
                record.runs[run.request_id] += 1
        for entry in self._cluster.entries.values():
            record.waited |= entry.runner.waited_for_load
        weights = self._cluster.platform.weights
        record.fetch_times = [at - record.started for at in weights.fetch_start_times]
        record.refused_fetches = weights.refused
        record.most_in_flight = weights.most_in_flight
