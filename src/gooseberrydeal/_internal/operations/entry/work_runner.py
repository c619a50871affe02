"""Run a request to its end over one or more attempts."""

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

_MOST_ATTEMPTS: Final = 4
_RETRY_FRACTION: Final = 0.2
_RETRY_BURST: Final = 50.0
_RESUME_SECONDS: Final = 12.0
_RESUME_POLL_SECONDS: Final = 0.1
_PAUSE_SECONDS: Final = 0.02
_KEPT_WAITS: Final = 10_000
_OVERLOAD_RETRIES: Final = 1
_AT_ONCE: Final = frozenset(
    {RefusalReason.OVERLOADED, RefusalReason.SERVER_SLOW, RefusalReason.NOT_OWNER}
)


class WorkRunner:
    """Place, send, retry, hedge and resume."""

    def __init__(
        self,
        context: EntryContext,
        streams: RemoteStreams,
        policy: PlacementPolicy,
        *,
        hedges: bool = True,
        admits: bool = True,
    ) -> None:
        self._context = context
        self._placer = Placer(context, policy, admits=admits)
        self._attempts = Attempts(context, streams)
        self._hedger = Hedger(context, self._placer, self._attempts)
        self._retries = RetryBudget(_RETRY_FRACTION, _RETRY_BURST)
        self._hedges = hedges
        self._waited: deque[str] = deque(maxlen=_KEPT_WAITS)

    @property
    def waited_for_load(self) -> set[str]:
        """Return the latest requests that waited for an adapter's load."""
        return set(self._waited)

    @property
    def hedged(self) -> int:
        """Return how many second attempts were made beside a first."""
        return self._hedger.hedged

    async def run(self, order: WorkOrder) -> AsyncGenerator[AnswerEvent, None]:
        """Yield the answer; the last event is an end, a plain answer or a refusal."""
        self._retries.note_first_attempt()
        self._hedger.note_request()
        excluded: frozenset[str] = frozenset()
        last: AnswerRefused | None = None
        for number in range(_MOST_ATTEMPTS):
            placed = self._placer.place(order, excluded)
            if isinstance(placed, AnswerRefused):
                yield last or placed
                return
            attempt: Attempt | None = None
            try:
                attempt, event = await self._race(order, placed, excluded)
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
            last = event
            if not self._may_retry(order, event.refusal, number):
                yield event
                return
            excluded |= {attempt.placement.server}
            if event.refusal.reason not in _AT_ONCE:
                await asyncio.sleep(_PAUSE_SECONDS)
        if last is not None:
            yield last

    async def _race(
        self, order: WorkOrder, placement: Placement, excluded: frozenset[str]
    ) -> tuple[Attempt, AnswerEvent]:
        """Return the attempt that answers first, and its first event."""
        first = self._attempts.make(order, placement)
        refused = await first.send()
        if refused is not None:
            return first, refused
        self._placer.sent(placement.server)
        sent_at = self._context.clock.monotonic()
        reading = asyncio.create_task(first.next())
        try:
            if self._hedges and order.is_repeatable:
                second = await self._hedger.second_attempt(
                    order, first, reading, excluded
                )
                if second is not None:
                    return await self._hedger.first_of(first, reading, second)
            event = await reading
        except BaseException:
            reading.cancel()
            await first.end()
            raise
        if isinstance(event, (AnswerText, AnswerPlain)):
            self._note_first(order, first, sent_at)
        return first, event

    def _note_first(self, order: WorkOrder, attempt: Attempt, sent_at: float) -> None:
        if attempt.started is None:
            return
        if attempt.started.waited_for_load:
            self._waited.append(order.request_id)
        elapsed = self._context.clock.monotonic() - sent_at
        elapsed -= attempt.started.queue_seconds
        self._hedger.timer(order).note_first_token(max(0.0, elapsed))

    def _may_retry(self, order: WorkOrder, refusal: Refusal, number: int) -> bool:
        is_overload = refusal.reason is RefusalReason.OVERLOADED
        if is_overload and number >= _OVERLOAD_RETRIES:
            return False
        reason = retry_reason(refusal, is_repeatable=order.is_repeatable, delivered=0)
        if reason is None or self._context.clock.monotonic() >= order.deadline:
            return False
        if not self._retries.take():
            return False
        self._context.metrics.count_retry(reason)
        logger.info(
            "retry", extra={"request_id": order.request_id, "reason": reason.value}
        )
        return True

    async def _resume(
        self, order: WorkOrder, cut: Attempt, end: AnswerRefused
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Continue a cut answer at its offset, or end it with the reason."""
        if end.refusal.reason is not RefusalReason.OWNER_UNREACHABLE:
            yield end
            return
        found = await self._attach_again(order, cut)
        if found is None:
            yield end
            return
        attempt, event = found
        try:
            while isinstance(event, AnswerText):
                yield event
                event = await attempt.next()
            yield end if isinstance(event, AnswerRefused) else event
        finally:
            await attempt.end()

    async def _attach_again(
        self, order: WorkOrder, cut: Attempt
    ) -> tuple[Attempt, AnswerEvent] | None:
        """Return an attempt at the server's next owner, once there is one."""
        give_up = self._context.clock.monotonic() + _RESUME_SECONDS
        while self._context.clock.monotonic() < give_up:
            await asyncio.sleep(_RESUME_POLL_SECONDS)
            placement = self._placer.owner_of(order.service, cut.placement.server)
            if placement is None:
                continue
            attempt = self._attempts.make(order, placement, cut.tokens)
            event: AnswerEvent = await attempt.send() or await attempt.next()
            if not isinstance(event, AnswerRefused):
                self._context.metrics.count_retry(RetryReason.STREAM_RESUMED)
                return attempt, event
            await attempt.end()
            if event.refusal.ran is not Ran.NO:
                return None
        return None
