"""Simulate an engine that executes adapter orders, in memory."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberrydeal._internal.exceptions import ServerUnreachableError
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import (
    HeldModels,
    ServerEntry,
)

MAX_CONCURRENT_LOADS = 4
LOAD_SECONDS = 0.25


@dataclass
class FakeAdapterEngine:
    """Hold adapter copies and log all orders.

    ``copies`` maps each copy to the time at which it is ready. A load that needs more
    slots than the engine has counts as a crash.
    """

    slots: int = 4
    started_at: int = 1
    order_count: int = 0
    base_models: set[str] = field(default_factory=set)
    copies: dict[AdapterCopyKey, float] = field(default_factory=dict)
    running: dict[AdapterCopyKey, int] = field(default_factory=dict)
    crashes: int = 0
    log: list[tuple[float, AdapterOrder]] = field(default_factory=list)

    def restart(self) -> None:
        """Start again without models, as a restarted process does."""
        self.started_at += 1
        self.order_count = 0
        self.copies.clear()
        self.base_models.clear()

    def loading(self, now: float) -> list[AdapterCopyKey]:
        """Return the copies that are still loading."""
        return [key for key, ready in self.copies.items() if ready > now]

    def apply(self, order: AdapterOrder, now: float) -> OrderOutcome:
        """Execute an order unless its expected order count is stale."""
        self.log.append((now, order))
        if order.expected_order_count != self.order_count:
            return OrderOutcome.CONFLICT
        if not order.adapter:
            self.order_count += 1
            self.base_models.add(order.model)
            return OrderOutcome.ACCEPTED
        key = AdapterCopyKey(order.model, order.adapter, order.version or 1)
        if order.action is OrderAction.UNLOAD:
            self.order_count += 1
            held = [k for k in self.copies if k.key == key.key]
            if any(self.running.get(k) for k in held):
                return OrderOutcome.ACCEPTED
            for k in held:
                del self.copies[k]
            return OrderOutcome.DONE
        if order.model not in self.base_models:
            return OrderOutcome.REJECTED
        if len(self.loading(now)) >= MAX_CONCURRENT_LOADS:
            return OrderOutcome.CONFLICT
        if len({k.key for k in self.copies} | {key.key}) > self.slots:
            self.crashes += 1
        self.order_count += 1
        for k in [k for k in self.copies if k.key == key.key]:
            del self.copies[k]
        self.copies[key] = now + LOAD_SECONDS
        return OrderOutcome.ACCEPTED


class FakeEngineOrders:
    """Replace the platform's client of engine orders, for one host.

    The next ``lost_answers`` orders are executed but their answers are lost. The next
    ``delayed_orders`` orders are executed only 5 s later, long after the caller has
    given up.
    """

    def __init__(self, engine: FakeAdapterEngine, clock: Callable[[], float]) -> None:
        self.engine = engine
        self.is_unreachable = False
        self.lost_answers = 0
        self.delayed_orders = 0
        self.report_count = 0
        self._clock = clock

    async def report(self, server: ServerEntry) -> EngineReport:
        await asyncio.sleep(0.002)
        if self.is_unreachable:
            raise ServerUnreachableError("engine is cut off")
        self.report_count += 1
        now = self._clock()
        ready = [k for k, ready_at in self.engine.copies.items() if ready_at <= now]
        return EngineReport(
            self.engine.started_at,
            self.engine.order_count,
            False,
            HeldModels(
                tuple((name, 1) for name in self.engine.base_models), tuple(ready)
            ),
            tuple(self.engine.loading(now)),
        )

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        await asyncio.sleep(0.002)
        if self.is_unreachable:
            return OrderOutcome.NOT_SENT
        if self.delayed_orders:
            self.delayed_orders -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(5.0, lambda: self.engine.apply(order, self._clock()))
            await asyncio.sleep(0.8)
            return OrderOutcome.UNKNOWN
        outcome = self.engine.apply(order, self._clock())
        if self.lost_answers:
            self.lost_answers -= 1
            await asyncio.sleep(0.8)
            return OrderOutcome.UNKNOWN
        return outcome
