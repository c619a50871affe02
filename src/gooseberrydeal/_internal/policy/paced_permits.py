"""Hand out permits at a rate that may change."""

import math
from typing import Final

# Absorbs the rounding of sums of fractions.
_TOLERANCE: Final = 1e-6


class PacedPermits:
    """Keep a token bucket that starts empty and whose rate and size may change."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._capacity = 1.0
        self._permits = 0.0
        self._updated_at = now

    def set_rate(self, permits_per_second: float, capacity: float, now: float) -> None:
        """Change the rate and how many unused permits are kept, at least one."""
        self._advance(now)
        self._rate = permits_per_second
        self._capacity = max(1.0, capacity)

    def take(self, now: float) -> bool:
        """Take a permit; return whether there was one."""
        self._advance(now)
        if self._permits < 1.0 - _TOLERANCE:
            return False
        self._permits -= 1.0
        return True

    def seconds_until_next(self, now: float) -> float:
        """Return when the next permit is available, infinity if there is no rate."""
        self._advance(now)
        missing = 1.0 - self._permits
        if missing <= _TOLERANCE:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._permits = min(self._capacity, self._permits + elapsed * self._rate)
        self._updated_at = now
