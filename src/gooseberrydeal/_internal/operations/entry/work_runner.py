"""Run a request with one or more attempts."""

import asyncio
import logging
from collections import deque
from collections.abc import AsyncGenerator
from typing import Final

from gooseberrydeal._internal.models.answer_events import (
    AnswerEnd,
    AnswerEvent,
    AnswerPlain,
    AnswerRefused,
    AnswerText,
)
from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.retry_reason import RetryReason
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.attempt import Attempt
from gooseberrydeal._internal.operations.entry.attempts import Attempts
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.hedger import Hedger
from gooseberrydeal._internal.operations.entry.placer import Placer
from gooseberrydeal._internal.operations.entry.remote_streams import RemoteStreams
from gooseberrydeal._internal.policy.placement_policy import PlacementPolicy
from gooseberrydeal._internal.policy.retry_budget import RetryBudget
from gooseberrydeal._internal.policy.retry_rules import retry_reason

logger = logging.getLogger(__name__)

_MAX_ATTEMPTS: Final = 4
# Each request adds this fraction of a retry to the budget; the capacity of the budget
# bounds a burst of retries.
_RETRY_FRACTION: Final = 0.2
_RETRY_BUDGET_CAPACITY: Final = 50.0
# How long to wait for the next owner of a server whose owner was lost.
_RESUME_TIMEOUT_SECONDS: Final = 12.0
_RESUME_POLL_INTERVAL_SECONDS: Final = 0.1
_RETRY_DELAY_SECONDS: Final = 0.02
_MAX_WAITED_REQUESTS: Final = 10_000
_MAX_OVERLOAD_RETRIES: Final = 1
# Refusals for these reasons are retried without a delay.
_IMMEDIATE_RETRY_REASONS: Final = frozenset(
    {RefusalReason.OVERLOADED, RefusalReason.SERVER_SLOW, RefusalReason.NOT_OWNER}
)


