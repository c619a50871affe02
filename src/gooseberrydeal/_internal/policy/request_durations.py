"""Estimate how long requests take, from those that ended lately."""

from typing import Final

# Durations are kept for between one and two periods of this length.
_PERIOD_SECONDS: Final = 15.0


class RequestDurations:
    """Keep the longest recent duration of each route's requests, in seconds."""

    def __init__(self) -> None:
        self._period = 0
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def note(self, route: str, seconds: float, now: float) -> None:
        """Record how long a request took."""
        self._advance(now)
        self._current[route] = max(self._current.get(route, 0.0), seconds)

    def longest(self, route: str, now: float) -> float:
        """Return the longest recent duration of a route's requests, 0 if unknown."""
        self._advance(now)
        return max(self._current.get(route, 0.0), self._previous.get(route, 0.0))

    def _advance(self, now: float) -> None:
        period = int(now / _PERIOD_SECONDS)
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else {}
        self._current = {}
        self._period = period
