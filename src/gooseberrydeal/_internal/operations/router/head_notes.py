"""Record what responses say of requests and servers."""

import logging
from collections.abc import Callable

from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.models.routing.slowdown import NORMAL_SLOWDOWN
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.peer_fields import notice_fields
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.eligible_servers import (
    EligibleServers,
)
from gooseberrydeal._internal.operations.router.event_splitter import EventSplitter
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.serve_times import ServeTimes
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.speeds.plain_timer import PlainTimer
from gooseberrydeal._internal.operations.router.speeds.response_timer import (
    ResponseTimer,
)
from gooseberrydeal._internal.operations.router.speeds.response_timing import (
    ResponseTiming,
)
from gooseberrydeal._internal.operations.router.stream_continuation import (
    StreamContinuation,
)

logger = logging.getLogger(__name__)


class HeadNotes:
    """Pass the head and the timing of each response on to all that depend on them."""

    def __init__(
        self,
        exchange: CallerExchange,
        continuation: StreamContinuation,
        eligible: EligibleServers,
        metrics: RouterMetrics,
        times: ServeTimes,
        events: EventSplitter,
        clock: Callable[[], float],
    ) -> None:
        self._exchange = exchange
        self._continuation = continuation
        self._eligible = eligible
        self._metrics = metrics
        self._times = times
        self._events = events
        self._clock = clock
        self._timer: ResponseTiming | None = None

    def sent(self, assignment: Assignment, request: RoutedRequest) -> None:
        """Record that the request is sent to a server now."""
        self._times.note_sent(self._clock(), assignment.load_wait)
        if request.send_count == 1:
            self._metrics.observe_wait(self._times.sent_at - request.arrived_at)
        if assignment.record.service.engine is None:
            self._timer = PlainTimer(assignment, self._clock)
        else:
            self._timer = ResponseTimer(assignment, request, self._clock)
        self._events.set_listener(self._timer.events_received)

    def ended(self, longest_pause: float) -> None:
        """Record that the response has ended; the pause is in seconds."""
        self._times.note_pause(longest_pause)
        if self._timer is not None:
            self._timer.finish()
        self._timer = None

    def note(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        status: int,
        attributes: ResponseAttributes,
    ) -> None:
        """Record what the head of a response says of the request and its server."""
        times = self._times
        times.head_at = self._clock()
        if self._timer is not None:
            load = attributes.load
            slowdown = NORMAL_SLOWDOWN if load is None else load.slowdown
            self._timer.head_received(status, slowdown)
        if attributes.has_invalid_load:
            self._metrics.count_ignored("server_load")
            logger.info(
                "ignoring the server's load: it is malformed or out of range",
                extra={"request_id": attributes.request_id, "server": record.id},
            )
        for field in notice_fields(record.id, record.entry.started_at, attributes):
            self._exchange.add_peer_field(field)
        self._continuation.note_response(status, record, connection)
        self._eligible.response_received(
            record, connection, status, attributes, times.sent_at
        )
        self._metrics.observe_first_byte(times.head_at - times.sent_at)
