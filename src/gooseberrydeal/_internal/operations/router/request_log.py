"""Log and count the outcome of one request."""

import logging

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.serve_times import ServeTimes

logger = logging.getLogger(__name__)


class RequestLog:
    """Log failed attempts, refusals and late replies, but not on-time replies."""

    def __init__(self, request: RoutedRequest, metrics: RouterMetrics) -> None:
        self._request = request
        self._metrics = metrics

    def not_sent(self, server: ServerId, error: Exception) -> None:
        """Log that the request could not be sent to a server."""
        logger.info("request not sent: %s", error, extra=self._context(server))

    def attempt_failed(
        self, server: ServerId, outcome: AttemptOutcome, attempt: Attempt | None
    ) -> None:
        """Log an attempt that did not serve the request, and how its response ended."""
        logger.info(
            "attempt %s with %s",
            outcome.value,
            "nothing sent" if attempt is None else attempt.ending,
            extra=self._context(server),
        )

    def served(self, server: ServerId, times: ServeTimes) -> None:
        """Log and count the cause of a late reply; do nothing for one in time."""
        cause = times.late_cause(self._request.route)
        if cause is not None:
            self._metrics.count_late(cause.value)
            context = {**self._context(server), "reason": cause.value}
            logger.info("served late: %s", times, extra=context)

    def refused_or_cut(self, reason: RefusalReason) -> None:
        """Log and count that the router refused the request or cut its reply."""
        self._metrics.count_refusal(reason)
        logger.info(
            "request given up: %s", reason.value, extra=self._context(None, reason)
        )

    def failed(self) -> None:
        """Log and count the exception by which this host failed the request."""
        reason = RefusalReason.INTERNAL_ERROR
        self._metrics.count_refusal(reason)
        logger.exception(
            "request given up: %s", reason.value, extra=self._context(None, reason)
        )

    def ended_at_deadline(self) -> None:
        """Log and count that the deadline passed before the request was served."""
        self._metrics.count_refusal(RefusalReason.DEADLINE)
        logger.info(
            "request deadline exceeded after %d sends",
            self._request.send_count,
            extra=self._context(None, RefusalReason.DEADLINE),
        )

    def cancelled(self, seconds: float, server: ServerId | None) -> None:
        """Log that the request was cancelled; ``seconds`` is its age."""
        logger.info(
            "request cancelled after %.3f s and %d sends: caller disconnected or host"
            " stopping",
            seconds,
            self._request.send_count,
            extra=self._context(server, RefusalReason.CANCELLED),
        )

    def _context(
        self, server: ServerId | None, reason: RefusalReason | None = None
    ) -> dict[str, str | None]:
        adapter = self._request.attributes.adapter
        return {
            "request_id": self._request.attributes.request_id,
            "server": server,
            "adapter": None if adapter is None else str(adapter),
            "reason": None if reason is None else reason.value,
        }
