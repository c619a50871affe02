"""Measure how full the engines' batches are at saturation."""

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

_SECONDS: Final = 20.0
_LOAD: Final = 1.3
_TOKENS: Final = 24
_ADAPTERS: Final = 48
_FROM: Final = 4.0
_ENGINE: Final = EngineModel(concurrency=4, prefill_seconds=0.06, token_seconds=0.045)


class Batch:
    """Offer more than the engines can do, and count what they generate.

    The ceiling is all slots busy all the time with this mix of lengths.
    """

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self._plan = replace(
            plan, engine=_ENGINE, adapters=_ADAPTERS, short_deadline_seconds=4.0
        )
        self._seed = seed
        slots = len(plan.domains) * plan.engines_per_domain * _ENGINE.concurrency
        seconds = _ENGINE.answer_seconds(_TOKENS)
        self._ceiling = slots * _TOKENS / seconds
        self._rate = _LOAD * slots / seconds

    @property
    def baselines(self) -> Sequence[str]:
        """Return the policies to compare with."""
        return ("least-loaded-lagged", "hash-only")

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Return the record of a run and the figures taken from it."""
        source = random.Random(self._seed)
        popularity = Popularity(_ADAPTERS, 0.8, self._seed)
        times = arrival_times(lambda at: self._rate, _SECONDS, source)
        arrivals = short_arrivals(times, popularity, source, _TOKENS)
        experiment = Experiment(replace(self._plan, policy=policy))
        record = await experiment.run(arrivals, warm=range(_ADAPTERS))
        tokens = sum(_tokens_between(record, _FROM, _SECONDS))
        pace = tokens / (_SECONDS - _FROM)
        return record, {
            "ceiling": round(self._ceiling, 1),
            "tokens_per_second": round(pace, 1),
            "efficiency": round(pace / self._ceiling, 4),
            "requests": len(record.samples),
            "processor_seconds": round(record.processor_seconds, 2),
        }

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the figures that the targets bound."""
        best = max(item["efficiency"] for item in baselines.values())
        return {
            "efficiency": ours["efficiency"],
            "to_best_baseline": ours["efficiency"] / max(best, 0.001),
        }

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return for each ratio ``<=`` or ``>=`` and its bound."""
        return {"efficiency": (">=", 0.95)}


def _tokens_between(record: RunRecord, begin: float, end: float) -> list[float]:
    """Return each answer's tokens that fall into the span, by even pace."""
    parts = []
    for sample in record.samples:
        if not sample.result.is_whole or sample.first_seconds is None:
            continue
        first = sample.arrival.at + sample.first_seconds
        last = sample.arrival.at + sample.total_seconds
        covered = max(0.0, min(last, end) - max(first, begin))
        parts.append(_TOKENS * covered / max(0.001, last - first))
    return parts
