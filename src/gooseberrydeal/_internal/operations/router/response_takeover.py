"""Decide whether another server takes over from one that has fallen silent."""

from collections.abc import Callable

from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.crash_screening import CrashScreening
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.response_wait import ResponseWait
from gooseberrydeal._internal.operations.router.retry_limits import RetryBudget
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


class ResponseTakeover:
    """Wait for responses, and let another server take over from a silent one.

    A reply that has begun would be cut off if that failed, although the silent server
    may be sound. So all that the other server needs is checked before.
    ``can_run_again`` returns whether another server may run the request besides the
    current one.
    """

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        dispatcher: Dispatcher,
        screening: CrashScreening,
        can_run_again: Callable[[], bool],
        consume_retry: RetryBudget,
        callbacks: ServerCallbacks,
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._dispatcher = dispatcher
        self._screening = screening
        self._can_run_again = can_run_again
        self._consume_retry = consume_retry
        self._callbacks = callbacks
        self._clock = clock

    async def outcome(
        self, attempt: Attempt, record: ServerRecord, *, can_run_again: bool
    ) -> AttemptOutcome:
        """Return the outcome of an attempt, which a silent server may not end.

        Without ``can_run_again`` no other server could take over from the start.
        """
        if not can_run_again:
            return await attempt.outcome()
        return await ResponseWait(
            attempt,
            self._request.route,
            lambda: self._take_over(record),
            lambda since: self._callbacks.is_gone(record, since),
        ).outcome()

    def _take_over(self, silent: ServerRecord) -> bool:
        """Return whether another server takes over from a silent one.

        If the reply has begun, this takes the retry from the budget.
        """
        if not self._can_run_again():
            return False
        if not self._exchange.is_started:
            return True
        if self._screening.is_suspect() or not self._has_ready_server(silent):
            return False
        self._request.has_retry = self._consume_retry(self._request)
        return self._request.has_retry

    def _has_ready_server(self, silent: ServerRecord) -> bool:
        origin = self._request.origin
        if origin is not None and not origin.is_certain:
            return False
        return any(
            record is not silent and record.is_reachable and self._is_ready(record)
            for record in self._dispatcher.eligible.find_sendable(self._request)
        )

    def _is_ready(self, record: ServerRecord) -> bool:
        adapter = self._request.attributes.adapter
        if adapter is None:
            return True
        newest = self._dispatcher.rollout.newest(adapter)
        return record.copy_state(newest, self._clock()) is CopyState.READY
