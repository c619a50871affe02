"""Send the orders of one engine, each on the condition that it is the next."""

import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import (
    FIRST_VERSION,
    AdapterCopyKey,
)
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.server_record import ServerRecord

logger = logging.getLogger(__name__)

# An order without an answer is sent again with the same count of preceding orders, so
# that the engine carries out at most one of them.
_MAX_SENDS: Final = 3
# Delay of the next order after one that was not confirmed as accepted.
_FAILURE_DELAY_SECONDS: Final = 0.25


class OrderSequence:
    """Count an engine's accepted orders, and condition each new one on that count."""

    def __init__(
        self,
        record: ServerRecord,
        orders: EngineOrders,
        host: HostId,
        fencing: FencingNumber,
        may_order: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._record = record
        self._orders = orders
        self._host = host
        self._fencing = fencing
        self._may_order = may_order
        self._clock = clock
        self._count = 0
        self._is_count_known = False
        self._last_sent_at = 0.0
        self._is_sending = False
        self._paused_until = 0.0

    @property
    def count(self) -> int:
        """Return how many orders the engine has accepted since its start."""
        return self._count

    @property
    def is_count_known(self) -> bool:
        """Return whether the count is certain."""
        return self._is_count_known

    @property
    def last_sent_at(self) -> float:
        """Return the clock time of the last order, 0 if none was sent."""
        return self._last_sent_at

    @property
    def is_sending(self) -> bool:
        """Return whether an order was sent that has no outcome yet."""
        return self._is_sending

    def is_paused(self) -> bool:
        """Return whether the next order has to wait after a failed one."""
        return self._clock() < self._paused_until

    def set_count(self, count: int, *, is_count_known: bool) -> None:
        """Replace the count by the one that the engine reported."""
        self._count = count
        self._is_count_known = is_count_known

    def invalidate_count(self) -> None:
        """Mark the count as uncertain until the engine's report is read."""
        self._is_count_known = False

    async def send(self, action: OrderAction, key: AdapterCopyKey) -> OrderOutcome:
        """Send an order, repeat it while it has no answer, and return its outcome."""
        version = key.version if action is OrderAction.LOAD else 0
        order = AdapterOrder(
            action,
            key.model,
            key.adapter,
            version if version > FIRST_VERSION else 0,
            self._count,
            self._host,
            self._fencing,
        )
        outcome = OrderOutcome.UNKNOWN
        self._is_sending = True
        try:
            for _ in range(_MAX_SENDS):
                if outcome is not OrderOutcome.UNKNOWN or not self._may_order():
                    break
                outcome = await self._orders.order(self._record.entry, order)
        finally:
            self._is_sending = False
            self._last_sent_at = self._clock()
        logger.info(
            "order after %d accepted orders: %s, outcome %s",
            order.expected_order_count,
            action.value,
            outcome.value,
            extra={
                "server": self._record.id,
                "adapter": f"{key.model}/{key.adapter}",
                "adapter_version": key.version,
            },
        )
        if outcome in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            self._count += 1
            return outcome
        self._paused_until = self._last_sent_at + _FAILURE_DELAY_SECONDS
        if outcome is not OrderOutcome.NOT_SENT:
            self._is_count_known = False
        return outcome
