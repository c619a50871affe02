"""Estimate the request rate of each adapter."""

import math
from dataclasses import dataclass
from typing import Final

_MAX_KEYS: Final = 60_000
_DECAY_SECONDS: Final = 90.0
# The expected rate is at most this many requests per time since the last request.
_MAX_REQUESTS_PER_IDLE_TIME: Final = 0.2
_MIN_IDLE_SECONDS: Final = 0.01


@dataclass(slots=True)
class _Estimate:
    rate: float
    updated_at: float


class DemandTracker:
    """Keep an exponentially decaying request rate per key.

    An adapter that was popular and then receives no requests has probably lost its
    popularity, so its expected rate is also bounded by a value inversely proportional
    to the time since its last request.
    """

    def __init__(self, decay_seconds: float = _DECAY_SECONDS) -> None:
        self._decay_seconds = decay_seconds
        self._estimates: dict[str, _Estimate] = {}

    def note_request(self, key: str, now: float) -> None:
        """Count a request for a key at time ``now`` (seconds)."""
        found = self._estimates.get(key)
        if found is None:
            self._enforce_limit(now)
            found = _Estimate(0.0, now)
            self._estimates[key] = found
        found.rate = self._decayed(found, now) + 1.0 / self._decay_seconds
        found.updated_at = now

    def raise_rate(self, key: str, rate: float, now: float) -> None:
        """Raise the rate of a known key to one observed by another process.

        Unknown keys and rates that are not higher are ignored.
        """
        found = self._estimates.get(key)
        if found is not None and rate > self._decayed(found, now):
            found.rate = rate
            found.updated_at = now

    def rate(self, key: str, now: float) -> float:
        """Return the smoothed rate in requests per second, 0 for an unknown key."""
        found = self._estimates.get(key)
        return 0.0 if found is None else self._decayed(found, now)

    def expected_rate(self, key: str, now: float) -> float:
        """Return the expected requests per second, given the time without requests."""
        found = self._estimates.get(key)
        if found is None:
            return 0.0
        idle = max(now - found.updated_at, _MIN_IDLE_SECONDS)
        return min(self._decayed(found, now), _MAX_REQUESTS_PER_IDLE_TIME / idle)

    def _decayed(self, estimate: _Estimate, now: float) -> float:
        elapsed = max(0.0, now - estimate.updated_at)
        return estimate.rate * math.exp(-elapsed / self._decay_seconds)

    def _enforce_limit(self, now: float) -> None:
        if len(self._estimates) < _MAX_KEYS:
            return
        ranked = sorted(
            self._estimates.items(),
            key=lambda item: self._decayed(item[1], now),
            reverse=True,
        )
        self._estimates = dict(ranked[: _MAX_KEYS // 2])
