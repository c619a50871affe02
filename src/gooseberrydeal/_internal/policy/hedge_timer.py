"""Compute the delay after which a request is hedged with a second attempt."""

from collections import deque
from typing import Final

_MAX_SAMPLES: Final = 400
_MIN_SAMPLES: Final = 20
_QUANTILE: Final = 0.95
_MIN_DELAY_SECONDS: Final = 0.05
# The samples are sorted again only after this many new ones.
_SAMPLES_PER_UPDATE: Final = 20


class HedgeTimer:
    """Track the time from start to first token, and hedge past its 95th percentile.

    Until enough samples exist, the delay is ``fallback_seconds``.
    """

    def __init__(self, fallback_seconds: float) -> None:
        self._samples: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self._delay = fallback_seconds
        self._new_samples = 0

    @property
    def delay(self) -> float:
        """Return the seconds without a first token after which to hedge."""
        return self._delay

    def note_first_token(self, seconds: float) -> None:
        """Add the time from start to first token of a request, in seconds."""
        self._samples.append(seconds)
        self._new_samples += 1
        if self._new_samples < _SAMPLES_PER_UPDATE or len(self._samples) < _MIN_SAMPLES:
            return
        self._new_samples = 0
        ordered = sorted(self._samples)
        self._delay = max(_MIN_DELAY_SECONDS, ordered[int(len(ordered) * _QUANTILE)])
