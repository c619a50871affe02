"""Measure the share of requests that wait for an adapter load."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.lab.bench.experiment import Experiment
from gooseberrydeal._internal.lab.bench.quantiles import Quantiles
from gooseberrydeal._internal.lab.bench.run_record import RunRecord
from gooseberrydeal._internal.lab.bench.scenario import Figures
from gooseberrydeal._internal.lab.bench.workload import (
    Popularity,
    arrival_times,
    short_arrivals,
)
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.lab_plan import LabPlan

_RUN_SECONDS: Final = 48.0
_FILL_SECONDS: Final = 14.0
_FILL_OFFERED_LOAD: Final = 0.45
_RESHUFFLE_AT_SECONDS: Final = 28.0
_RESHUFFLE_SETTLE_SECONDS: Final = 10.0
_ZIPF_EXPONENT: Final = 1.2
_OFFERED_LOAD: Final = 0.8
_TOKENS_PER_REQUEST: Final = 6
_WINDOW_SECONDS: Final = 2.0
_ENGINE: Final = EngineModel(prefill_seconds=0.03, token_seconds=0.015)


class Stalls:
    """Request more adapters than there are slots, and reshuffle their popularity.

    ``limit`` is the share of requests that wait if the most popular adapters fill all
    slots for the whole run.
    """

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self._plan = replace(plan, engine=_ENGINE, short_deadline_seconds=10.0)
        self._seed = seed
        self._slots = len(plan.domains) * plan.engines_per_domain
        self._slots *= _ENGINE.adapter_slots

    @property
    def baselines(self) -> Sequence[str]:
        """Return the names of the baseline policies."""
        return ("round-robin", "least-loaded-lagged", "hash-only")

    async def run(self, policy: str) -> tuple[RunRecord, Figures]:
        """Run under a policy; return the record and the figures computed from it."""
        rng = random.Random(self._seed)
        popularity = Popularity(self._plan.adapters, _ZIPF_EXPONENT, self._seed)
        limit = popularity.share_outside(self._slots)
        rate = _OFFERED_LOAD * self._plan.loads_per_second / limit
        fill = _FILL_OFFERED_LOAD / _OFFERED_LOAD * rate
        times = arrival_times(
            lambda at: fill if at < _FILL_SECONDS else rate, _RUN_SECONDS, rng
        )
        arrivals = short_arrivals(
            times, popularity, rng, _TOKENS_PER_REQUEST, _RESHUFFLE_AT_SECONDS
        )
        experiment = Experiment(replace(self._plan, policy=policy))
        record = await experiment.run(arrivals)
        return record, self._figures(record, limit)

    def ratios(self, ours: Figures, baselines: Mapping[str, Figures]) -> Figures:
        """Return the ratios that the targets apply to."""
        best = min(item["waited_share"] for item in baselines.values())
        lagged = baselines["least-loaded-lagged"]["waited_share"]
        return {
            "to_limit": ours["waited_share"] / ours["limit"],
            "to_best_baseline": ours["waited_share"] / best,
            "to_least_loaded_lagged": ours["waited_share"] / lagged,
            "rate": ours["most_loads_in_window"] / ours["loads_allowed_in_window"],
            "in_flight": ours["most_in_flight"] / self._plan.loads_in_flight,
        }

    def targets(self) -> Mapping[str, tuple[str, float]]:
        """Return each target ratio's comparison (``<=`` or ``>=``) and bound."""
        return {
            "to_limit": ("<=", 1.15),
            "to_best_baseline": ("<=", 0.8),
            "to_least_loaded_lagged": ("<=", 0.5),
            "rate": ("<=", 1.0),
            "in_flight": ("<=", 1.0),
        }

    def _figures(self, record: RunRecord, limit: float) -> Figures:
        counted = [s for s in record.samples if _is_counted(s.arrival.at)]
        waited = sum(
            1
            for sample in counted
            if sample.result.request_id in record.waited or not sample.result.is_whole
        )
        firsts = Quantiles(sample.first_seconds for sample in counted)
        return {
            "limit": round(limit, 4),
            "waited_share": round(waited / max(1, len(counted)), 4),
            "requests": len(record.samples),
            "refused": sum(1 for s in record.samples if not s.result.is_whole),
            "loads": len(record.fetch_times),
            "most_loads_in_window": max_in_window(record.fetch_times),
            "loads_allowed_in_window": self._plan.loads_per_second * _WINDOW_SECONDS,
            "most_in_flight": record.most_in_flight,
            "p50_first": firsts.at(50),
            "p99_first": firsts.at(99),
        }


def max_in_window(times: Sequence[float]) -> int:
    """Return the highest number of times within any window of two seconds."""
    ordered = sorted(times)
    first = 0
    most = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= _WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


def _is_counted(at: float) -> bool:
    """Return whether a time is outside the initial fill and the reshuffle."""
    after_fill = at >= _FILL_SECONDS
    in_reshuffle = (
        _RESHUFFLE_AT_SECONDS <= at < _RESHUFFLE_AT_SECONDS + _RESHUFFLE_SETTLE_SECONDS
    )
    return after_fill and not in_reshuffle
