"""Track the base models of one engine and load one if it holds none."""

import logging
from collections.abc import Callable

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import (
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.operations.router.order_sequence import OrderSequence
from gooseberrydeal._internal.operations.router.server_record import ServerRecord

logger = logging.getLogger(__name__)


class BaseModels:
    """Hold an engine's base models, and order the load of one if there are none."""

    def __init__(
        self,
        record: ServerRecord,
        sequence: OrderSequence,
        clock: Callable[[], float],
    ) -> None:
        self._record = record
        self._sequence = sequence
        self._clock = clock
        self._held: set[str] = set()
        self._loading_until = 0.0

    @property
    def held(self) -> set[str]:
        """Return the names of the base models in the last report."""
        return self._held

    def apply_report(self, report: EngineReport) -> None:
        """Replace the known base models by those of an engine's report."""
        self._held = {name for name, _ in report.held.base_models}

    async def load_if_none(self) -> bool:
        """Order the smallest base model if none is held; return whether to wait."""
        engine = self._record.service.engine
        if self._held or engine is None or not engine.models:
            return False
        now = self._clock()
        if now < self._loading_until:
            return True
        model = min(engine.models.values(), key=lambda item: item.megabytes)
        key = AdapterCopyKey(model.name, "", 0)
        outcome = await self._sequence.send(OrderAction.LOAD, key)
        logger.info(
            "load of base model ordered, outcome %s",
            outcome.value,
            extra={"server": self._record.id},
        )
        if outcome in (OrderOutcome.DONE, OrderOutcome.ACCEPTED):
            self._loading_until = now + model.load_seconds
            self._sequence.invalidate_count()
        return True
