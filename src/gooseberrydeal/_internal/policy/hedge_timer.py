"""Decide when a second attempt beside the first is worth its cost."""

from collections import deque
from typing import Final

_SAMPLES: Final = 400
_LEAST_SAMPLES: Final = 20
_QUANTILE: Final = 0.95
_LEAST_SECONDS: Final = 0.05
_RECOMPUTE_EVERY: Final = 20


class HedgeTimer:
    """Follow the time from start to first token, and hedge past its 95th percentile."""

    def __init__(self, fallback_seconds: float) -> None:
        self._samples: deque[float] = deque(maxlen=_SAMPLES)
        self._delay = fallback_seconds
        self._unseen = 0

    @property
    def delay(self) -> float:
        """Return after how many seconds without a token to hedge."""
        return self._delay

    def note(self, seconds: float) -> None:
        """Add the time to first token of a request that has started."""
        self._samples.append(seconds)
        self._unseen += 1
        if self._unseen < _RECOMPUTE_EVERY or len(self._samples) < _LEAST_SAMPLES:
            return
        self._unseen = 0
        ordered = sorted(self._samples)
        self._delay = max(_LEAST_SECONDS, ordered[int(len(ordered) * _QUANTILE)])
