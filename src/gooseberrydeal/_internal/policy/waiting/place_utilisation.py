"""Tell from the places in use whether a server is contended."""

import math
from typing import Final

from gooseberrydeal._internal.policy.waiting.contention import (
    END_UTILISATION,
    HOLD_SECONDS,
)

# Requests hold their places for 45 to 70 ms; the mean covers some tens of them.
_TIME_CONSTANT_SECONDS: Final = 1.0


class PlaceUtilisation:
    """Average the utilisation of a server's places over time."""

    def __init__(self, now: float) -> None:
        self._mean = 0.0
        self._current = 0.0
        self._updated_at = now
        self._ends_at = now + HOLD_SECONDS

    def update(self, utilisation: float, now: float) -> None:
        """Set the utilisation from now on; waiting requests count like places."""
        seconds = max(0.0, now - self._updated_at)
        weight = 1.0 - math.exp(-seconds / _TIME_CONSTANT_SECONDS)
        self._mean += (self._current - self._mean) * weight
        self._current = utilisation
        self._updated_at = now
        if self._mean >= END_UTILISATION:
            self._ends_at = now + HOLD_SECONDS

    def is_contended(self, now: float) -> bool:
        """Return whether hosts have to ask for places."""
        return now < self._ends_at
