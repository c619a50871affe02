"""Estimate a figure from recent samples of which some are far off."""

import math
from collections import deque
from typing import Final

_DEFAULT_WINDOW: Final = 21
# Samples closer together than this count once, so that slow moments of 0.6 s, 15% of
# the time, rarely have half of the samples and are treated as noise.
_MIN_SPACING_SECONDS: Final = 0.3
# A run of samples that all differ from the median by this much, to the same side, is a
# change of speed if it has this many and lasts longer than three slow moments.
_CHANGE_RATIO: Final = 1.25
_MIN_CHANGE_SAMPLES: Final = 5
_MIN_CHANGE_SECONDS: Final = 1.85
# Half-life of the confidence in samples, counted from the newest: servers change their
# speed rarely, but an hour-old figure must not outweigh those of its service.
_CONFIDENCE_HALF_LIFE_SECONDS: Final = 120.0
# With this many samples the median and the figure known before count equally.
_EQUAL_WEIGHT_SAMPLES: Final = 3.0


class RecentMedian:
    """Keep the weighted median of the newest samples of a positive figure."""

    def __init__(
        self,
        window: int = _DEFAULT_WINDOW,
        min_spacing: float = _MIN_SPACING_SECONDS,
        equal_weight: float = _EQUAL_WEIGHT_SAMPLES,
    ) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=window)
        self._min_spacing = min_spacing
        self._equal_weight = equal_weight
        self._count = 0
        self._newest_at = -math.inf
        self._median: float | None = None
        self._run: deque[tuple[float, float]] = deque(maxlen=window)
        self._run_began_at = 0.0
        self._run_side = 0

    @property
    def count(self) -> int:
        """Return the number of samples that counted since the start."""
        return self._count

    @property
    def median(self) -> float | None:
        """Return the weighted median, ``None`` without samples."""
        if self._median is None and self._samples:
            self._median = self._weighted_median()
        return self._median

    def add(self, value: float, now: float, weight: float = 1.0) -> None:
        """Add a sample, unless the one before is too recent.

        After a change of speed, only the samples since then are kept.
        """
        if self._has_changed(value, now, weight):
            self._samples.clear()
            self._samples.extend(self._run)
            self._run.clear()
            self._newest_at = now
            self._median = None
            return
        if now - self._newest_at < self._min_spacing:
            return
        self._newest_at = now
        self._samples.append((value, weight))
        self._count += 1
        self._median = None

    def clear(self) -> None:
        """Forget all samples."""
        self._samples.clear()
        self._run.clear()
        self._count = 0
        self._newest_at = -math.inf
        self._median = None

    def age(self, now: float) -> float:
        """Return the seconds since the newest sample, infinite without one."""
        return now - self._newest_at

    def blend(self, prior: float, now: float) -> float:
        """Return the figure, drawn towards ``prior`` with few or old samples."""
        median = self.median
        if median is None:
            return prior
        fading: float = 0.5 ** (max(0.0, self.age(now)) / _CONFIDENCE_HALF_LIFE_SECONDS)
        confidence = self._count * fading
        weight = confidence**2 / (confidence**2 + self._equal_weight**2)
        return float(prior * (median / prior) ** weight)

    def _has_changed(self, value: float, now: float, weight: float) -> bool:
        """Add a sample to the run of those that differ; return whether that is long."""
        median = self.median
        if median is None:
            return False
        side = 0
        if not median / _CHANGE_RATIO <= value <= median * _CHANGE_RATIO:
            side = 1 if value > median else -1
        if side != self._run_side:
            self._run.clear()
            self._run_side = side
            self._run_began_at = now
        if side:
            self._run.append((value, weight))
        return (
            len(self._run) >= _MIN_CHANGE_SAMPLES
            and now - self._run_began_at >= _MIN_CHANGE_SECONDS
        )

    def _weighted_median(self) -> float:
        ordered = sorted(self._samples)
        half = sum(weight for _, weight in ordered) / 2
        total = 0.0
        for value, weight in ordered:
            total += weight
            if total >= half:
                return value
        return ordered[-1][0]
