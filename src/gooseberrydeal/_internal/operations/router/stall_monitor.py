"""Notice that the process stood still."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

logger = logging.getLogger(__name__)

_LOOK_SECONDS: Final = 0.5
# Longer than a busy loop takes for one round; callers notice a pause of this length.
_STALL_SECONDS: Final = 0.5


class StallMonitor:
    """Log pauses in which a suspended or starved process served nobody.

    ``elapsed`` is a clock that counts a suspended machine's time.
    """

    def __init__(self, elapsed: Callable[[], float]) -> None:
        self._elapsed = elapsed

    async def run(self) -> None:
        """Compare the clock with what was slept, until cancelled."""
        while True:
            begun = self._elapsed()
            await asyncio.sleep(_LOOK_SECONDS)
            stalled = self._elapsed() - begun - _LOOK_SECONDS
            if stalled > _STALL_SECONDS:
                logger.warning(
                    "the process stood still for %.1f s; callers and servers may have"
                    " given up meanwhile",
                    stalled,
                )
