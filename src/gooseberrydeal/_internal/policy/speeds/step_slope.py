"""Learn how much a running request lengthens the steps of its engine."""

from typing import Final

from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.policy.speeds.recent_median import RecentMedian

# Two streams with fewer requests between them show too little of the slope.
_MIN_REQUEST_DIFFERENCE: Final = 3
# Figures of a few pairs are far off, since steps that read prompts are among them.
_MIN_PAIRS: Final = 30
_WINDOW_PAIRS: Final = 101
# Largest plausible slope relative to the step of an engine with one request.
_MAX_RELATIVE_SLOPE: Final = 0.2


class StepSlope:
    """Keep the median slope over pairs of streams of the same engine."""

    def __init__(self) -> None:
        self._slopes = RecentMedian(_WINDOW_PAIRS, min_spacing=0.0)

    def add(
        self, first: SpeedObservation, second: SpeedObservation, now: float
    ) -> None:
        """Add two streams of one engine with a different number of requests."""
        difference = second.requests - first.requests
        if abs(difference) < _MIN_REQUEST_DIFFERENCE:
            return
        change = second.step_seconds - first.step_seconds
        step = min(first.step_seconds, second.step_seconds)
        self._slopes.add(change / difference / step, now)

    def relative(self, prior: float) -> float:
        """Return the slope as a fraction of the step, ``prior`` while unknown."""
        median = self._slopes.median
        if median is None or self._slopes.count < _MIN_PAIRS:
            return prior
        return min(_MAX_RELATIVE_SLOPE, max(0.0, median))
