"""Serve one request: assign, send, pass on, and repeat where that is allowed."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.exceptions import ServerUnreachableError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.forward_facts import ForwardFacts
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.framing import encode_request
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.event_splitter import EventSplitter
from gooseberrydeal._internal.operations.router.refusals import refuse
from gooseberrydeal._internal.operations.router.request_log import RequestLog
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.serve_times import ServeTimes
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.unread_prompt import UnreadPrompt

# A copy that was not ready when expected is asked for again after this long, after a
# second denial after twice as long; then another engine is asked, since each refused
# send takes from the retry budget of all hosts.
_NOT_READY_SECONDS: Final = 0.05
_MOST_DENIALS: Final = 3
# A used-up budget allows retries again as its window slides.
_BUDGET_SECONDS: Final = 0.1
# Sends that servers refused or that reached none, before the caller is refused.
_MOST_SENDS: Final = 6
_RETRY_AFTER_SECONDS: Final = 0.4
# A server that sends nothing for this many times the target latency, and at least for
# so long, is given up if another one may run the request.
_SILENT_TARGETS: Final = 2.0
_LEAST_SILENCE_SECONDS: Final = 0.3

RetryPermit = Callable[[RoutedRequest], bool]


class RequestRun:
    """Own one request from its arrival to the end of its reply."""

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        codec: RelayCodec,
        dispatcher: Dispatcher,
        metrics: RouterMetrics,
        may_retry: RetryPermit,
        on_use: Callable[[ServerRecord], None],
        on_freed: Callable[[ServerRecord], None],
        on_lost: Callable[[ServerRecord], None],
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._codec = codec
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._may_retry = may_retry
        self._on_use = on_use
        self._on_freed = on_freed
        self._on_lost = on_lost
        self._clock = clock
        self._events = EventSplitter()
        self._last_status = 0
        self._server: ServerId | None = None
        self._log = RequestLog(request, metrics)
        self._times = ServeTimes(request.arrived_at)

    async def serve(self) -> None:
        """Answer the request by its deadline."""
        left = self._request.deadline - self._clock()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await self._serve()
        except TimeoutError:
            self._end_at_deadline()
        except asyncio.CancelledError:
            waited = self._clock() - self._request.arrived_at
            self._log.cancelled(waited, self._server)
            raise

    async def _serve(self) -> None:
        while True:
            found = await self._dispatcher.assign(self._request)
            if isinstance(found, NoAssignment):
                self._give_up(found.reason, found.retry_after)
                return
            outcome = await self._attempt(found)
            if outcome is None:
                continue
            if not self._goes_on(found, outcome):
                return

    async def _attempt(self, found: Assignment) -> AttemptOutcome | None:
        """Send once; return ``None`` if nothing reached the server."""
        request, record = self._request, found.record
        self._server = record.id
        if request.sends and not await self._wait_for_retry():
            self._give_up(RefusalReason.OVERLOADED, _RETRY_AFTER_SECONDS)
            return AttemptOutcome.SERVED
        prompt_tokens = request.facts.prompt_tokens
        record.begin(found.copy, request.tokens, prompt_tokens)
        reading = UnreadPrompt(record, prompt_tokens, self._on_use)
        # The record takes another pool when the server's address changes.
        pool = record.pool
        try:
            try:
                connection = await pool.acquire()
            except ServerUnreachableError as error:
                self._on_lost(record)
                request.excluded.add(record.id)
                self._log.not_sent(record.id, error)
                return None
            request.sends += 1
            times = self._times
            times.note_sent(self._clock())
            times.load_wait += found.load_wait
            if request.sends == 1:
                self._metrics.waited(times.sent_at - request.arrived_at)

            def head_seen() -> None:
                reading.end()
                times.head_at = self._clock()
                self._metrics.first_byte(times.head_at - times.sent_at)

            attempt = Attempt(
                self._exchange,
                self._codec,
                found,
                connection,
                request.facts.request_id,
                may_repeat=self._can_run_again(pending=1),
                events=self._events,
                on_head=head_seen,
            )
            try:
                connection.send(
                    self._message(found),
                    attempt,
                    is_head_request=self._exchange.head.method == b"HEAD",
                )
                outcome = await self._outcome(attempt)
            except BaseException:
                pool.discard(connection)
                raise
            pool.release(connection)
            self._last_status = attempt.status
            times.longest_pause = max(times.longest_pause, attempt.longest_pause)
            self._metrics.attempt_ended(outcome.value)
            return outcome
        finally:
            reading.end()
            if record.end(found.copy, request.tokens):
                self._on_freed(record)

    async def _outcome(self, attempt: Attempt) -> AttemptOutcome:
        """Wait for the end; give a silent server up if the request may run again."""
        if not self._can_run_again(pending=1):
            return await attempt.outcome()
        route = self._request.route
        silence = max(_LEAST_SILENCE_SECONDS, _SILENT_TARGETS * route.target_latency)
        return await attempt.outcome_unless_silent(silence)

    async def _wait_for_retry(self) -> bool:
        """Wait until the budget allows a further send; return whether it does."""
        request = self._request
        latest = request.arrived_at + request.route.target_latency
        while not self._may_retry(request):
            if self._clock() >= latest:
                return False
            await asyncio.sleep(_BUDGET_SECONDS)
        return True

    def _message(self, found: Assignment) -> bytes:
        request, head = self._request, self._exchange.head
        is_continuing = self._exchange.is_started
        facts = ForwardFacts(
            server=found.record.id,
            seconds_left=request.deadline - self._clock(),
            rank=request.route.rank,
            adapter_version=found.copy.version
            if found.copy is not None and found.copy.adapter
            else 0,
            after_event=self._events.last_id if is_continuing else None,
            keeps_caller_event=request.route.is_resumable,
        )
        headers = self._codec.forward_headers(head, facts)
        return encode_request(head.method, head.target, headers, self._exchange.body)

    def _goes_on(self, found: Assignment, outcome: AttemptOutcome) -> bool:
        """Note an outcome; return whether the request is sent once more."""
        now = self._clock()
        health = found.record.health
        if outcome is AttemptOutcome.SERVED:
            if self._last_status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                health.note_failure(now)
            elif self._last_status:
                health.note_answer(now)
                self._log.served(found.record.id, self._times)
            return False
        self._log.attempt_failed(found.record.id, outcome, self._last_status)
        if outcome is AttemptOutcome.NOT_RUN:
            return self._after_not_run(found, now)
        self._request.ran_on.add(found.record.id)
        self._request.excluded.add(found.record.id)
        health.note_failure(now)
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.CUT):
            self._on_lost(found.record)
        if outcome is not AttemptOutcome.WITHHELD and self._can_run_again():
            return True
        self._end(RefusalReason.SERVER_FAILED, None)
        return False

    def _after_not_run(self, found: Assignment, now: float) -> bool:
        """Look for another server; wait for a copy that isn't ready yet."""
        copy = found.copy
        server = found.record.id
        self._request.denials[server] += 1
        denials = self._request.denials[server]
        if copy is not None and copy.adapter and denials < _MOST_DENIALS:
            pause = _NOT_READY_SECONDS * denials
            found.record.note_missing(copy, now + pause)
        else:
            self._request.excluded.add(server)
        if self._request.sends >= _MOST_SENDS:
            self._give_up(RefusalReason.OVERLOADED, _RETRY_AFTER_SECONDS)
            return False
        return True

    def _can_run_again(self, *, pending: int = 0) -> bool:
        """Return whether one more server may run it, besides those pending."""
        request = self._request
        if not request.route.is_repeatable:
            return False
        if self._exchange.is_started and self._events.last_id is None:
            return False
        return len(request.ran_on) + pending < request.route.max_servers

    def _give_up(self, reason: RefusalReason, retry_after: float) -> None:
        self._log.given_up(reason)
        if self._request.ran_on:
            self._end(RefusalReason.SERVER_FAILED, None)
        else:
            self._end(reason, retry_after)

    def _end(self, reason: RefusalReason, retry_after: float | None) -> None:
        """Refuse the caller, or cut a reply that has begun."""
        if self._exchange.is_started:
            self._exchange.abort_connection()
        else:
            refuse(self._exchange, reason, retry_after)

    def _end_at_deadline(self) -> None:
        request = self._request
        self._log.ended_at_deadline()
        if request.sends:
            self._end(RefusalReason.DEADLINE, None)
        else:
            self._end(RefusalReason.OVERLOADED, _RETRY_AFTER_SECONDS)
