"""Follow when the metadata store responds, and what may have been missed."""

import logging
import math
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any, Final

from gooseberrydeal._internal.operations.router.delayed_removals import (
    REREGISTRATION_SECONDS,
    DelayedRemovals,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView

logger = logging.getLogger(__name__)

# A server that starts registers, and a watch shows it, within this time.
_REGISTRATION_SECONDS: Final = 3.0
# Servers update their entries more often than this, so a response that comes so much
# later than the next read was due means that the store was unavailable.
_MAX_RESPONSE_DELAY_SECONDS: Final = 1.1
# An entry expires after two to three of the intervals of 1.2 s in which servers write
# theirs. All may write once between the end of an outage and the next response.
_SHORTEST_EXPIRY_SECONDS: Final = 1.2
# The median of so many reads shows how often the store is usually written.
_RATE_READS: Final = 9


class StoreAvailability:
    """Note outages of the store, and suspend removals until a while after them.

    Entries of servers and hosts that expired during an outage are written again once
    the store is back.
    """

    def __init__(
        self,
        view: MetadataView,
        removals: tuple[DelayedRemovals[Any], ...],
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._removals = removals
        self._clock = clock
        self._is_down = False
        self._responding_since = math.inf
        self._grace_until = 0.0
        self._rates: deque[float] = deque(maxlen=_RATE_READS)

    @property
    def grace_until(self) -> float:
        """Return until when entries that are gone may be written again."""
        return self._grace_until

    def note_outage(self, error: Exception) -> None:
        """Record that a call failed."""
        if not self._is_down:
            logger.warning(
                "metadata store unavailable; keeping the last known state: %s", error
            )
        self._is_down = True
        for removals in self._removals:
            removals.suspend()

    def note_response(self, writes: int) -> None:
        """Record that the store answered a call that reads all changes.

        Since the last response it had taken so many ``writes`` of any kind.
        """
        now = self._clock()
        longest_gap = self._view.periods.store_poll + _MAX_RESPONSE_DELAY_SECONDS
        gap = now - self._view.last_response_at if self._view.last_response_at else 0.0
        had_gap = gap > longest_gap
        if self._is_down or had_gap or not self._view.last_response_at:
            self._responding_since = now
        if self._is_down or had_gap:
            rate = median(self._rates) if self._rates else 0.0
            written = writes / rate if rate else 0.0
            logger.info(
                "metadata store available again after %.1f s; its writes in that time"
                " usually take %.1f s",
                gap,
                written,
            )
            self._is_down = False
            if gap - written >= _SHORTEST_EXPIRY_SECONDS:
                self._grace_until = now + REREGISTRATION_SECONDS
            for removals in self._removals:
                removals.resume(max(now, self._grace_until))
        elif gap > 0.0:
            self._rates.append(writes / gap)
        self._view.last_response_at = now
        if now - self._responding_since >= _REGISTRATION_SECONDS:
            self._view.starts_known_until = now - _REGISTRATION_SECONDS
