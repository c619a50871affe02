"""Compute percentiles of times with an HDR histogram."""

from collections.abc import Iterable
from typing import Final

from hdrh.histogram import HdrHistogram

_LOWEST_MICROSECONDS: Final = 1
_HIGHEST_MICROSECONDS: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_MICROSECONDS_PER_SECOND: Final = 1_000_000


class Quantiles:
    """Compute percentiles of times, all in seconds; None values are skipped."""

    def __init__(self, times: Iterable[float | None]) -> None:
        self._histogram = HdrHistogram(
            _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
        )
        for seconds in times:
            if seconds is not None:
                self._histogram.record_value(
                    max(1, int(seconds * _MICROSECONDS_PER_SECOND))
                )

    @property
    def count(self) -> int:
        """Return the number of recorded times."""
        return int(self._histogram.get_total_count())

    def at(self, percent: float) -> float:
        """Return a percentile in seconds, or 0 if no times are recorded."""
        if self.count == 0:
            return 0.0
        value = float(self._histogram.get_value_at_percentile(percent))
        return round(value / _MICROSECONDS_PER_SECOND, 4)
