"""Send a request to a server."""

import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.framing import encode_request_head
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.event_splitter import EventSplitter
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.version_rollout import VersionRollout
from gooseberrydeal._internal.policy.version_term import VersionTerm

logger = logging.getLogger(__name__)

# A request on a version that was replaced must not wait for long at the engine.
_FIRST_RANK: Final = 0


class RequestForwarder:
    """Encode the caller's request with the fields for its server, and send it.

    If the caller's reply has begun, the server is asked to resume after the last event.
    """

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        codec: RelayCodec,
        events: EventSplitter,
        rollout: VersionRollout,
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._codec = codec
        self._events = events
        self._rollout = rollout
        self._clock = clock

    def send(
        self, assignment: Assignment, connection: ServerConnection, attempt: Attempt
    ) -> None:
        """Send the request on a connection; the attempt receives the response."""
        copy = assignment.copy
        term = VersionTerm() if copy is None else self._rollout.term(copy)
        if copy is not None and term.is_limited:
            self._log_limited(assignment.record.id, copy, term)
        connection.send(
            self._encode_head(assignment, term),
            attempt,
            is_head_request=self._exchange.head.method == b"HEAD",
            body=self._exchange.body,
        )

    def _log_limited(
        self, server: ServerId, copy: AdapterCopyKey, term: VersionTerm
    ) -> None:
        now = self._clock()
        logger.info(
            "request sent on adapter version %d; a newer one was declared within the"
            " last %.3f s, and the engine is told to stop in %.3f s",
            copy.version,
            now - term.replaced_after,
            term.stop_at - now,
            extra={
                "request_id": self._request.attributes.request_id,
                "server": server,
                "adapter": str(copy.key),
            },
        )

    def _encode_head(self, assignment: Assignment, term: VersionTerm) -> bytes:
        request, head = self._request, self._exchange.head
        copy = assignment.copy
        is_resuming = self._exchange.is_started
        attributes = ForwardAttributes(
            server=assignment.record.id,
            seconds_left=min(request.deadline, term.stop_at) - self._clock(),
            rank=_FIRST_RANK if term.is_limited else request.rank,
            adapter_version=copy.version if copy is not None and copy.adapter else 0,
            resume_after_event_id=self._events.last_event_id if is_resuming else None,
            forwards_last_event_id=request.route.is_resumable,
            account=request.account_name,
            hides_key=request.hides_key,
        )
        headers = self._codec.forward_headers(head, attributes)
        return encode_request_head(
            head.method, head.target, headers, self._exchange.body
        )
