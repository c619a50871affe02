"""End the reply of a request that is not served."""

from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.operations.router.refusals import (
    final_refusal_status,
    refuse,
)
from gooseberrydeal._internal.operations.router.request_log import RequestLog
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest

RETRY_AFTER_SECONDS: Final = 0.4


class FailedReply:
    """Refuse a request, or abort its reply if that has already begun."""

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        codec: RelayCodec,
        log: RequestLog,
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._codec = codec
        self._log = log

    def reject(self, reason: RefusalReason, retry_after: float) -> None:
        """Refuse the request for a reason that tells the caller that it did not run.

        If a server may have run it, report a failed server instead.
        """
        self._log.refused_or_cut(reason)
        if self._request.started_on:
            self.server_failed()
        else:
            self._end(reason, retry_after)

    def refuse_as_crashing(self, cause: RequestFeature) -> None:
        """Refuse the request for the servers that crashed while ``cause`` was there."""
        reason = RefusalReason.CRASH_SUSPECT
        self._log.refused_or_cut(reason)
        status = final_refusal_status(self._codec, self._request.route, cause)
        self._end(reason, None, status)

    def server_failed(self) -> None:
        """Report that a server failed and may have run the request."""
        self._end(RefusalReason.SERVER_FAILED, None)

    def internal_error(self) -> None:
        """Report the exception that is being handled, an error of this host.

        The caller learns whether the request may have run.
        """
        self._log.failed()
        if self._request.may_have_run:
            self.server_failed()
        else:
            self._end(RefusalReason.INTERNAL_ERROR, RETRY_AFTER_SECONDS)

    def deadline_exceeded(self) -> None:
        """Report that the request was not served in time."""
        self._log.ended_at_deadline()
        if self._request.send_count:
            self._end(RefusalReason.DEADLINE, None)
        else:
            self._end(RefusalReason.OVERLOADED, RETRY_AFTER_SECONDS)

    def _end(
        self,
        reason: RefusalReason,
        retry_after: float | None,
        status: int | None = None,
    ) -> None:
        if self._exchange.is_started:
            self._exchange.abort_connection()
        else:
            refuse(self._exchange, reason, retry_after, status)
