"""Measure times in HDR histograms."""

from collections.abc import Iterable
from typing import Final

from hdrh.histogram import HdrHistogram

_LOWEST: Final = 1
_HIGHEST: Final = 600_000_000
_DIGITS: Final = 3
_MICROSECONDS: Final = 1_000_000


class Quantiles:
    """Hold times and answer for their percentiles, in seconds."""

    def __init__(self, times: Iterable[float | None]) -> None:
        self._histogram = HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)
        for seconds in times:
            if seconds is not None:
                self._histogram.record_value(max(1, int(seconds * _MICROSECONDS)))

    @property
    def count(self) -> int:
        """Return how many times there are."""
        return int(self._histogram.get_total_count())

    def at(self, percent: float) -> float:
        """Return a percentile, 0 if there are no times."""
        if self.count == 0:
            return 0.0
        value = float(self._histogram.get_value_at_percentile(percent))
        return round(value / _MICROSECONDS, 4)
