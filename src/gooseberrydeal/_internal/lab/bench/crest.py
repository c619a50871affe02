"""Measure service at the crest of a demand swing."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.lab.bench.experiment import Experiment
from gooseberrydeal._internal.lab.bench.quantiles import Quantiles
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.sample import Sample
from gooseberrydeal._internal.lab.bench.scenario import Figures
from gooseberrydeal._internal.lab.bench.workload import (
    Popularity,
    arrival_times,
    short_arrivals,
)
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.lab_plan import LabPlan

_CALM_FROM: Final = 2.0
_CALM_UNTIL: Final = 10.0
_RISE_SECONDS: Final = 2.0
_CREST_SECONDS: Final = 10.0
_SECONDS: Final = 32.0
_SETTLE_SECONDS: Final = 5.0
_CALM_LOAD: Final = 0.4
_FACTOR: Final = 5.0
_TOKENS: Final = 12
_ADAPTERS: Final = 48
_DEADLINE: Final = 1.7
_ENGINE: Final = EngineModel(concurrency=4, prefill_seconds=0.06, token_seconds=0.045)


class Crest:
    """Multiply the demand by five within two seconds, past what engines can do."""

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self._plan = replace(
            plan,
            engine=_ENGINE,
            adapters=_ADAPTERS,
            short_deadline_seconds=_DEADLINE,
        )
        self._seed = seed
        engines = len(plan.domains) * plan.engines_per_domain
        slot_seconds = _ENGINE.answer_seconds(_TOKENS)
        self._capacity = engines * _ENGINE.concurrency / slot_seconds

    @property
    def baselines(self) -> Sequence[str]:
        """Return the policies to compare with."""
        return ("least-loaded-lagged", "hash-only")

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Return the record of a run and the figures taken from it."""
        source = random.Random(self._seed)
        popularity = Popularity(_ADAPTERS, 0.8, self._seed)
        times = arrival_times(self._rate, _SECONDS, source)
        arrivals = short_arrivals(times, popularity, source, _TOKENS)
        experiment = Experiment(replace(self._plan, policy=policy))
        record = await experiment.run(arrivals, warm=range(_ADAPTERS))
        return record, self._figures(record)

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the figures that the targets bound."""
        best = max(item["goodput"] for item in baselines.values())
        return {
            "goodput_to_capacity": ours["goodput"] / ours["capacity"],
            "p99_to_calm": ours["crest_p99_first"] / ours["calm_p99_first"],
            "after_to_calm": ours["after_p99_first"] / ours["calm_p99_first"],
            "shed_seconds": ours["shed_p99"],
            "goodput_to_best_baseline": ours["goodput"] / max(best, 0.01),
        }

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return for each ratio ``<=`` or ``>=`` and its bound."""
        return {
            "goodput_to_capacity": (">=", 0.9),
            "p99_to_calm": ("<=", 2.0),
            "after_to_calm": ("<=", 1.25),
            "shed_seconds": ("<=", 0.05),
        }

    def _rate(self, at: float) -> float:
        calm = _CALM_LOAD * self._capacity
        if at < _CALM_UNTIL or at >= _CALM_UNTIL + _RISE_SECONDS + _CREST_SECONDS:
            return calm
        risen = min(1.0, (at - _CALM_UNTIL) / _RISE_SECONDS)
        return calm * (1.0 + (_FACTOR - 1.0) * risen)

    def _figures(self, record: RunRecord) -> Figures:
        begin = _CALM_UNTIL + _RISE_SECONDS
        end = begin + _CREST_SECONDS
        calm = [s for s in record.samples if _CALM_FROM <= s.arrival.at < _CALM_UNTIL]
        crest = [s for s in record.samples if begin <= s.arrival.at < end]
        after = [s for s in record.samples if s.arrival.at >= end + _SETTLE_SECONDS]
        good = [s for s in record.samples if _is_good(s) and begin <= _end(s) < end]
        shed = [s for s in crest if s.result.status not in (0, 200)]
        return {
            "capacity": round(self._capacity, 2),
            "goodput": round(len(good) / _CREST_SECONDS, 2),
            "calm_p99_first": Quantiles(s.first_seconds for s in calm).at(99),
            "crest_p99_first": Quantiles(s.first_seconds for s in crest).at(99),
            "after_p99_first": Quantiles(s.first_seconds for s in after).at(99),
            "shed": len(shed),
            "shed_p50": Quantiles(s.total_seconds for s in shed).at(50),
            "shed_p99": Quantiles(s.total_seconds for s in shed).at(99),
            "requests": len(record.samples),
            "processor_seconds": round(record.processor_seconds, 2),
        }


def _end(sample: Sample) -> float:
    return sample.arrival.at + sample.total_seconds


def _is_good(sample: Sample) -> bool:
    first = sample.first_seconds
    return sample.result.is_whole and first is not None and first <= _DEADLINE
