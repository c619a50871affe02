"""Hedge late requests with a second attempt on another server."""

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

# The number of hedges allowed per request, on average.
_HEDGE_FRACTION: Final = 0.04
_HEDGE_BUDGET_CAPACITY: Final = 3.0
# The hedge delay until enough times to first token are known.
_DEFAULT_HEDGE_DELAY_SECONDS: Final = 0.5
# Added to twice the expected wait to get the longest time in a queue before a hedge.
_QUEUE_MARGIN_SECONDS: Final = 0.75
# No hedge is sent to a server that would have to wait longer to load the adapter.
_MAX_LOAD_WAIT_SECONDS: Final = 0.1
_POLL_INTERVAL_SECONDS: Final = 0.02


class Hedger:
    """Send a second attempt of repeatable requests that get no answer in time.

    A first attempt is late if it waits too long in its server's queue, or if its first
    token takes longer than usual once it has started. A budget limits hedges to a
    fraction of the requests.
    """

    def __init__(
        self, context: EntryContext, placer: Placer, attempts: Attempts
    ) -> None:
        self._context = context
        self._placer = placer
        self._attempts = attempts
        self._budget = RetryBudget(_HEDGE_FRACTION, _HEDGE_BUDGET_CAPACITY)
        self._timers: dict[str, HedgeTimer] = {}
        self._hedge_count = 0

    @property
    def hedge_count(self) -> int:
        """Return the number of second attempts sent."""
        return self._hedge_count

    def note_request(self) -> None:
        """Count a request, which adds to the hedge budget."""
        self._budget.note_first_attempt()

    def timer(self, order: WorkOrder) -> HedgeTimer:
        """Return the hedge timer of the order's service and operation."""
        key = f"{order.service}/{order.operation}"
        return self._timers.setdefault(key, HedgeTimer(_DEFAULT_HEDGE_DELAY_SECONDS))

    async def send_hedge(
        self,
        order: WorkOrder,
        first: Attempt,
        first_event: "asyncio.Task[AnswerEvent]",
        excluded: frozenset[str],
    ) -> Attempt | None:
        """Send a second attempt once the first one is late.

        ``first_event`` waits for the first event of the first attempt. Returns ``None``
        if the first attempt answers in time, if no other server is suitable, if the
        budget is exhausted, or if sending fails.
        """
        if not await self._wait_until_late(order, first, first_event):
            return None
        excluded_servers = excluded | {first.placement.server}
        placement = self._placer.place(order, excluded_servers)
        if isinstance(placement, AnswerRefused):
            return None
        if (
            placement.needs_load
            and self._placer.expected_load_wait() > _MAX_LOAD_WAIT_SECONDS
        ):
            return None
        if not self._budget.take():
            return None
        second = self._attempts.make(order, placement)
        if await second.send() is not None:
            return None
        self._hedge_count += 1
        self._placer.note_sent(placement.server)
        self._context.metrics.count_retry(RetryReason.HEDGED)
        logger.info(
            "hedged attempt sent to server %s: first attempt on server %s is late",
            placement.server,
            first.placement.server,
            extra={"request_id": order.request_id},
        )
        return second

    async def _wait_until_late(
        self, order: WorkOrder, first: Attempt, first_event: "asyncio.Task[AnswerEvent]"
    ) -> bool:
        """Return whether the first attempt is late, as soon as that is known."""
        delay = self.timer(order).delay
        max_queue_seconds = first.placement.wait_seconds * 2 + _QUEUE_MARGIN_SECONDS
        start_seen_at: float | None = None
        sent_at = self._context.clock.monotonic()
        while self._context.clock.monotonic() < order.deadline:
            done, _ = await asyncio.wait({first_event}, timeout=_POLL_INTERVAL_SECONDS)
            if done:
                return False
            now = self._context.clock.monotonic()
            if first.started is None:
                if now - sent_at >= max_queue_seconds:
                    return True
                continue
            start_seen_at = start_seen_at or now
            if now - start_seen_at >= delay:
                return True
        return False

    async def first_to_answer(
        self,
        first: Attempt,
        first_event: "asyncio.Task[AnswerEvent]",
        second: Attempt,
    ) -> tuple[Attempt, AnswerEvent]:
        """Return the attempt that answers first with its event, and cancel the other.

        A refusal counts as an answer only if the other attempt was refused, too.
        """
        pending = {first_event: first, asyncio.create_task(second.next()): second}
        try:
            while True:
                done, _ = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    winner = pending.pop(task)
                    event = task.result()
                    if isinstance(event, AnswerRefused) and pending:
                        await winner.end()
                        continue
                    return winner, event
        finally:
            for task, loser in pending.items():
                task.cancel()
                await loser.end()
