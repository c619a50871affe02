"""Estimate how long requests hold a place."""

from typing import Final

# Assumed until a request was observed.
DEFAULT_SECONDS: Final = 0.1
# Weight of the newest observation in the mean, which follows a server that slows down
# within about ten requests.
_NEWEST_WEIGHT: Final = 0.1
# The longest time is that of the last one or two of these periods.
_LONGEST_PERIOD_SECONDS: Final = 10.0


class ServiceTimes:
    """Keep the mean and the recent maximum of observed times, in seconds."""

    def __init__(self, default: float = DEFAULT_SECONDS) -> None:
        self._default = default
        self._mean: float | None = None
        self._longest = [default, default]
        self._period_began_at = 0.0

    @property
    def mean(self) -> float:
        """Return the mean, in which newer observations weigh more."""
        return self._default if self._mean is None else self._mean

    @property
    def longest(self) -> float:
        """Return the longest time of the last 10 to 20 seconds with observations."""
        return max(self._longest)

    def observe(self, seconds: float, now: float) -> None:
        """Record how long a request held its place."""
        mean = seconds if self._mean is None else self._mean
        self._mean = mean + (seconds - mean) * _NEWEST_WEIGHT
        if now - self._period_began_at > _LONGEST_PERIOD_SECONDS:
            self._longest = [self._longest[1], seconds]
            self._period_began_at = now
        self._longest[1] = max(self._longest[1], seconds)
