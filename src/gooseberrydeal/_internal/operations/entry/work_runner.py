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
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.retry_reason import RetryReason
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.attempt import Attempt
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.remote_streams import RemoteStreams
from gooseberrydeal._internal.operations.entry.server_views import ServerViews
from gooseberrydeal._internal.policy.admission import admit
from gooseberrydeal._internal.policy.hedge_timer import HedgeTimer
from gooseberrydeal._internal.policy.placement_policy import PlacementPolicy
from gooseberrydeal._internal.policy.retry_budget import RetryBudget
from gooseberrydeal._internal.policy.retry_rules import retry_reason

logger = logging.getLogger(__name__)

_MOST_ATTEMPTS: Final = 4
_RETRY_FRACTION: Final = 0.2
_RETRY_BURST: Final = 50.0
_HEDGE_FRACTION: Final = 0.04
_HEDGE_BURST: Final = 3.0
_HEDGE_FALLBACK_SECONDS: Final = 0.5
_QUEUE_HEDGE_SECONDS: Final = 0.75
_HEDGE_LOAD_WAIT_SECONDS: Final = 0.1
_RESUME_SECONDS: Final = 12.0
_RESUME_POLL_SECONDS: Final = 0.1
_PAUSE_SECONDS: Final = 0.02
_KEPT_WAITS: Final = 10_000
_OVERLOAD_RETRIES: Final = 1
_AT_ONCE: Final = frozenset(
    {RefusalReason.OVERLOADED, RefusalReason.SERVER_SLOW, RefusalReason.NOT_OWNER}
)
_SLOT_SECONDS_A_TOKEN: Final = 0.03
_SLOT_SECONDS: Final = 0.1


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
        self._streams = streams
        self._policy = policy
        self._views = ServerViews(context)
        self._retries = RetryBudget(_RETRY_FRACTION, _RETRY_BURST)
        self._hedge_budget = RetryBudget(_HEDGE_FRACTION, _HEDGE_BURST)
        self._hedge_timers: dict[str, HedgeTimer] = {}
        self._hedges = hedges
        self._admits = admits
        self._hedged = 0
        self._waited: deque[str] = deque(maxlen=_KEPT_WAITS)

    @property
    def waited_for_load(self) -> set[str]:
        """Return the latest requests that waited for an adapter's load."""
        return set(self._waited)

    @property
    def hedged(self) -> int:
        """Return how many second attempts were made beside a first."""
        return self._hedged

    async def run(self, order: WorkOrder) -> AsyncGenerator[AnswerEvent, None]:
        """Yield the answer; the last event is an end, a plain answer or a refusal."""
        self._retries.note_first()
        self._hedge_budget.note_first()
        excluded: frozenset[str] = frozenset()
        last: AnswerRefused | None = None
        for number in range(_MOST_ATTEMPTS):
            placed = self._place(order, excluded)
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

    def _place(
        self, order: WorkOrder, excluded: frozenset[str]
    ) -> Placement | AnswerRefused:
        now = self._context.clock.monotonic()
        slot_seconds = self._slot_seconds(order)
        query = PlacementQuery(
            order.adapter,
            slot_seconds,
            self._context.domain,
            order.affinity,
            excluded,
            self._load_wait(),
        )
        placement = self._policy.choose(query, self._views.of_service(order.service))
        if placement is None:
            refusal = Refusal(RefusalReason.NO_SERVER, Ran.NO, retry_after=1.0)
            return AnswerRefused(refusal)
        if not self._admits:
            return placement
        verdict = admit(placement.wait_seconds, order.deadline - now)
        if not verdict.is_admitted and verdict.reason is not None:
            refusal = Refusal(
                verdict.reason, Ran.NO, retry_after=verdict.retry_after or None
            )
            return AnswerRefused(refusal)
        return placement

    def _load_wait(self) -> float:
        """Return how long a further load would wait for the weight store."""
        configuration = self._context.configuration()
        if configuration is None:
            return 0.0
        hosts = self._context.view.hosts.values()
        waiting = sum(report.waiting_loads for report in hosts)
        return waiting / configuration.limits.loads_per_second

    def _slot_seconds(self, order: WorkOrder) -> float:
        configuration = self._context.configuration()
        if order.adapter is None and configuration is not None:
            found = configuration.operation(order.service, order.operation)
            return _SLOT_SECONDS if found is None else found.expected_seconds
        return _SLOT_SECONDS + order.expected_tokens * _SLOT_SECONDS_A_TOKEN

    async def _race(
        self, order: WorkOrder, placement: Placement, excluded: frozenset[str]
    ) -> tuple[Attempt, AnswerEvent]:
        """Return the attempt that answers first, and its first event."""
        first = self._attempt(order, placement, 0)
        refused = await first.send()
        if refused is not None:
            return first, refused
        self._views.sent(placement.server)
        sent_at = self._context.clock.monotonic()
        reading = asyncio.create_task(first.next())
        try:
            if self._hedges and order.is_repeatable:
                second = await self._hedge(order, first, reading, excluded)
                if second is not None:
                    return await self._first_of(order, first, reading, second)
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
        self._timer(order).note(max(0.0, elapsed))

    def _timer(self, order: WorkOrder) -> HedgeTimer:
        key = f"{order.service}/{order.operation}"
        return self._hedge_timers.setdefault(key, HedgeTimer(_HEDGE_FALLBACK_SECONDS))

    async def _hedge(
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
        placed = self._place(order, avoided)
        if isinstance(placed, AnswerRefused):
            return None
        if placed.needs_load and self._load_wait() > _HEDGE_LOAD_WAIT_SECONDS:
            return None
        if not self._hedge_budget.take():
            return None
        second = self._attempt(order, placed, 0)
        if await second.send() is not None:
            return None
        self._hedged += 1
        self._views.sent(placed.server)
        self._context.metrics.retried(RetryReason.HEDGED)
        logger.info("hedged", extra={"request_id": order.request_id})
        return second

    async def _is_late(
        self, order: WorkOrder, first: Attempt, reading: "asyncio.Task[AnswerEvent]"
    ) -> bool:
        delay = self._timer(order).delay
        waited = 0.0
        patience = first.placement.wait_seconds * 2 + _QUEUE_HEDGE_SECONDS
        started_at: float | None = None
        while waited < order.deadline:
            done, _ = await asyncio.wait({reading}, timeout=_PAUSE_SECONDS)
            if done:
                return False
            now = self._context.clock.monotonic()
            waited += _PAUSE_SECONDS
            if first.started is None:
                if waited >= patience:
                    return True
                continue
            started_at = started_at or now
            if now - started_at >= delay:
                return True
        return False

    async def _first_of(
        self,
        order: WorkOrder,
        first: Attempt,
        reading: "asyncio.Task[AnswerEvent]",
        second: Attempt,
    ) -> tuple[Attempt, AnswerEvent]:
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

    def _attempt(self, order: WorkOrder, placement: Placement, offset: int) -> Attempt:
        now = self._context.clock.monotonic()
        adapter = order.adapter
        submit = Submit(
            stream=self._streams.next_number(),
            request_id=order.request_id,
            server=placement.server,
            service=order.service,
            call=order.call,
            caller=order.caller,
            work_class=order.work_class,
            deadline_left=order.deadline - now,
            expected_tokens=order.expected_tokens,
            body=order.body,
            repeatable=order.is_repeatable,
            adapter=adapter.name if adapter is not None else "",
            version=adapter.version if adapter is not None else "",
            operation=order.operation,
            content_type=order.content_type,
            fingerprint=order.fingerprint,
            offset=offset,
            demand=self._fleet_demand(order),
        )
        return Attempt(self._streams, submit, placement)

    def _fleet_demand(self, order: WorkOrder) -> float:
        """Estimate the demand at all entries, which the balancer loads alike."""
        if order.adapter is None:
            return 0.0
        now = self._context.clock.monotonic()
        entries = max(1, len(self._context.view.live_hosts(now)))
        return self._context.demand.rate(str(order.adapter), now) * entries

    def _may_retry(self, order: WorkOrder, refusal: Refusal, number: int) -> bool:
        is_overload = refusal.reason is RefusalReason.OVERLOADED
        if is_overload and number >= _OVERLOAD_RETRIES:
            return False
        reason = retry_reason(refusal, is_repeatable=order.is_repeatable, delivered=0)
        if reason is None or self._context.clock.monotonic() >= order.deadline:
            return False
        if not self._retries.take():
            return False
        self._context.metrics.retried(reason)
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
            placement = self._owner_of(order.service, cut.placement.server)
            if placement is None:
                continue
            attempt = self._attempt(order, placement, cut.tokens)
            event: AnswerEvent = await attempt.send() or await attempt.next()
            if not isinstance(event, AnswerRefused):
                self._context.metrics.retried(RetryReason.STREAM_RESUMED)
                return attempt, event
            await attempt.end()
            if event.refusal.ran is not Ran.NO:
                return None
        return None

    def _owner_of(self, service: str, server: str) -> Placement | None:
        for view in self._views.of_service(service):
            if view.server == server:
                return Placement(server, view.owner_address, 0.0, needs_load=False)
        return None
