"""Send scheduled requests to a deployment with simulated backend servers."""

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

FaultInjector = Callable[[LabCluster], Coroutine[Any, Any, None]]
_SERIES_INTERVAL_SECONDS = 0.5


class Experiment:
    """Run an open-loop load: requests are sent on schedule, never held back.

    ``inject_faults`` runs beside the load until the last request has ended.
    """

    def __init__(
        self, plan: LabPlan, inject_faults: FaultInjector | None = None
    ) -> None:
        self._cluster = LabCluster(plan)
        self._inject_faults = inject_faults
        self._record = RunRecord(plan.policy)
        self._clients: list[LabClient] = []
        self._open_requests = 0

    async def run(
        self, arrivals: Sequence[Arrival], warm_adapters: Sequence[int] = ()
    ) -> RunRecord:
        """Load ``warm_adapters``, run the load, and return the record of the run."""
        await self._cluster.start()
        self._clients = [LabClient(url) for url in self._cluster.entry_urls]
        try:
            await self._warm_up(warm_adapters)
            await self._measure(arrivals)
            self._collect()
        finally:
            for client in self._clients:
                await client.close()
            await self._cluster.stop()
        return self._record

    async def _warm_up(self, adapters: Sequence[int]) -> None:
        """Request adapters no faster than the weight store allows, to load them."""
        pause = 1.2 / self._cluster.plan.loads_per_second
        tasks = []
        for number, adapter in enumerate(adapters):
            client = self._clients[number % len(self._clients)]
            request = client.complete(adapter_name(adapter), "warm", tokens=2)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(pause)
        await asyncio.gather(*tasks)

    async def _measure(self, arrivals: Sequence[Arrival]) -> None:
        self._reset_stand_in_logs()
        fault_task: asyncio.Task[None] | None = None
        if self._inject_faults is not None:
            fault_task = asyncio.create_task(self._inject_faults(self._cluster))
        series_task = asyncio.create_task(self._record_series())
        cpu_start = time.process_time()
        self._record.started_at = time.monotonic()
        tasks = []
        for number, arrival in enumerate(arrivals):
            due = self._record.started_at + arrival.at
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(number, arrival, due)))
        await asyncio.gather(*tasks)
        self._record.processor_seconds = time.process_time() - cpu_start
        series_task.cancel()
        if fault_task is not None:
            fault_task.cancel()

    def _reset_stand_in_logs(self) -> None:
        for engine in self._cluster.engines.values():
            engine.app.log.runs.clear()
            engine.app.log.tokens = 0
        self._cluster.platform.weights.fetch_start_times.clear()

    async def _send(self, number: int, arrival: Arrival, due: float) -> None:
        client = self._clients[number % len(self._clients)]
        late_seconds = max(0.0, time.monotonic() - due)
        headers = {"X-Work-Class": arrival.work_class}
        self._open_requests += 1
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
        self._open_requests -= 1
        self._record.samples.append(Sample(arrival, result, late_seconds))

    async def _record_series(self) -> None:
        """Sample queues, open requests and weight fetches over time, for the plots."""
        while True:
            await asyncio.sleep(_SERIES_INTERVAL_SECONDS)
            owners = [
                owner
                for keeper in self._cluster.keepers.values()
                for owner in keeper.owners.values()
            ]
            self._record.series.append(
                {
                    "at": time.monotonic() - self._record.started_at,
                    "queued": sum(len(owner.waiting) for owner in owners),
                    "running": sum(len(owner.running) for owner in owners),
                    "open": self._open_requests,
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
        record.fetch_times = [
            at - record.started_at for at in weights.fetch_start_times
        ]
        record.refused_fetches = weights.refused
        record.most_in_flight = weights.most_in_flight
