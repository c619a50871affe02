"""Estimate how often each adapter is asked for."""

import math
from dataclasses import dataclass
from typing import Final

_KEPT: Final = 60_000
_PRUNE_BELOW: Final = 1e-4


@dataclass(slots=True)
class _Estimate:
    fast: float
    slow: float
    updated: float


class DemandTracker:
    """Keep decayed request rates over a short and a long time.

    The short rate follows a shift of popularity, the long one outlasts a lull.
    """

    def __init__(self, fast_seconds: float = 10.0, slow_seconds: float = 90.0) -> None:
        self._fast_seconds = fast_seconds
        self._slow_seconds = slow_seconds
        self._estimates: dict[str, _Estimate] = {}

    def note(self, key: str, now: float, count: float = 1.0) -> None:
        """Count requests for a key."""
        found = self._estimates.get(key)
        if found is None:
            self._make_room(now)
            found = _Estimate(0.0, 0.0, now)
            self._estimates[key] = found
        self._decay(found, now)
        found.fast += count / self._fast_seconds
        found.slow += count / self._slow_seconds

    def rate(self, key: str, now: float) -> float:
        """Return the expected requests per second."""
        found = self._estimates.get(key)
        if found is None:
            return 0.0
        self._decay(found, now)
        return max(found.slow, (found.fast + found.slow) / 2)

    def _decay(self, estimate: _Estimate, now: float) -> None:
        elapsed = now - estimate.updated
        if elapsed <= 0:
            return
        estimate.fast *= math.exp(-elapsed / self._fast_seconds)
        estimate.slow *= math.exp(-elapsed / self._slow_seconds)
        estimate.updated = now

    def _make_room(self, now: float) -> None:
        if len(self._estimates) < _KEPT:
            return
        for estimate in self._estimates.values():
            self._decay(estimate, now)
        kept = {k: v for k, v in self._estimates.items() if v.slow >= _PRUNE_BELOW}
        if len(kept) >= _KEPT:
            ranked = sorted(kept.items(), key=lambda item: item[1].slow, reverse=True)
            kept = dict(ranked[: _KEPT // 2])
        self._estimates = kept
