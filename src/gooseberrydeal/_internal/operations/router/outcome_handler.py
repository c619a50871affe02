"""Decide what follows the outcome of an attempt."""

from collections.abc import Callable
from http import HTTPStatus

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.crash_screening import CrashScreening
from gooseberrydeal._internal.operations.router.denial import (
    note_denial,
    note_failed_run,
)
from gooseberrydeal._internal.operations.router.failed_reply import (
    RETRY_AFTER_SECONDS,
    FailedReply,
)
from gooseberrydeal._internal.operations.router.request_log import RequestLog
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.serve_times import ServeTimes
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks


class OutcomeHandler:
    """Record what became of the attempts of one request, and end it after the last.

    ``can_run_again`` returns whether another server may run the request.
    """

    def __init__(
        self,
        request: RoutedRequest,
        failure: FailedReply,
        log: RequestLog,
        screening: CrashScreening,
        callbacks: ServerCallbacks,
        times: ServeTimes,
        can_run_again: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._failure = failure
        self._log = log
        self._screening = screening
        self._callbacks = callbacks
        self._times = times
        self._can_run_again = can_run_again
        self._clock = clock

    def handle(
        self,
        assignment: Assignment,
        outcome: AttemptOutcome,
        attempt: Attempt | None,
        *,
        asked_to_wait: bool,
    ) -> bool:
        """Record the outcome of an attempt; return whether to try again.

        ``attempt`` is ``None`` if nothing was sent.
        """
        now = self._clock()
        request, record = self._request, assignment.record
        if outcome is AttemptOutcome.SERVED:
            self._note_served(assignment, attempt, now)
            return False
        self._log.attempt_failed(record.id, outcome, attempt)
        if outcome is AttemptOutcome.NOT_RUN:
            if note_denial(request, assignment, now, asks_to_wait=asked_to_wait):
                return True
            self._failure.reject(RefusalReason.OVERLOADED, RETRY_AFTER_SECONDS)
            return False
        if outcome is AttemptOutcome.WITHDRAWN:
            # The server did nothing wrong, but may have begun to run the request.
            request.started_on.add(record.id)
        else:
            note_failed_run(request, assignment, now, asks_to_wait=asked_to_wait)
        is_lost = outcome in (AttemptOutcome.LOST, AttemptOutcome.CUT)
        has_lost_connection = attempt is not None and attempt.lost_connection
        if is_lost and not has_lost_connection:
            self._callbacks.unreachable(record)
        if self._screening.refuse_if_crashing():
            return False
        if outcome is not AttemptOutcome.WITHHELD and self._can_run_again():
            return True
        self._failure.server_failed()
        return False

    def _note_served(
        self, assignment: Assignment, attempt: Attempt | None, now: float
    ) -> None:
        status = 0 if attempt is None else attempt.status
        health = assignment.record.health
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            health.note_failure(now)
        elif status:
            health.note_success(now)
            if status < HTTPStatus.BAD_REQUEST:
                self._screening.note_served()
            self._log.served(assignment.record.id, self._times)
