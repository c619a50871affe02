"""Raise and lower alarms."""

import logging

from gooseberrydeal._internal.models.alarm import Alarm
from gooseberrydeal._internal.network.metrics import Metrics

logger = logging.getLogger(__name__)


class Alarms:
    """Hold the alarms that are raised on this process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._raised: set[Alarm] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """Return the raised alarms."""
        return tuple(sorted(alarm.value for alarm in self._raised))

    def set(self, alarm: Alarm, *, is_raised: bool) -> None:
        """Raise or lower an alarm."""
        if is_raised == (alarm in self._raised):
            return
        self._metrics.set_alarm(alarm.value, is_raised=is_raised)
        if is_raised:
            self._raised.add(alarm)
            logger.warning("alarm raised", extra={"reason": alarm.value})
        else:
            self._raised.discard(alarm)
            logger.info("alarm lowered", extra={"reason": alarm.value})
