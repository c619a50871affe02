"""Measure the batch utilization of saturated engines."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.lab.bench.experiment import Experiment
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.scenario import Figures
from gooseberrydeal._internal.lab.bench.workload import (
    Popularity,
    arrival_times,
    short_arrivals,
)
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.lab_plan import LabPlan

_RUN_SECONDS: Final = 20.0
_OFFERED_LOAD: Final = 1.3
_TOKENS_PER_REQUEST: Final = 24
_ADAPTERS: Final = 48
_MEASURE_FROM_SECONDS: Final = 4.0
_ENGINE: Final = EngineModel(concurrency=4, prefill_seconds=0.06, token_seconds=0.045)


class Batch:
    """Offer more load than the engines can serve, and count the generated tokens.

    The ceiling is the token rate with every batch slot busy for the whole run, with
    answers of this length.
    """

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self._plan = replace(
            plan, engine=_ENGINE, adapters=_ADAPTERS, short_deadline_seconds=4.0
        )
        self._seed = seed
        slots = len(plan.domains) * plan.engines_per_domain * _ENGINE.concurrency
        seconds = _ENGINE.answer_seconds(_TOKENS_PER_REQUEST)
        self._max_tokens_per_second = slots * _TOKENS_PER_REQUEST / seconds
        self._rate = _OFFERED_LOAD * slots / seconds

    @property
    def baselines(self) -> Sequence[str]:
        """Return the names of the baseline policies."""
        return ("least-loaded-lagged", "hash-only")

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Run under a policy; return the record and the figures computed from it."""
        rng = random.Random(self._seed)
        popularity = Popularity(_ADAPTERS, 0.8, self._seed)
        times = arrival_times(lambda at: self._rate, _RUN_SECONDS, rng)
        arrivals = short_arrivals(times, popularity, rng, _TOKENS_PER_REQUEST)
        experiment = Experiment(replace(self._plan, policy=policy))
        record = await experiment.run(arrivals, warm_adapters=range(_ADAPTERS))
        tokens = sum(_tokens_between(record, _MEASURE_FROM_SECONDS, _RUN_SECONDS))
        tokens_per_second = tokens / (_RUN_SECONDS - _MEASURE_FROM_SECONDS)
        return record, {
            "ceiling": round(self._max_tokens_per_second, 1),
            "tokens_per_second": round(tokens_per_second, 1),
            "efficiency": round(tokens_per_second / self._max_tokens_per_second, 4),
            "requests": len(record.samples),
            "processor_seconds": round(record.processor_seconds, 2),
        }

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the ratios that the targets apply to."""
        best = max(item["efficiency"] for item in baselines.values())
        return {
            "efficiency": ours["efficiency"],
            "to_best_baseline": ours["efficiency"] / max(best, 0.001),
        }

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return each target ratio's comparison (``<=`` or ``>=``) and bound."""
        return {"efficiency": (">=", 0.95)}


def _tokens_between(record: RunRecord, begin: float, end: float) -> list[float]:
    """Return each answer's tokens within the span, assuming a constant rate."""
    parts = []
    for sample in record.samples:
        if not sample.result.is_whole or sample.first_seconds is None:
            continue
        first = sample.arrival.at + sample.first_seconds
        last = sample.arrival.at + sample.total_seconds
        covered = max(0.0, min(last, end) - max(first, begin))
        parts.append(_TOKENS_PER_REQUEST * covered / max(0.001, last - first))
    return parts
