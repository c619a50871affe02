"""Detect when a backend server is slower than its peers."""

import statistics
from collections.abc import Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId

# Weight of the newest sample in the moving averages.
_SMOOTHING: Final = 0.3
# A request that waits this many times longer than the baseline counts as stalled.
_STALL_RATIO: Final = 4.0
# Without requests, the averages move halfway to the baseline at this interval.
_RECOVERY_INTERVAL_SECONDS: Final = 2.0
# A server below this ratio is reported as normal.
_SLOW_RATIO: Final = 2.5
_MAX_SLOWDOWN: Final = 50.0
_MIN_BASELINE_SECONDS: Final = 0.001
# An excess over the baseline up to this, a few scheduling delays, is ignored.
_MIN_EXCESS_SECONDS: Final = 0.06


class LatencyTracker:
    """Measure how fast a server answers, independently of its delayed load reports.

    Two times are tracked: ``first``, from sending a request to its first token, and
    ``gap``, between two tokens. Both are compared with a baseline, the times of the
    server's peers. A request that has waited much longer than the baseline counts
    immediately, so that a stall is detected while it lasts.
    """

    def __init__(self, baseline_first: float, baseline_gap: float) -> None:
        self._baseline_first = baseline_first
        self._baseline_gap = baseline_gap
        self._first = 0.0
        self._gap = 0.0
        self._waiting: dict[RequestId, tuple[float, bool]] = {}
        self._updated_at = 0.0

    @property
    def measured_gap(self) -> float:
        """Return the smoothed seconds between tokens, 0 before any were received."""
        return self._gap

    @property
    def measured_first(self) -> float:
        """Return the smoothed seconds to the first token, 0 before any was received."""
        return self._first

    @property
    def gap(self) -> float:
        """Return the expected seconds between tokens."""
        return self._gap or self._baseline_gap

    @property
    def first(self) -> float:
        """Return the expected seconds to the first token."""
        return self._first or self._baseline_first

    @property
    def baseline_first(self) -> float:
        """Return the seconds that the server's peers need to the first token."""
        return self._baseline_first

    @property
    def baseline_gap(self) -> float:
        """Return the seconds that the server's peers need between tokens."""
        return self._baseline_gap

    def set_baseline(self, first: float, gap: float) -> None:
        """Set the baseline times in seconds, as measured at the server's peers."""
        self._baseline_first = max(first, _MIN_BASELINE_SECONDS)
        self._baseline_gap = max(gap, _MIN_BASELINE_SECONDS)

    def started(self, request: RequestId, now: float) -> None:
        """Record that a request was sent to the server."""
        self._waiting[request] = (now, True)

    def progressed(self, request: RequestId, tokens: int, now: float) -> None:
        """Record that tokens were received for a request."""
        found = self._waiting.get(request)
        if found is None or tokens <= 0:
            return
        since, is_first = found
        elapsed = now - since
        self._add_sample(elapsed if is_first else elapsed / tokens, is_first=is_first)
        self._waiting[request] = (now, False)
        self._updated_at = now

    def ended(self, request: RequestId, now: float) -> None:
        """Record that a request no longer runs.

        If it ended after a long time without tokens, that time is a lower bound for the
        server's current one.
        """
        found = self._waiting.pop(request, None)
        if found is None:
            return
        since, is_first = found
        baseline = self._baseline_first if is_first else self._baseline_gap
        if now - since > _SLOW_RATIO * baseline:
            self._raise_to(now - since, is_first=is_first)
            self._updated_at = now

    def slowdown(self, now: float) -> float:
        """Return how many times slower than its peers the server is, 1.0 if it is not.

        While the server runs no requests there is no evidence, so the estimate returns
        to normal step by step; otherwise a server once slow would never get requests
        again that could show its recovery.
        """
        measured = max(
            _ratio(self.first, self._baseline_first),
            _ratio(self.gap, self._baseline_gap),
        )
        if not self._waiting:
            self._recover(now)
        stalled = self._stall_ratio(now)
        ratio = max(measured, stalled)
        if ratio < _SLOW_RATIO:
            return 1.0
        return min(ratio, _MAX_SLOWDOWN)

    def _add_sample(self, seconds: float, *, is_first: bool) -> None:
        if is_first:
            self._first = self.first + _SMOOTHING * (seconds - self.first)
        else:
            self._gap = self.gap + _SMOOTHING * (seconds - self.gap)

    def _raise_to(self, seconds: float, *, is_first: bool) -> None:
        if is_first:
            self._first = max(self.first, seconds)
        else:
            self._gap = max(self.gap, seconds)

    def _stall_ratio(self, now: float) -> float:
        """Return the slowdown that requests without new tokens show.

        A single stalled request is weak evidence: its ratio is halved if it is the only
        one running, and ignored if others make progress.
        """
        ratios = sorted(
            (
                _ratio(
                    now - since,
                    self._baseline_first if is_first else self._baseline_gap,
                )
                for since, is_first in self._waiting.values()
            ),
            reverse=True,
        )
        if not ratios or ratios[0] < _STALL_RATIO:
            return 1.0
        if len(ratios) == 1:
            return ratios[0] / 2
        return ratios[1] if ratios[1] >= _STALL_RATIO else 1.0

    def _recover(self, now: float) -> None:
        is_measured = self._first > 0 or self._gap > 0
        if not is_measured or now - self._updated_at < _RECOVERY_INTERVAL_SECONDS:
            return
        self._updated_at = now
        self._first = (self.first + self._baseline_first) / 2
        self._gap = (self.gap + self._baseline_gap) / 2


def _ratio(seconds: float, baseline: float) -> float:
    """Return how many times longer than the baseline something takes.

    An excess of a few scheduling delays is ignored.
    """
    return seconds / baseline if seconds - baseline > _MIN_EXCESS_SECONDS else 1.0


def baseline_of(values: Iterable[float], fallback: float) -> float:
    """Return the lower median of the positive values, or ``fallback`` without any."""
    listed = [value for value in values if value > 0]
    return statistics.median_low(listed) if listed else fallback
