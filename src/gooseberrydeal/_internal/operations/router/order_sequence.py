"""Send the orders of one engine one after the other."""

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

# An order without an answer is sent again with the same count of orders before it, so
# that no more than one of them is carried out.
_MOST_SENDS: Final = 3
# After an order that was not carried out, the next one waits.
_PAUSE_SECONDS: Final = 0.25


class OrderSequence:
    """Count the orders that the engine accepted, and condition each on that count."""

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
        self._is_known = False
        self._last_at = 0.0
        self._paused_until = 0.0

    @property
    def count(self) -> int:
        """Return how many orders the engine has accepted since its start."""
        return self._count

    @property
    def is_known(self) -> bool:
        """Return whether the count is certain."""
        return self._is_known

    @property
    def last_at(self) -> float:
        """Return when the last order was given, 0 if none was."""
        return self._last_at

    def is_paused(self) -> bool:
        """Return whether the next order has to wait."""
        return self._clock() < self._paused_until

    def adopt(self, count: int, *, is_known: bool) -> None:
        """Take the engine's own count over."""
        self._count = count
        self._is_known = is_known

    def doubt(self) -> None:
        """Note that the count is no longer certain."""
        self._is_known = False

    async def send(self, action: OrderAction, key: AdapterCopyKey) -> OrderOutcome:
        """Give an order, and repeat it while it has no answer."""
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
        for _ in range(_MOST_SENDS):
            if outcome is not OrderOutcome.UNKNOWN or not self._may_order():
                break
            outcome = await self._orders.order(self._record.entry, order)
        self._last_at = self._clock()
        logger.info(
            "order %d to %s: %s",
            order.after_orders,
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
        self._paused_until = self._last_at + _PAUSE_SECONDS
        if outcome is not OrderOutcome.NOT_SENT:
            self._is_known = False
        return outcome
