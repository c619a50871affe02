"""Define what is needed to give orders to a model engine."""

from typing import Protocol

from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry


class EngineOrders(Protocol):
    """Read an engine's report and order loads and unloads."""

    async def report(self, server: ServerEntry) -> EngineReport:
        """Return the engine's report, or raise :class:`ServerError`."""
        ...

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        """Send an order once and return what became of it."""
        ...
