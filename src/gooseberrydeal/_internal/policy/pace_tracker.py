"""Notice when a backend server falls behind its peers."""

import statistics
from collections.abc import Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId

_SMOOTHING: Final = 0.3
_SILENCE_FACTOR: Final = 4.0
_RECOVERY_SECONDS: Final = 2.0
_SLOW_RATIO: Final = 2.5
_MAX_SLOWDOWN: Final = 50.0
_LEAST_GAP: Final = 0.001
_LEAST_EXCESS_SECONDS: Final = 0.06


class PaceTracker:
    """Measure a server's own pace, without its late load reports.

    A gap is the time between two parts of an answer. A request that has waited much
    longer than the usual gap counts at once, so that a stall shows before it ends.
    """

    def __init__(self, usual_first: float, usual_gap: float) -> None:
        self._usual_first = usual_first
        self._usual_gap = usual_gap
        self._first = 0.0
        self._gap = 0.0
        self._waiting: dict[RequestId, tuple[float, bool]] = {}
        self._updated = 0.0

    @property
    def measured_gap(self) -> float:
        """Return the smoothed seconds between tokens, 0 before any were seen."""
        return self._gap

    @property
    def measured_first(self) -> float:
        """Return the smoothed seconds to a first token, 0 before any was seen."""
        return self._first

    @property
    def gap(self) -> float:
        """Return the seconds to expect between tokens."""
        return self._gap or self._usual_gap

    @property
    def first(self) -> float:
        """Return the seconds to expect to a first token."""
        return self._first or self._usual_first

    @property
    def usual_first(self) -> float:
        """Return what the peers need to a first token."""
        return self._usual_first

    @property
    def usual_gap(self) -> float:
        """Return what the peers need between tokens."""
        return self._usual_gap

    def set_usual(self, first: float, gap: float) -> None:
        """Take over what the peers of the server need."""
        self._usual_first = max(first, _LEAST_GAP)
        self._usual_gap = max(gap, _LEAST_GAP)

    def started(self, request: RequestId, now: float) -> None:
        """Note that a request was sent to the server."""
        self._waiting[request] = (now, True)

    def progressed(self, request: RequestId, tokens: int, now: float) -> None:
        """Note that tokens came for a request."""
        found = self._waiting.get(request)
        if found is None or tokens <= 0:
            return
        since, is_first = found
        elapsed = now - since
        self._learn(elapsed if is_first else elapsed / tokens, is_first=is_first)
        self._waiting[request] = (now, False)
        self._updated = now

    def ended(self, request: RequestId, now: float) -> None:
        """Note that a request no longer runs.

        One that was given up after a long silence shows at least that much.
        """
        found = self._waiting.pop(request, None)
        if found is None:
            return
        since, is_first = found
        usual = self._usual_first if is_first else self._usual_gap
        if now - since > _SLOW_RATIO * usual:
            self._learn_at_least(now - since, is_first=is_first)
            self._updated = now

    def slowdown(self, now: float) -> float:
        """Return how many times slower than its peers the server is now.

        Where nothing runs there is no evidence, and the estimate fades, so that the
        server gets work again and can show its pace.
        """
        measured = max(
            _ratio(self.first, self._usual_first), _ratio(self.gap, self._usual_gap)
        )
        if not self._waiting:
            self._fade(now)
        silent = self._silence_ratio(now)
        ratio = max(measured, silent)
        if ratio < _SLOW_RATIO:
            return 1.0
        return min(ratio, _MAX_SLOWDOWN)

    def _learn(self, seconds: float, *, is_first: bool) -> None:
        if is_first:
            self._first = self.first + _SMOOTHING * (seconds - self.first)
        else:
            self._gap = self.gap + _SMOOTHING * (seconds - self.gap)

    def _learn_at_least(self, seconds: float, *, is_first: bool) -> None:
        if is_first:
            self._first = max(self.first, seconds)
        else:
            self._gap = max(self.gap, seconds)

    def _silence_ratio(self, now: float) -> float:
        ratios = sorted(
            (
                _ratio(now - since, self._usual_first if is_first else self._usual_gap)
                for since, is_first in self._waiting.values()
            ),
            reverse=True,
        )
        if not ratios or ratios[0] < _SILENCE_FACTOR:
            return 1.0
        if len(ratios) == 1:
            return ratios[0] / 2
        return ratios[1] if ratios[1] >= _SILENCE_FACTOR else 1.0

    def _fade(self, now: float) -> None:
        is_known = self._first > 0 or self._gap > 0
        if not is_known or now - self._updated < _RECOVERY_SECONDS:
            return
        self._updated = now
        self._first = (self.first + self._usual_first) / 2
        self._gap = (self.gap + self._usual_gap) / 2


def _ratio(seconds: float, usual: float) -> float:
    """Return how many times longer than usual something takes.

    What is late by less than a few scheduling delays is not late at all.
    """
    return seconds / usual if seconds - usual > _LEAST_EXCESS_SECONDS else 1.0


def usual_of(values: Iterable[float], fallback: float) -> float:
    """Return the lower median of the peers' values."""
    listed = [value for value in values if value > 0]
    return statistics.median_low(listed) if listed else fallback
