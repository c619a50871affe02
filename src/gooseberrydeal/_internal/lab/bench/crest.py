"""Measure service at the peak of a demand surge."""

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

_CALM_FROM_SECONDS: Final = 2.0
_CALM_UNTIL_SECONDS: Final = 10.0
_RISE_SECONDS: Final = 2.0
_PEAK_SECONDS: Final = 10.0
_RUN_SECONDS: Final = 32.0
_SETTLE_SECONDS: Final = 5.0
_CALM_LOAD: Final = 0.4
_PEAK_FACTOR: Final = 5.0
_TOKENS_PER_REQUEST: Final = 12
_ADAPTERS: Final = 48
_DEADLINE_SECONDS: Final = 1.7
_ENGINE: Final = EngineModel(concurrency=4, prefill_seconds=0.06, token_seconds=0.045)


class Crest:
    """Raise demand fivefold within two seconds, beyond the engines' capacity."""

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self._plan = replace(
            plan,
            engine=_ENGINE,
            adapters=_ADAPTERS,
            short_deadline_seconds=_DEADLINE_SECONDS,
        )
        self._seed = seed
        engines = len(plan.domains) * plan.engines_per_domain
        slot_seconds = _ENGINE.answer_seconds(_TOKENS_PER_REQUEST)
        self._capacity_per_second = engines * _ENGINE.concurrency / slot_seconds

    @property
    def baselines(self) -> Sequence[str]:
        """Return the names of the baseline policies."""
        return ("least-loaded-lagged", "hash-only")

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Run under a policy; return the record and the figures computed from it."""
        rng = random.Random(self._seed)
        popularity = Popularity(_ADAPTERS, 0.8, self._seed)
        times = arrival_times(self._arrival_rate, _RUN_SECONDS, rng)
        arrivals = short_arrivals(times, popularity, rng, _TOKENS_PER_REQUEST)
        experiment = Experiment(replace(self._plan, policy=policy))
        record = await experiment.run(arrivals, warm_adapters=range(_ADAPTERS))
        return record, self._figures(record)

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the ratios that the targets apply to."""
        best = max(item["goodput"] for item in baselines.values())
        return {
            "goodput_to_capacity": ours["goodput"] / ours["capacity"],
            "p99_to_calm": ours["crest_p99_first"] / ours["calm_p99_first"],
            "after_to_calm": ours["after_p99_first"] / ours["calm_p99_first"],
            "shed_seconds": ours["shed_p99"],
            "goodput_to_best_baseline": ours["goodput"] / max(best, 0.01),
        }

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return each target ratio's comparison (``<=`` or ``>=``) and bound."""
        return {
            "goodput_to_capacity": (">=", 0.9),
            "p99_to_calm": ("<=", 2.0),
            "after_to_calm": ("<=", 1.25),
            "shed_seconds": ("<=", 0.05),
        }

    def _arrival_rate(self, at: float) -> float:
        calm = _CALM_LOAD * self._capacity_per_second
        if (
            at < _CALM_UNTIL_SECONDS
            or at >= _CALM_UNTIL_SECONDS + _RISE_SECONDS + _PEAK_SECONDS
        ):
            return calm
        rise_fraction = min(1.0, (at - _CALM_UNTIL_SECONDS) / _RISE_SECONDS)
        return calm * (1.0 + (_PEAK_FACTOR - 1.0) * rise_fraction)

    def _figures(self, record: RunRecord) -> Figures:
        begin = _CALM_UNTIL_SECONDS + _RISE_SECONDS
        end = begin + _PEAK_SECONDS
        calm = [
            s
            for s in record.samples
            if _CALM_FROM_SECONDS <= s.arrival.at < _CALM_UNTIL_SECONDS
        ]
        peak = [s for s in record.samples if begin <= s.arrival.at < end]
        after = [s for s in record.samples if s.arrival.at >= end + _SETTLE_SECONDS]
        within_deadline = [
            s
            for s in record.samples
            if _meets_deadline(s) and begin <= _finished_at(s) < end
        ]
        shed = [s for s in peak if s.result.status not in (0, 200)]
        return {
            "capacity": round(self._capacity_per_second, 2),
            "goodput": round(len(within_deadline) / _PEAK_SECONDS, 2),
            "calm_p99_first": Quantiles(s.first_seconds for s in calm).at(99),
            "crest_p99_first": Quantiles(s.first_seconds for s in peak).at(99),
            "after_p99_first": Quantiles(s.first_seconds for s in after).at(99),
            "shed": len(shed),
            "shed_p50": Quantiles(s.total_seconds for s in shed).at(50),
            "shed_p99": Quantiles(s.total_seconds for s in shed).at(99),
            "requests": len(record.samples),
            "processor_seconds": round(record.processor_seconds, 2),
        }


def _finished_at(sample: Sample) -> float:
    return sample.arrival.at + sample.total_seconds


def _meets_deadline(sample: Sample) -> bool:
    first = sample.first_seconds
    return sample.result.is_whole and first is not None and first <= _DEADLINE_SECONDS
