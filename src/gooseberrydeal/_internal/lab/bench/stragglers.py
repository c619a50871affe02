"""Measure tail latency while some backend servers are slow."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.lab.bench.arrival import Arrival
from gooseberrydeal._internal.lab.bench.experiment import Experiment, FaultInjector
from gooseberrydeal._internal.lab.bench.quantiles import Quantiles
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.scenario import Figures
from gooseberrydeal._internal.lab.bench.workload import (
    Popularity,
    arrival_times,
    short_arrivals,
)
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.lab_cluster import LabCluster
from gooseberrydeal._internal.lab.lab_plan import LabPlan

_RUN_SECONDS: Final = 20.0
_OFFERED_LOAD: Final = 0.6
_TOKENS_PER_REQUEST: Final = 12
_ADAPTERS: Final = 48
_SLOWDOWN_FACTOR: Final = 10.0
_SLOW_PERIOD_SECONDS: Final = 3.0
_SLOW_ENGINES: Final = 2
_PLAIN_REQUESTS_PER_SECOND: Final = 12.0
_ENGINE: Final = EngineModel(concurrency=4, prefill_seconds=0.06, token_seconds=0.045)


class Stragglers:
    """Slow two engines and a plain server tenfold, for three seconds at a time."""

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self._plan = replace(
            plan, engine=_ENGINE, adapters=_ADAPTERS, short_deadline_seconds=5.0
        )
        self._seed = seed
        engines = len(plan.domains) * plan.engines_per_domain
        slot_seconds = _ENGINE.answer_seconds(_TOKENS_PER_REQUEST)
        self._rate = _OFFERED_LOAD * engines * _ENGINE.concurrency / slot_seconds

    @property
    def baselines(self) -> Sequence[str]:
        """Return the names of the baseline policies."""
        return ("round-robin", "least-loaded-lagged", "hash-only")

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Run under a policy; return the record and the figures computed from it."""
        calm = await self._run(policy, None)
        slowed = await self._run(policy, self._slow_servers)
        return slowed, self._figures(slowed, calm)

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the ratios that the targets apply to."""
        best = min(item["slowed_p99_first"] for item in baselines.values())
        plain = min(item["slowed_p99_plain"] for item in baselines.values())
        return {
            "p99_to_calm": ours["slowed_p99_first"] / ours["calm_p99_first"],
            "p99_to_best_baseline": ours["slowed_p99_first"] / best,
            "plain_p99_to_calm": ours["slowed_p99_plain"] / ours["calm_p99_plain"],
            "plain_p99_to_best_baseline": ours["slowed_p99_plain"] / plain,
            "extra_work": ours["extra_work"],
        }

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return each target ratio's comparison (``<=`` or ``>=``) and bound."""
        return {
            "p99_to_calm": ("<=", 2.0),
            "p99_to_best_baseline": ("<=", 0.5),
            "plain_p99_to_calm": ("<=", 2.0),
            "plain_p99_to_best_baseline": ("<=", 0.5),
            "extra_work": ("<=", 0.05),
        }

    async def _run(self, policy: str, inject_faults: FaultInjector | None) -> RunRecord:
        rng = random.Random(self._seed)
        popularity = Popularity(_ADAPTERS, 0.8, self._seed)
        times = arrival_times(lambda at: self._rate, _RUN_SECONDS, rng)
        arrivals = short_arrivals(times, popularity, rng, _TOKENS_PER_REQUEST)
        plain = arrival_times(lambda at: _PLAIN_REQUESTS_PER_SECOND, _RUN_SECONDS, rng)
        arrivals += [Arrival(at, 0, 0, operation="balance") for at in plain]
        arrivals.sort(key=lambda item: item.at)
        experiment = Experiment(replace(self._plan, policy=policy), inject_faults)
        return await experiment.run(arrivals, warm_adapters=range(_ADAPTERS))

    async def _slow_servers(self, cluster: LabCluster) -> None:
        rng = random.Random(self._seed + 1)
        engines = list(cluster.engines.values())
        services = list(cluster.services.values())
        while True:
            await asyncio.sleep(1.0)
            slowed = rng.sample(engines, _SLOW_ENGINES)
            service = rng.choice(services)
            for engine in slowed:
                engine.app.faults.slowdown = _SLOWDOWN_FACTOR
            service.slowdown = _SLOWDOWN_FACTOR
            await asyncio.sleep(_SLOW_PERIOD_SECONDS)
            for engine in slowed:
                engine.app.faults.slowdown = 1.0
            service.slowdown = 1.0

    def _figures(self, slowed: RunRecord, calm: RunRecord) -> Figures:
        return {
            "calm_p99_first": _p99_first_seconds(calm, is_plain=False),
            "slowed_p99_first": _p99_first_seconds(slowed, is_plain=False),
            "calm_p99_plain": _p99_first_seconds(calm, is_plain=True),
            "slowed_p99_plain": _p99_first_seconds(slowed, is_plain=True),
            "requests": len(slowed.samples),
            "refused": sum(1 for s in slowed.samples if not s.result.is_whole),
            "extra_work": round(_extra_work(slowed), 4),
            "processor_seconds": round(slowed.processor_seconds, 2),
        }


def _p99_first_seconds(record: RunRecord, *, is_plain: bool) -> float:
    """Return the p99 time to first token, without the first second of the run.

    A request that failed counts its duration and one slow period.
    """
    wanted = [
        s
        for s in record.samples
        if bool(s.arrival.operation) is is_plain and s.arrival.at >= 1.0
    ]
    return Quantiles(
        s.first_seconds if s.result.is_whole else s.total_seconds + _SLOW_PERIOD_SECONDS
        for s in wanted
    ).at(99)


def _extra_work(record: RunRecord) -> float:
    """Return the generated but undelivered tokens, relative to the delivered."""
    delivered = sum(
        len(s.result.text.split(" ")) - 1
        for s in record.samples
        if s.result.is_whole and not s.arrival.operation
    )
    return max(0.0, record.tokens / max(1, delivered) - 1.0)
