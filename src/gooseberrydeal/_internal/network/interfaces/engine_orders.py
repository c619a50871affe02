"""Define the interface for orders to load and unload adapters on engines."""

from typing import Protocol

from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry


class EngineOrders(Protocol):
    """Fetch an engine's report and send it orders to load and unload adapters."""

    async def report(self, server: ServerEntry) -> EngineReport:
        """Return the engine's report; raise :class:`ServerError` if that fails."""
        ...

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        """Send an order once, without retries, and return its outcome."""
        ...
