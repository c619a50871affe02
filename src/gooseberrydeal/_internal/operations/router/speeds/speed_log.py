"""Log what is learned of the speed of one engine."""

import logging
import math
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed

logger = logging.getLogger(__name__)

# A line for each engine at most this often, and only after a change by this ratio.
_MIN_INTERVAL_SECONDS: Final = 30.0
_MIN_RATIO: Final = 1.3


class SpeedLog:
    """Log the first speed that an owner learned of its engine, and large changes."""

    def __init__(self, server: ServerId) -> None:
        self._server = server
        self._logged: EngineSpeed | None = None
        self._logged_at = -math.inf

    def note(self, speed: EngineSpeed | None, now: float) -> None:
        """Log a speed if it is the first or has changed, but not too often."""
        if speed is None or now - self._logged_at < _MIN_INTERVAL_SECONDS:
            return
        if self._logged is not None and not _has_changed(self._logged, speed):
            return
        self._logged, self._logged_at = speed, now
        logger.info(
            "engine speed: step %.2f ms, %.0f prompt tokens/s, longest step %.0f ms",
            speed.step_seconds * 1000,
            speed.prompt_tokens_per_second,
            speed.longest_step_seconds * 1000,
            extra={"server": self._server},
        )


def _has_changed(known: EngineSpeed, speed: EngineSpeed) -> bool:
    ratios = (
        speed.step_seconds / known.step_seconds,
        speed.seconds_per_prompt_token / known.seconds_per_prompt_token,
    )
    return any(not 1.0 / _MIN_RATIO <= ratio <= _MIN_RATIO for ratio in ratios)
