"""Keep the newest slowdown that a server stated, for as long as it counts."""

import math
from typing import Final

from gooseberrydeal._internal.models.routing.slowdown import NORMAL_SLOWDOWN

# Servers state another slowdown many times a second. One that gets no requests because
# of what it stated last can't state another one, so that has to end.
_VALID_SECONDS: Final = 10.0


class StatedSlowdown:
    """Hold a slowdown until it is replaced, or is too old to say anything."""

    def __init__(self) -> None:
        self._slowdown = NORMAL_SLOWDOWN
        self._stated_at = -math.inf

    @property
    def stated_at(self) -> float:
        """Return when it was stated."""
        return self._stated_at

    def current(self, now: float) -> float:
        """Return the slowdown, the usual one if none counts."""
        is_valid = now - self._stated_at < _VALID_SECONDS
        return self._slowdown if is_valid else NORMAL_SLOWDOWN

    def state(self, slowdown: float, stated_at: float) -> None:
        """Replace the slowdown."""
        self._slowdown = slowdown
        self._stated_at = stated_at
