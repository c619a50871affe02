"""Count orders to engines as requests, which the engines may limit or not want."""

from gooseberrydeal._internal.exceptions import ServerLimitedError
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.operations.router.server_table import ServerTable


class LimitedEngineOrders:
    """Send orders and read reports only as the engines' limits and notices allow."""

    def __init__(
        self,
        orders: EngineOrders,
        servers: ServerTable,
        limits: ServerLimits,
        notices: ServerNotices,
    ) -> None:
        self._orders = orders
        self._servers = servers
        self._limits = limits
        self._notices = notices

    async def order(self, entry: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        """Send an order; it is not sent if the engine takes no requests now."""
        if not self._take(entry):
            return OrderOutcome.NOT_SENT
        return await self._orders.order(entry, order)

    async def report(self, entry: ServerEntry) -> EngineReport:
        """Read an engine's report.

        Raises :class:`ServerLimitedError` if the engine takes no requests now, and what
        the client of the engine raises.
        """
        if not self._take(entry):
            raise ServerLimitedError("the server takes no requests now")
        return await self._orders.report(entry)

    def _take(self, entry: ServerEntry) -> bool:
        record = self._servers.get(entry.id)
        if record is None:
            return True
        return self._notices.may_send(record) and self._limits.take(record)
