"""Serve one request: assign a server, send, relay the response, retry if allowed."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.assignment import (
    Assignment,
    NoAssignment,
)
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.crash_protection import (
    CrashProtection,
)
from gooseberrydeal._internal.operations.router.crash_screening import CrashScreening
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.event_splitter import EventSplitter
from gooseberrydeal._internal.operations.router.failed_reply import (
    RETRY_AFTER_SECONDS,
    FailedReply,
)
from gooseberrydeal._internal.operations.router.head_notes import HeadNotes
from gooseberrydeal._internal.operations.router.outcome_handler import OutcomeHandler
from gooseberrydeal._internal.operations.router.peer_relay import PeerRelay
from gooseberrydeal._internal.operations.router.request_connector import (
    RequestConnector,
)
from gooseberrydeal._internal.operations.router.request_forwarder import (
    RequestForwarder,
)
from gooseberrydeal._internal.operations.router.request_log import RequestLog
from gooseberrydeal._internal.operations.router.response_takeover import (
    ResponseTakeover,
)
from gooseberrydeal._internal.operations.router.retry_limits import (
    RetryBudget,
    wait_for_retry_budget,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.second_host import SecondHost
from gooseberrydeal._internal.operations.router.serve_times import ServeTimes
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_use import ServerUse
from gooseberrydeal._internal.operations.router.stream_continuation import (
    StreamContinuation,
)
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions
from gooseberrydeal._internal.policy.request_identity import RequestIdentity


class RequestRun:
    """Serve one request from its arrival to the end of its reply.

    ``consume_retry`` takes one retry from the service's budget and returns whether the
    budget allowed it.
    """

    def __init__(
        self,
        request: RoutedRequest,
        identity: RequestIdentity,
        exchange: CallerExchange,
        codec: RelayCodec,
        dispatcher: Dispatcher,
        crash_protection: CrashProtection,
        stream_versions: StreamVersions,
        metrics: RouterMetrics,
        consume_retry: RetryBudget,
        callbacks: ServerCallbacks,
        peers: PeerRelay,
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._identity = identity
        self._exchange = exchange
        self._codec = codec
        self._dispatcher = dispatcher
        self._eligible = dispatcher.eligible
        self._guard = crash_protection.guard
        self._metrics = metrics
        self._consume_retry = consume_retry
        self._callbacks = callbacks
        self._clock = clock
        self._events = EventSplitter()
        self._last: Attempt | None = None
        self._has_response_begun = self._asked_to_wait = False
        self._task: asyncio.Task[None] | None = None
        self._crash_cause: RequestFeature | None = None
        self._server: ServerId | None = None
        self._log = RequestLog(request, metrics)
        self._failure = FailedReply(request, exchange, codec, self._log)
        self._continuation = StreamContinuation(request, exchange, stream_versions)
        self._screening = CrashScreening(
            request,
            identity,
            crash_protection,
            self._failure,
            dispatcher.eligible.brittle.is_brittle,
        )
        self._connector = RequestConnector(
            request,
            self._continuation,
            dispatcher.eligible.notices,
            dispatcher.eligible.brittle,
            self._log,
            callbacks.connect_failed,
            dispatcher.rollout,
        )
        self._forwarder = RequestForwarder(
            request, exchange, codec, self._events, dispatcher.rollout, clock
        )
        self._times = ServeTimes(request.arrived_at)
        self._heads = HeadNotes(
            exchange,
            self._continuation,
            dispatcher.eligible,
            metrics,
            self._times,
            self._events,
            clock,
        )
        self._second_host = SecondHost(
            request, exchange, peers, self._failure, consume_retry, clock
        )
        self._takeover = ResponseTakeover(
            request,
            exchange,
            dispatcher,
            self._screening,
            lambda: self._can_run_again(pending=1),
            consume_retry,
            callbacks,
            clock,
        )
        self._outcomes = OutcomeHandler(
            request,
            self._failure,
            self._log,
            self._screening,
            callbacks,
            self._times,
            self._can_run_again,
            clock,
        )

    @property
    def identity(self) -> RequestIdentity:
        """Return what identifies the request if the caller sends it again."""
        return self._identity

    def refuse_as_crashing(self, cause: RequestFeature) -> None:
        """Withdraw the request from its server, unless its response has begun."""
        if self._has_response_begun or self._task is asyncio.current_task():
            return
        self._crash_cause = cause
        if self._task is not None:
            self._task.cancel()

    async def serve(self) -> None:
        """Serve the request, or fail it at its deadline."""
        self._task = asyncio.current_task()
        self._guard.enter(self)
        seconds = max(0.0, self._request.deadline - self._clock())
        try:
            async with asyncio.timeout(seconds):
                await self._serve()
        except TimeoutError:
            self._failure.deadline_exceeded()
        except asyncio.CancelledError:
            cause = self._crash_cause
            if cause is not None and self._task and not self._task.uncancel():
                self._failure.refuse_as_crashing(cause)
                return
            self._log.cancelled(self._clock() - self._request.arrived_at, self._server)
            raise
        except Exception:
            self._failure.internal_error()
        finally:
            self._screening.end_isolation()
            self._request.release_place()
            self._guard.leave(self)

    async def _serve(self) -> None:
        while True:
            if not await self._screening.wait_for_turn():
                return
            if not await self._continuation.confirm_origin():
                self._failure.server_failed()
                return
            assignment = await self._dispatcher.assign(self._request)
            if isinstance(assignment, NoAssignment):
                if await self._second_host.handle_refusal(assignment):
                    continue
                return
            if self._screening.refuse_if_crashing():
                return
            if not await self._screening.claim_server(assignment.record):
                continue
            outcome = await self._attempt(assignment)
            if self._last is not None and self._last.lost_connection:
                await self._screening.connection_lost(
                    assignment.record,
                    self._callbacks.unreachable,
                    can_run_again=self._can_run_again(pending=1),
                )
            self._screening.end_isolation()
            if outcome is not None and not self._outcomes.handle(
                assignment, outcome, self._last, asked_to_wait=self._asked_to_wait
            ):
                return

    async def _attempt(self, assignment: Assignment) -> AttemptOutcome | None:
        """Send once and return the outcome; ``None`` if the server was unreachable.

        Returns ``SERVED`` also if the request was refused for lack of retry budget.
        """
        request, record = self._request, assignment.record
        self._server = record.id
        self._last = None
        self._asked_to_wait = False
        if request.send_count and not await wait_for_retry_budget(
            request, self._consume_retry, self._clock
        ):
            self._failure.reject(RefusalReason.OVERLOADED, RETRY_AFTER_SECONDS)
            return AttemptOutcome.SERVED
        with ServerUse(
            assignment, request, self._eligible.brittle, self._callbacks, self._clock
        ) as use:
            return await self._send(assignment, use)

    async def _send(
        self, assignment: Assignment, use: ServerUse
    ) -> AttemptOutcome | None:
        """Connect, send and wait for the outcome; ``None`` if nothing was sent."""
        request, record = self._request, assignment.record
        # The record gets another pool when the server's address changes.
        pool = record.pool
        connection = await self._connector.connect(assignment, pool)
        if connection is None:
            return None
        request.send_count += 1
        self._heads.sent(assignment, request)

        def on_head(status: int, attributes: ResponseAttributes) -> None:
            use.response_started(has_begun=status < HTTPStatus.BAD_REQUEST)
            self._heads.note(record, connection, status, attributes)
            self._has_response_begun = True
            self._asked_to_wait = attributes.wait_seconds is not None

        can_run_again = self._can_run_again(pending=1)
        attempt = Attempt(
            self._exchange,
            self._codec,
            assignment,
            connection,
            request,
            is_retryable=can_run_again,
            events=self._events,
            on_head=on_head,
            on_answering=self._screening.note_answering,
        )
        try:
            self._forwarder.send(assignment, connection, attempt)
            self._callbacks.sent(record)
            with self._dispatcher.rollout.withdraw_in_time(attempt, assignment.copy):
                outcome = await self._takeover.outcome(
                    attempt, record, can_run_again=can_run_again
                )
        except BaseException:
            pool.discard(connection)
            self._eligible.brittle.abandoned(record)
            raise
        pool.release(connection)
        if outcome.leaves_request_there:
            self._eligible.brittle.abandoned(record)
        if outcome is AttemptOutcome.NOT_RUN:
            request.note_refused(connection)
        self._note_ended(attempt, record)
        self._metrics.count_attempt(outcome.value)
        return outcome

    def _note_ended(self, attempt: Attempt, record: ServerRecord) -> None:
        self._last = attempt
        if attempt.sent_excess_bytes:
            record.health.note_failure(self._clock())
        self._has_response_begun = False
        self._heads.ended(attempt.longest_pause)

    def _can_run_again(self, *, pending: int = 0) -> bool:
        is_cut = self._exchange.is_started and self._events.last_event_id is None
        return not is_cut and self._request.can_run_again(pending)