class WorkRunner:
    """Run requests: place them on servers, retry, hedge and resume them.

    A request is retried on another server only until its first token is delivered.
    After that, a stream interrupted by the loss of the server's owner is resumed on the
    same server.
    """

    def __init__(
        self,
        context: EntryContext,
        streams: RemoteStreams,
        policy: PlacementPolicy,
        *,
        uses_hedging: bool = True,
        uses_admission: bool = True,
    ) -> None:
        self._context = context
        self._placer = Placer(context, policy, uses_admission=uses_admission)
        self._attempts = Attempts(context, streams)
        self._hedger = Hedger(context, self._placer, self._attempts)
        self._retry_budget = RetryBudget(_RETRY_FRACTION, _RETRY_BUDGET_CAPACITY)
        self._uses_hedging = uses_hedging
        self._waited_requests: deque[str] = deque(maxlen=_MAX_WAITED_REQUESTS)

    @property
    def waited_for_load(self) -> set[str]:
        """Return the IDs of the latest requests that waited for an adapter load."""
        return set(self._waited_requests)

    @property
    def hedge_count(self) -> int:
        """Return the number of second attempts sent."""
        return self._hedger.hedge_count

    async def run(self, order: WorkOrder) -> AsyncGenerator[AnswerEvent, None]:
        """Run a request and yield the events of its answer.

        The last event is :class:`AnswerEnd`, :class:`AnswerPlain` or
        :class:`AnswerRefused`.
        """
        self._retry_budget.note_first_attempt()
        self._hedger.note_request()
        excluded: frozenset[str] = frozenset()
        last_refusal: AnswerRefused | None = None
        for attempt_index in range(_MAX_ATTEMPTS):
            placement = self._placer.place(order, excluded)
            if isinstance(placement, AnswerRefused):
                yield last_refusal or placement
                return
            attempt: Attempt | None = None
            try:
                attempt, event = await self._first_answer(order, placement, excluded)
                while not isinstance(event, AnswerRefused):
                    yield event
                    if isinstance(event, (AnswerEnd, AnswerPlain)):
                        return
                    event = await attempt.next()
                delivered = attempt.tokens
            finally:
                if attempt is not None:
                    await attempt.end()
            if delivered > 0:
                async for resumed in self._resume(order, attempt, event):
                    yield resumed
                return
            last_refusal = event
            if not self._may_retry(order, event.refusal, attempt_index):
                yield event
                return
            excluded |= {attempt.placement.server}
            if event.refusal.reason not in _IMMEDIATE_RETRY_REASONS:
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
        if last_refusal is not None:
            yield last_refusal

    async def _first_answer(
        self, order: WorkOrder, placement: Placement, excluded: frozenset[str]
    ) -> tuple[Attempt, AnswerEvent]:
        """Send the request, possibly twice, and return the first attempt to answer.

        The second value is the first event of that attempt.
        """
        first = self._attempts.make(order, placement)
        refused = await first.send()
        if refused is not None:
            return first, refused
        self._placer.note_sent(placement.server)
        sent_at = self._context.clock.monotonic()
        first_event = asyncio.create_task(first.next())
        try:
            if self._uses_hedging and order.is_repeatable:
                second = await self._hedger.send_hedge(
                    order, first, first_event, excluded
                )
                if second is not None:
                    return await self._hedger.first_to_answer(
                        first, first_event, second
                    )
            event = await first_event
        except BaseException:
            first_event.cancel()
            await first.end()
            raise
        if isinstance(event, (AnswerText, AnswerPlain)):
            self._record_first_event(order, first, sent_at)
        return first, event

    def _record_first_event(
        self, order: WorkOrder, attempt: Attempt, sent_at: float
    ) -> None:
        """Record the time to first token for the hedge timer, without queueing."""
        if attempt.started is None:
            return
        if attempt.started.waited_for_load:
            self._waited_requests.append(order.request_id)
        elapsed = self._context.clock.monotonic() - sent_at
        elapsed -= attempt.started.queue_seconds
        self._hedger.timer(order).note_first_token(max(0.0, elapsed))

    def _may_retry(
        self, order: WorkOrder, refusal: Refusal, attempt_index: int
    ) -> bool:
        is_overload = refusal.reason is RefusalReason.OVERLOADED
        if is_overload and attempt_index >= _MAX_OVERLOAD_RETRIES:
            return False
        reason = retry_reason(refusal, is_repeatable=order.is_repeatable, delivered=0)
        if reason is None or self._context.clock.monotonic() >= order.deadline:
            return False
        if not self._retry_budget.take():
            return False
        self._context.metrics.count_retry(reason)
        logger.info(
            "retry on another server after attempt %d was refused: %s",
            attempt_index + 1,
            refusal.reason.value,
            extra={"request_id": order.request_id, "reason": reason.value},
        )
        return True

    async def _resume(
        self, order: WorkOrder, interrupted: Attempt, end: AnswerRefused
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Continue an interrupted stream after the tokens already delivered.

        Yields ``end`` if the stream cannot be resumed.
        """
        if end.refusal.reason is not RefusalReason.OWNER_UNREACHABLE:
            yield end
            return
        reattached = await self._reattach(order, interrupted)
        if reattached is None:
            yield end
            return
        attempt, event = reattached
        try:
            while isinstance(event, AnswerText):
                yield event
                event = await attempt.next()
            yield end if isinstance(event, AnswerRefused) else event
        finally:
            await attempt.end()

    async def _reattach(
        self, order: WorkOrder, interrupted: Attempt
    ) -> tuple[Attempt, AnswerEvent] | None:
        """Submit the request to the next owner of the same server, once there is one.

        Returns the attempt and its first event, or ``None`` if no owner can continue
        the answer before the timeout.
        """
        resume_deadline = self._context.clock.monotonic() + _RESUME_TIMEOUT_SECONDS
        while self._context.clock.monotonic() < resume_deadline:
            await asyncio.sleep(_RESUME_POLL_INTERVAL_SECONDS)
            placement = self._placer.placement_on(
                order.service, interrupted.placement.server
            )
            if placement is None:
                continue
            attempt = self._attempts.make(order, placement, interrupted.tokens)
            event: AnswerEvent = await attempt.send() or await attempt.next()
            if not isinstance(event, AnswerRefused):
                self._context.metrics.count_retry(RetryReason.STREAM_RESUMED)
                return attempt, event
            await attempt.end()
            if event.refusal.ran is not Ran.NO:
                return None
        return None
