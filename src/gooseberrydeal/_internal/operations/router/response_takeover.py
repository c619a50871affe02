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
        others = self._others(silent)
        if not self._exchange.is_started:
            # Another host may reach servers that this one does not.
            return bool(others) or silent.health.is_unreachable
        if self._screening.is_suspect() or not self._is_continued_by(others):
            return False
        self._request.has_retry = self._consume_retry(self._request)
        return self._request.has_retry

    def _others(self, silent: ServerRecord) -> list[ServerRecord]:
        """Return the other servers that the request may be sent to now."""
        sendable = self._dispatcher.eligible.find_sendable(self._request)
        return [r for r in sendable if r is not silent and r.is_reachable]

    def _is_continued_by(self, others: list[ServerRecord]) -> bool:
        """Return whether one of the servers can go on with the reply at once."""
        origin = self._request.origin
        if origin is not None and not origin.is_certain:
            return False
        adapter = self._request.attributes.adapter
        if adapter is None:
            return bool(others)
        newest = self._dispatcher.rollout.newest(adapter)
        now = self._clock()
        return any(r.copy_state(newest, now) is CopyState.READY for r in others)
