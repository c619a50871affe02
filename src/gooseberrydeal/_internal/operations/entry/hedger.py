"""Make a second attempt beside a late first one."""

import asyncio
import logging
from typing import Final

from gooseberrydeal._internal.models.answer_events import AnswerEvent, AnswerRefused
from gooseberrydeal._internal.models.retry_reason import RetryReason
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.attempt import Attempt
from gooseberrydeal._internal.operations.entry.attempts import Attempts
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.placer import Placer
from gooseberrydeal._internal.policy.hedge_timer import HedgeTimer
from gooseberrydeal._internal.policy.retry_budget import RetryBudget

logger = logging.getLogger(__name__)

_FRACTION: Final = 0.04
_BURST: Final = 3.0
_FALLBACK_SECONDS: Final = 0.5
_QUEUE_HEDGE_SECONDS: Final = 0.75
_HEDGE_LOAD_WAIT_SECONDS: Final = 0.1
_PAUSE_SECONDS: Final = 0.02


class Hedger:
    """Hedge repeatable work within a budget, past the usual time to a first token."""

    def __init__(
        self, context: EntryContext, placer: Placer, attempts: Attempts
    ) -> None:
        self._context = context
        self._placer = placer
        self._attempts = attempts
        self._budget = RetryBudget(_FRACTION, _BURST)
        self._timers: dict[str, HedgeTimer] = {}
        self._hedged = 0

    @property
    def hedged(self) -> int:
        """Return how many second attempts were made."""
        return self._hedged

    def note_request(self) -> None:
        """Count a request, which pays for a part of a hedge."""
        self._budget.note_first_attempt()

    def timer(self, order: WorkOrder) -> HedgeTimer:
        """Return the timer of an order's kind of work."""
        key = f"{order.service}/{order.operation}"
        return self._timers.setdefault(key, HedgeTimer(_FALLBACK_SECONDS))

    async def second_attempt(
        self,
        order: WorkOrder,
        first: Attempt,
        reading: "asyncio.Task[AnswerEvent]",
        excluded: frozenset[str],
    ) -> Attempt | None:
        """Send a second attempt if the first one takes longer than is usual."""
        if not await self._is_late(order, first, reading):
            return None
        avoided = excluded | {first.placement.server}
        placed = self._placer.place(order, avoided)
        if isinstance(placed, AnswerRefused):
            return None
        if placed.needs_load and self._placer.load_wait() > _HEDGE_LOAD_WAIT_SECONDS:
            return None
        if not self._budget.take():
            return None
        second = self._attempts.make(order, placed)
        if await second.send() is not None:
            return None
        self._hedged += 1
        self._placer.sent(placed.server)
        self._context.metrics.count_retry(RetryReason.HEDGED)
        logger.info("hedged", extra={"request_id": order.request_id})
        return second

    async def _is_late(
        self, order: WorkOrder, first: Attempt, reading: "asyncio.Task[AnswerEvent]"
    ) -> bool:
        delay = self.timer(order).delay
        patience = first.placement.wait_seconds * 2 + _QUEUE_HEDGE_SECONDS
        started_at: float | None = None
        began = self._context.clock.monotonic()
        while self._context.clock.monotonic() < order.deadline:
            done, _ = await asyncio.wait({reading}, timeout=_PAUSE_SECONDS)
            if done:
                return False
            now = self._context.clock.monotonic()
            if first.started is None:
                if now - began >= patience:
                    return True
                continue
            started_at = started_at or now
            if now - started_at >= delay:
                return True
        return False

    async def first_of(
        self,
        first: Attempt,
        reading: "asyncio.Task[AnswerEvent]",
        second: Attempt,
    ) -> tuple[Attempt, AnswerEvent]:
        """Return the attempt that answers first, and cancel the other."""
        racing = {reading: first, asyncio.create_task(second.next()): second}
        try:
            while True:
                done, _ = await asyncio.wait(
                    racing, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    winner = racing.pop(task)
                    event = task.result()
                    if isinstance(event, AnswerRefused) and racing:
                        await winner.end()
                        continue
                    return winner, event
        finally:
            for task, loser in racing.items():
                task.cancel()
                await loser.end()
