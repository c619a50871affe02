"""Separate the part of a wait that does not depend on the prompts."""

import statistics
from collections import deque
from typing import Final

# A request arrives in the middle of a step on average, and its first token is generated
# by the step that reads the end of its prompt.
_DEFAULT_DELAY_STEPS: Final = 1.5
# An engine may send its first event only once it has all of its tokens.
_MAX_DELAY_STEPS: Final = 64.0
# Two waits whose prompts differ less show nothing but noise.
_MIN_TOKEN_DIFFERENCE: Final = 250
# Prompts up to this many tokens are read in one step by all kinds of engines known, so
# that their waits do not depend on how many tokens a step reads. Longer ones count only
# where most are longer.
_ONE_STEP_TOKENS: Final = 1_024
_WINDOW: Final = 1_024
_MIN_PAIRS: Final = 40
_RECOMPUTE_AFTER_WAITS: Final = 16
# Each wait is compared with those that came this many waits after it.
_DISTANCES: Final = (1, 3, 7)


class WaitLine:
    """Fit a line through the waits of a service's streams by their prompt tokens.

    Its slope is the median over pairs of waits, so that a few long waits do not count.
    The rest of a wait is expressed in steps: half a step until the request is seen, and
    the steps until its first event is sent, which differ between kinds of engines.
    """

    def __init__(self) -> None:
        self._waits: deque[tuple[int, float]] = deque(maxlen=_WINDOW)
        self._shorter = 0
        self._longer = 0
        self._since = 0
        self._delay_seconds: float | None = None
        self._slope_seconds: float | None = None

    @property
    def slope_seconds(self) -> float | None:
        """Return how much each prompt token adds to a wait, ``None`` while unknown."""
        return self._slope_seconds

    def add(self, prompt_tokens: int, seconds: float) -> None:
        """Add the wait of one stream, as it would be at the service's usual speed."""
        if prompt_tokens > _ONE_STEP_TOKENS:
            self._longer += 1
            if self._longer <= self._shorter + _MIN_PAIRS:
                return
        else:
            self._shorter += 1
        self._waits.append((prompt_tokens, seconds))
        self._since += 1
        if self._since >= _RECOMPUTE_AFTER_WAITS:
            self._since = 0
            self._fit()

    def delay_steps(self, step_seconds: float) -> float:
        """Return the part of a wait that does not depend on the prompts, in steps."""
        if self._delay_seconds is None:
            return _DEFAULT_DELAY_STEPS
        return min(_MAX_DELAY_STEPS, max(0.5, self._delay_seconds / step_seconds))

    def _fit(self) -> None:
        waits = list(self._waits)
        slopes = [
            (other[1] - wait[1]) / (other[0] - wait[0])
            for distance in _DISTANCES
            for wait, other in zip(waits, waits[distance:], strict=False)
            if abs(other[0] - wait[0]) >= _MIN_TOKEN_DIFFERENCE
        ]
        if len(slopes) < _MIN_PAIRS:
            return
        slope = max(0.0, statistics.median(slopes))
        self._slope_seconds = slope
        self._delay_seconds = statistics.median(
            seconds - tokens * slope for tokens, seconds in waits
        )
