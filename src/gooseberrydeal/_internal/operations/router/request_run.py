"""Serve one request: assign a server, send, relay the response, retry if allowed."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.exceptions import ServerUnreachableError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
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
from gooseberrydeal._internal.operations.router.unread_prompt import PendingPrefill

# Delay before the next send to an engine that denied having an adapter copy expected to
# be ready; doubled after its second denial. At the maximum number of denials the engine
# is excluded, since each denied send counts against the retry budget of all hosts.
_COPY_RETRY_SECONDS: Final = 0.05
_MAX_COPY_DENIALS: Final = 3
# An exhausted retry budget allows retries again as its window slides.
_BUDGET_RECHECK_SECONDS: Final = 0.1
# A request that a server denies on this send or a later one is refused.
_MAX_SENDS: Final = 6
_RETRY_AFTER_SECONDS: Final = 0.4
# An attempt is aborted if the server sends nothing for this multiple of the route's
# target latency, though no sooner than the minimum, and another server may run the
# request.
_IDLE_TIMEOUT_TARGET_LATENCIES: Final = 2.0
_MIN_IDLE_TIMEOUT_SECONDS: Final = 0.3

RetryBudget = Callable[[RoutedRequest], bool]


class RequestRun:
    """Serve one request from its arrival to the end of its reply.

    ``consume_retry`` takes one retry from the service's budget and returns whether the
    budget allowed it. ``on_usage_changed``, ``on_copy_released`` and
    ``on_unreachable`` are called with the server concerned.
    """

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        codec: RelayCodec,
        dispatcher: Dispatcher,
        metrics: RouterMetrics,
        consume_retry: RetryBudget,
        on_usage_changed: Callable[[ServerRecord], None],
        on_copy_released: Callable[[ServerRecord], None],
        on_unreachable: Callable[[ServerRecord], None],
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._codec = codec
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._consume_retry = consume_retry
        self._on_usage_changed = on_usage_changed
        self._on_copy_released = on_copy_released
        self._on_unreachable = on_unreachable
        self._clock = clock
        self._events = EventSplitter()
        self._last_status = 0
        self._server: ServerId | None = None
        self._log = RequestLog(request, metrics)
        self._times = ServeTimes(request.arrived_at)

    async def serve(self) -> None:
        """Serve the request, or fail it at its deadline."""
        seconds_remaining = self._request.deadline - self._clock()
        try:
            async with asyncio.timeout(max(0.0, seconds_remaining)):
                await self._serve()
        except TimeoutError:
            self._handle_deadline()
        except asyncio.CancelledError:
            waited = self._clock() - self._request.arrived_at
            self._log.cancelled(waited, self._server)
            raise

    async def _serve(self) -> None:
        while True:
            assignment = await self._dispatcher.assign(self._request)
            if isinstance(assignment, NoAssignment):
                self._reject(assignment.reason, assignment.retry_after)
                return
            outcome = await self._attempt(assignment)
            if outcome is None:
                continue
            if not self._handle_outcome(assignment, outcome):
                return

    async def _attempt(self, assignment: Assignment) -> AttemptOutcome | None:
        """Send once and return the outcome; ``None`` if the server was unreachable.

        Returns ``SERVED`` also if the request was refused for lack of retry budget.
        """
        request, record = self._request, assignment.record
        self._server = record.id
        if request.send_count and not await self._wait_for_retry_budget():
            self._reject(RefusalReason.OVERLOADED, _RETRY_AFTER_SECONDS)
            return AttemptOutcome.SERVED
        prompt_tokens = request.attributes.prompt_tokens
        record.begin(assignment.copy, request.tokens, prompt_tokens)
        pending_prefill = PendingPrefill(record, prompt_tokens, self._on_usage_changed)
        # Keep the pool for the release: the record gets another one when the server's
        # address changes.
        pool = record.pool
        try:
            try:
                connection = await pool.acquire()
            except ServerUnreachableError as error:
                self._on_unreachable(record)
                request.excluded.add(record.id)
                self._log.not_sent(record.id, error)
                return None
            request.send_count += 1
            times = self._times
            times.note_sent(self._clock())
            times.load_wait += assignment.load_wait
            if request.send_count == 1:
                self._metrics.observe_wait(times.sent_at - request.arrived_at)

            def on_head_received() -> None:
                pending_prefill.end()
                times.head_at = self._clock()
                self._metrics.observe_first_byte(times.head_at - times.sent_at)

            attempt = Attempt(
                self._exchange,
                self._codec,
                assignment,
                connection,
                request.attributes.request_id,
                is_retryable=self._can_run_again(pending=1),
                events=self._events,
                on_head=on_head_received,
            )
            try:
                connection.send(
                    self._encode_request(assignment),
                    attempt,
                    is_head_request=self._exchange.head.method == b"HEAD",
                )
                outcome = await self._wait_for_outcome(attempt)
            except BaseException:
                pool.discard(connection)
                raise
            pool.release(connection)
            self._last_status = attempt.status
            times.longest_pause = max(times.longest_pause, attempt.longest_pause)
            self._metrics.count_attempt(outcome.value)
            return outcome
        finally:
            pending_prefill.end()
            if record.end(assignment.copy, request.tokens):
                self._on_copy_released(record)

    async def _wait_for_outcome(self, attempt: Attempt) -> AttemptOutcome:
        """Wait for the outcome, with an idle timeout if another server may run it."""
        if not self._can_run_again(pending=1):
            return await attempt.outcome()
        route = self._request.route
        idle_timeout = max(
            _MIN_IDLE_TIMEOUT_SECONDS,
            _IDLE_TIMEOUT_TARGET_LATENCIES * route.target_latency,
        )
        return await attempt.outcome_with_idle_timeout(idle_timeout)

    async def _wait_for_retry_budget(self) -> bool:
        """Wait for retry budget; return false if the target latency passes before."""
        request = self._request
        retry_until = request.arrived_at + request.route.target_latency
        while not self._consume_retry(request):
            if self._clock() >= retry_until:
                return False
            await asyncio.sleep(_BUDGET_RECHECK_SECONDS)
        return True

    def _encode_request(self, assignment: Assignment) -> bytes:
        request, head = self._request, self._exchange.head
        is_resuming = self._exchange.is_started
        attributes = ForwardAttributes(
            server=assignment.record.id,
            seconds_left=request.deadline - self._clock(),
            rank=request.route.rank,
            adapter_version=assignment.copy.version
            if assignment.copy is not None and assignment.copy.adapter
            else 0,
            resume_after_event_id=self._events.last_event_id if is_resuming else None,
            forwards_last_event_id=request.route.is_resumable,
        )
        headers = self._codec.forward_headers(head, attributes)
        return encode_request(head.method, head.target, headers, self._exchange.body)

    def _handle_outcome(self, assignment: Assignment, outcome: AttemptOutcome) -> bool:
        """Record the outcome of an attempt; return whether to try again."""
        now = self._clock()
        health = assignment.record.health
        if outcome is AttemptOutcome.SERVED:
            if self._last_status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                health.note_failure(now)
            elif self._last_status:
                health.note_success(now)
                self._log.served(assignment.record.id, self._times)
            return False
        self._log.attempt_failed(assignment.record.id, outcome, self._last_status)
        if outcome is AttemptOutcome.NOT_RUN:
            return self._handle_not_run(assignment, now)
        self._request.started_on.add(assignment.record.id)
        self._request.excluded.add(assignment.record.id)
        health.note_failure(now)
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.CUT):
            self._on_unreachable(assignment.record)
        if outcome is not AttemptOutcome.WITHHELD and self._can_run_again():
            return True
        self._fail(RefusalReason.SERVER_FAILED, None)
        return False

    def _handle_not_run(self, assignment: Assignment, now: float) -> bool:
        """Handle a denied request; return whether to try again.

        The same engine may be tried again once its copy of the adapter is ready.
        """
        copy = assignment.copy
        server = assignment.record.id
        self._request.denials[server] += 1
        denials = self._request.denials[server]
        if copy is not None and copy.adapter and denials < _MAX_COPY_DENIALS:
            pause = _COPY_RETRY_SECONDS * denials
            assignment.record.note_missing(copy, now + pause)
        else:
            self._request.excluded.add(server)
        if self._request.send_count >= _MAX_SENDS:
            self._reject(RefusalReason.OVERLOADED, _RETRY_AFTER_SECONDS)
            return False
        return True

    def _can_run_again(self, *, pending: int = 0) -> bool:
        """Return whether a server may run the request besides ``pending`` others."""
        request = self._request
        if not request.route.is_repeatable:
            return False
        if self._exchange.is_started and self._events.last_event_id is None:
            return False
        return len(request.started_on) + pending < request.route.max_servers

    def _reject(self, reason: RefusalReason, retry_after: float) -> None:
        """Refuse the request for a reason that tells the caller that it did not run.

        If a server may have run it, report a failed server instead.
        """
        self._log.refused_or_cut(reason)
        if self._request.started_on:
            self._fail(RefusalReason.SERVER_FAILED, None)
        else:
            self._fail(reason, retry_after)

    def _fail(self, reason: RefusalReason, retry_after: float | None) -> None:
        """Refuse the request, or abort a reply that has already begun."""
        if self._exchange.is_started:
            self._exchange.abort_connection()
        else:
            refuse(self._exchange, reason, retry_after)

    def _handle_deadline(self) -> None:
        request = self._request
        self._log.ended_at_deadline()
        if request.send_count:
            self._fail(RefusalReason.DEADLINE, None)
        else:
            self._fail(RefusalReason.OVERLOADED, _RETRY_AFTER_SECONDS)
