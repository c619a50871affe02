"""Log refusals of client accounts without flooding the log."""

import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.policy.accounts.key_check import KeyCheck

logger = logging.getLogger(__name__)

# Clients choose how often they are refused, so lines beyond these are only counted.
_WINDOW_SECONDS: Final = 10.0
_MAX_LINES: Final = 5


class RefusalLog:
    """Log the first refusals of each window, and how many were left out."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._began_at = 0.0
        self._lines = 0
        self._left_out = 0

    def refused(
        self, check: KeyCheck, request_id: RequestId, revision: int, age: float
    ) -> None:
        """Log why a request was refused, with the configuration that decided it."""
        now = self._clock()
        if now - self._began_at >= _WINDOW_SECONDS:
            if self._left_out:
                logger.info(
                    "%d further requests were refused for their keys", self._left_out
                )
            self._began_at, self._lines, self._left_out = now, 0, 0
        if self._lines >= _MAX_LINES:
            self._left_out += 1
            return
        self._lines += 1
        reason = check.refusal.value if check.refusal is not None else ""
        logger.info(
            "request refused: its key is %s; configuration confirmed %.3f s ago",
            check.state.value,
            age,
            extra={"request_id": request_id, "reason": reason, "revision": revision},
        )
