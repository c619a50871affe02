"""Tell whether a request that is being received still grows."""

from collections.abc import Callable
from typing import Final

# A client that sends one TCP segment per idle timeout sends more than this in several.
_PROGRESS_BYTES: Final = 1_024
_PROGRESS_TIMEOUTS: Final = 4
# What counts as progress where others wait for room: 8 KB/s over two seconds.
_SUBSTANTIAL_BYTES: Final = 16_384


class BodyProgress:
    """Note when a body last grew; times are on the given clock, in seconds.

    The body is over its time limit if nothing arrives for the idle timeout, or almost
    nothing for a multiple of it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.begin(0)

    @property
    def stalled(self) -> float:
        """Return since when the request has not grown by a substantial part."""
        return self._clock() - self._substantial_at

    def begin(self, size: int) -> None:
        """Start all limits anew for a body of which some bytes have arrived."""
        now = self._clock()
        self._size = self._progress_size = self._substantial_size = size
        self._grew_at = self._progress_at = self._substantial_at = now

    def note(self, size: int) -> None:
        """Note how much of the body has arrived."""
        if size <= self._size:
            return
        now = self._clock()
        self._size = size
        self._grew_at = now
        if size >= self._progress_size + _PROGRESS_BYTES:
            self._progress_size, self._progress_at = size, now
        if size >= self._substantial_size + _SUBSTANTIAL_BYTES:
            self._substantial_size, self._substantial_at = size, now

    def seconds_left(self, idle_timeout: float) -> float:
        """Return after how many seconds the body is over its time limit."""
        progress_until = self._progress_at + _PROGRESS_TIMEOUTS * idle_timeout
        return min(self._grew_at + idle_timeout, progress_until) - self._clock()
