"""Notice when a backend server falls behind its peers."""

import statistics
from collections.abc import Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId

_SMOOTHING: Final = 0.3
_SILENCE_FACTOR: Final = 4.0
_RECOVERY_SECONDS: Final = 1.0
_SLOW_RATIO: Final = 2.5
_MAX_SLOWDOWN: Final = 50.0
_LEAST_GAP: Final = 0.001


class PaceTracker:
    """Measure a server's own pace, without its late load reports.

    A gap is the time between two parts of an answer. A request that has waited much
    longer than the usual gap counts at once, so that a stall shows before it ends.
    """

    def __init__(self, usual_first: float, usual_gap: float) -> None:
        self._usual_first = usual_first
        self._usual_gap = usual_gap
        self._first = usual_first
        self._gap = usual_gap
        self._waiting: dict[RequestId, tuple[float, bool]] = {}
        self._updated = 0.0

    @property
    def gap(self) -> float:
        """Return the smoothed seconds between tokens."""
        return self._gap

    @property
    def first(self) -> float:
        """Return the smoothed seconds to a first token."""
        return self._first

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
        if is_first:
            self._first += _SMOOTHING * (elapsed - self._first)
        else:
            self._gap += _SMOOTHING * (elapsed / tokens - self._gap)
        self._waiting[request] = (now, False)
        self._updated = now

    def ended(self, request: RequestId) -> None:
        """Note that a request no longer runs."""
        self._waiting.pop(request, None)

    def slowdown(self, now: float) -> float:
        """Return how many times slower than its peers the server is now.

        Where nothing runs there is no evidence, and the estimate fades, so that the
        server gets work again and can show its pace.
        """
        measured = max(self._first / self._usual_first, self._gap / self._usual_gap)
        if not self._waiting:
            self._fade(now)
        silent = self._silence_ratio(now)
        ratio = max(measured, silent)
        if ratio < _SLOW_RATIO:
            return 1.0
        return min(ratio, _MAX_SLOWDOWN)

    def _silence_ratio(self, now: float) -> float:
        ratios = sorted(
            (
                (now - since) / (self._usual_first if is_first else self._usual_gap)
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
        if now - self._updated < _RECOVERY_SECONDS:
            return
        self._updated = now
        self._first += (self._usual_first - self._first) / 2
        self._gap += (self._usual_gap - self._gap) / 2


def usual_of(values: Iterable[float], fallback: float) -> float:
    """Return the median of the peers' values."""
    listed = [value for value in values if value > 0]
    return statistics.median(listed) if listed else fallback
