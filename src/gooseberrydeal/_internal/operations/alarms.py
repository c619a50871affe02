"""Raise and clear the alarms of a process."""

import logging

from gooseberrydeal._internal.models.alarm import Alarm
from gooseberrydeal._internal.network.metrics import Metrics

logger = logging.getLogger(__name__)


class Alarms:
    """Track the active alarms of this process and export them as metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._active: set[Alarm] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the active alarms, sorted."""
        return tuple(sorted(alarm.value for alarm in self._active))

    def set(self, alarm: Alarm, *, is_raised: bool) -> None:
        """Raise or clear an alarm; log and export only actual changes."""
        if is_raised == (alarm in self._active):
            return
        self._metrics.set_alarm(alarm.value, is_raised=is_raised)
        if is_raised:
            self._active.add(alarm)
            logger.warning("alarm raised", extra={"reason": alarm.value})
        else:
            self._active.discard(alarm)
            logger.info("alarm cleared", extra={"reason": alarm.value})
