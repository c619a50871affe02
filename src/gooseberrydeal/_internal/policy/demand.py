"""Estimate how often each adapter is asked for."""

import math
from dataclasses import dataclass
from typing import Final

_KEPT: Final = 60_000
_MEMORY_SECONDS: Final = 90.0
_SILENCE_REQUESTS: Final = 0.2
_LEAST_SILENCE: Final = 0.01


@dataclass(slots=True)
class _Estimate:
    rate: float
    updated: float


class DemandTracker:
    """Keep decayed request rates, and doubt them in silence.

    An adapter that was often asked for and then is not at all has lost its
    popularity: its rate is bounded by the inverse of the time since its last request.
    """

    def __init__(self, memory_seconds: float = _MEMORY_SECONDS) -> None:
        self._memory_seconds = memory_seconds
        self._estimates: dict[str, _Estimate] = {}

    def note(self, key: str, now: float) -> None:
        """Count a request for a key."""
        found = self._estimates.get(key)
        if found is None:
            self._make_room(now)
            found = _Estimate(0.0, now)
            self._estimates[key] = found
        found.rate = self._decayed(found, now) + 1.0 / self._memory_seconds
        found.updated = now

    def learn(self, key: str, rate: float, now: float) -> None:
        """Take over a higher rate that another process has seen."""
        found = self._estimates.get(key)
        if found is not None and rate > self._decayed(found, now):
            found.rate = rate
            found.updated = now

    def rate(self, key: str, now: float) -> float:
        """Return the smoothed requests per second."""
        found = self._estimates.get(key)
        return 0.0 if found is None else self._decayed(found, now)

    def expected(self, key: str, now: float) -> float:
        """Return the requests per second to expect, given the silence."""
        found = self._estimates.get(key)
        if found is None:
            return 0.0
        silence = max(now - found.updated, _LEAST_SILENCE)
        return min(self._decayed(found, now), _SILENCE_REQUESTS / silence)

    def _decayed(self, estimate: _Estimate, now: float) -> float:
        elapsed = max(0.0, now - estimate.updated)
        return estimate.rate * math.exp(-elapsed / self._memory_seconds)

    def _make_room(self, now: float) -> None:
        if len(self._estimates) < _KEPT:
            return
        ranked = sorted(
            self._estimates.items(),
            key=lambda item: self._decayed(item[1], now),
            reverse=True,
        )
        self._estimates = dict(ranked[: _KEPT // 2])
