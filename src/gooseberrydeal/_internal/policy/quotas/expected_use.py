"""Estimate how many tokens an account will use at this host."""

import math
from typing import Final

# Longer than the gaps between requests at a few per second, and short enough for an
# account that moves from host to host every few seconds.
_DECAY_SECONDS: Final = 1.0
# Without a request for this long, no more tokens are asked for.
_ACTIVE_SECONDS: Final = 1.5


class ExpectedUse:
    """Keep an exponentially decaying rate of the tokens that requests need."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = -math.inf
        self._size = 0.0

    @property
    def size(self) -> float:
        """Return the tokens of the last request."""
        return self._size

    def note(self, size: float, now: float) -> None:
        """Count a request that needs ``size`` tokens."""
        self._rate = self.rate(now) + size / _DECAY_SECONDS
        self._updated_at = now
        self._size = size

    def rate(self, now: float) -> float:
        """Return the expected tokens per second."""
        return self._rate * math.exp((self._updated_at - now) / _DECAY_SECONDS)

    def is_active(self, now: float) -> bool:
        """Return whether further requests are likely soon."""
        return now - self._updated_at <= _ACTIVE_SECONDS
