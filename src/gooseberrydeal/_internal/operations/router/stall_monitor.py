"""Detect stalls of the event loop."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

logger = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS: Final = 0.5
# Longer than one iteration of a busy event loop takes, and long enough for callers to
# notice.
_STALL_THRESHOLD_SECONDS: Final = 0.5


class StallMonitor:
    """Log stalls in which the suspended or CPU-starved process served no requests.

    ``elapsed`` is a monotonic clock in seconds that includes time spent suspended.
    """

    def __init__(self, elapsed: Callable[[], float]) -> None:
        self._elapsed = elapsed

    async def run(self) -> None:
        """Compare elapsed time with the intended sleep, until cancelled."""
        while True:
            started_at = self._elapsed()
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            stall_seconds = self._elapsed() - started_at - _CHECK_INTERVAL_SECONDS
            if stall_seconds > _STALL_THRESHOLD_SECONDS:
                logger.warning(
                    "event loop stalled for %.1f s; callers and servers may have timed"
                    " out meanwhile",
                    stall_seconds,
                )
