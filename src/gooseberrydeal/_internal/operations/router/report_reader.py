"""Read the report of one engine when it is due."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.order_sequence import OrderSequence
from gooseberrydeal._internal.operations.router.server_record import ServerRecord

logger = logging.getLogger(__name__)

# An engine's report may be this old, so it is read no sooner after an order.
REPORT_LAG_SECONDS: Final = 0.3
# Shortest time between two reads of the report, since each read is charged for.
_MIN_INTERVAL_SECONDS: Final = 0.5


class ReportReader:
    """Read an engine's report, no sooner and no more often than is useful.

    The first read is due at once. Reading is no order, so that an owner may do so
    before its first order is allowed.
    """

    def __init__(
        self,
        record: ServerRecord,
        orders: EngineOrders,
        sequence: OrderSequence,
        clock: Callable[[], float],
    ) -> None:
        self._record = record
        self._orders = orders
        self._sequence = sequence
        self._clock = clock
        self._has_read = False
        self._last_read_at = -math.inf
        self._next_read_at = -math.inf

    @property
    def has_read(self) -> bool:
        """Return whether the report was read at least once."""
        return self._has_read

    @property
    def is_due(self) -> bool:
        """Return whether a scheduled read is due."""
        return self._clock() >= self._next_read_at

    def schedule(self, at: float) -> None:
        """Schedule a read for a clock time, unless an earlier one is scheduled."""
        self._next_read_at = min(self._next_read_at, at)

    async def read(self) -> EngineReport | None:
        """Wait until the report may be read; return it, ``None`` if the read failed."""
        earliest = self._last_read_at + _MIN_INTERVAL_SECONDS
        if self._sequence.last_sent_at:
            earliest = max(earliest, self._sequence.last_sent_at + REPORT_LAG_SECONDS)
        wait = earliest - self._clock()
        if wait > 0:
            await asyncio.sleep(wait)
        self._last_read_at = self._clock()
        try:
            report = await self._orders.report(self._record.entry)
        except ServerError as error:
            logger.info(
                "engine report not read; no orders until it is: %s",
                error,
                extra={"server": self._record.id},
            )
            return None
        logger.info(
            "engine report read: %d adapters held, %d loading, %d orders accepted",
            len(report.held.adapters),
            len(report.loading),
            report.order_count,
            extra={"server": self._record.id},
        )
        self._has_read = True
        self._next_read_at = math.inf
        return report
