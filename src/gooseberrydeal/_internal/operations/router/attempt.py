"""Relay one response of a backend server to the caller."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.models.routing.route import RequestKind
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.response_sink import ResponseEnd
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.event_splitter import EventSplitter
from gooseberrydeal._internal.operations.router.head_outcome import (
    is_event_stream,
    outcome_of_head,
)
from gooseberrydeal._internal.operations.router.reply_relay import ReplyRelay
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

# An engine that crashes when it begins to answer does so within this time after the
# first bytes of the body.
_ANSWERING_SECONDS: Final = 0.25
# Longest body that is read to its end although it is not relayed.
_MAX_DISCARDED_BYTES: Final = 65_536
# Lengths of silence that differ by less than this count as equal.
SILENCE_RESOLUTION_SECONDS: Final = 0.001


class Attempt:
    """Relay a response to the caller as it arrives.

    ``on_head`` is called with the status when the response's head is received,
    ``on_answering`` once its body has been arriving for some time. ``is_retryable``
    states whether another server may execute the request if this one fails. If the
    caller's reply has already begun, the response resumes it: only its body is relayed.
    """

    def __init__(
        self,
        exchange: CallerExchange,
        codec: RelayCodec,
        assignment: Assignment,
        connection: ServerConnection,
        request: RoutedRequest,
        *,
        is_retryable: bool,
        events: EventSplitter,
        on_head: Callable[[int, ResponseAttributes], None],
        on_answering: Callable[[], None],
    ) -> None:
        self._codec = codec
        self._record = assignment.record
        self._copy = assignment.copy
        self._connection = connection
        self._request_id = request.attributes.request_id
        self._expects_events = request.route.kind is RequestKind.STREAMING
        self._is_retryable = is_retryable
        self._events = events
        last_event = events.last_event_id or request.attributes.last_event_id
        if last_event and request.route.is_resumable:
            events.resume_after(last_event)
        self._is_resuming = exchange.is_started
        self._relay = ReplyRelay(exchange, codec, connection)
        self._is_named = False
        self._is_event_stream = False
        self._rejection: AttemptOutcome | None = None
        self._status = 0
        self._lost_connection = False
        self._ending = "no response"
        self._sent_excess_bytes = False
        self._discarded_bytes = 0
        self._last_body_at = 0.0
        self._longest_pause = 0.0
        self._first_body_at: float | None = None
        self._has_relayed_event = False
        self._on_head = on_head
        self._on_answering: Callable[[], None] | None = on_answering
        self._loop = asyncio.get_running_loop()
        self._received_at = self._loop.time()
        self._done: asyncio.Future[AttemptOutcome] = self._loop.create_future()

    @property
    def status(self) -> int:
        """Return the status of the response, 0 if none was received."""
        return self._status

    @property
    def sent_excess_bytes(self) -> bool:
        """Return whether the server sent more bytes than its response may have."""
        return self._sent_excess_bytes

    @property
    def lost_connection(self) -> bool:
        """Return whether the server's side ended the connection before the response."""
        return self._lost_connection

    @property
    def ending(self) -> str:
        """Return the status and how the response ended, for the log."""
        return f"status {self._status}: {self._ending}"

    @property
    def longest_pause(self) -> float:
        """Return the longest time between two chunks of the body, in seconds."""
        return self._longest_pause

    @property
    def has_begun(self) -> bool:
        """Return whether the caller's reply has begun, with any server's response."""
        return self._relay.has_begun

    @property
    def is_ended(self) -> bool:
        """Return whether the attempt has an outcome."""
        return self._done.done()

    @property
    def silent_since(self) -> float:
        """Return when the server last sent something, on the loop's clock in seconds.

        That is now while this host does not read, since the caller reads slowly.
        """
        return max(self._received_at, self._relay.paused_until)

    @property
    def silent_seconds(self) -> float:
        """Return for how many seconds the server has sent nothing."""
        return self._loop.time() - self.silent_since

    async def outcome(self) -> AttemptOutcome:
        """Wait for the end of the attempt and return its outcome."""
        return await self._done

    async def outcome_unless_silent(self, seconds: float) -> AttemptOutcome | None:
        """Return the outcome, or ``None`` once the server is silent for ``seconds``."""
        while not self._done.done():
            remaining = seconds - self.silent_seconds
            if remaining <= SILENCE_RESOLUTION_SECONDS:
                return None
            try:
                async with asyncio.timeout(remaining):
                    await asyncio.shield(self._done)
            except TimeoutError:
                continue
        return self._done.result()

    def give_up(self, reason: str) -> AttemptOutcome:
        """Close the connection to a silent server, and return the outcome."""
        self._ending = f"server silent for {self.silent_seconds:.1f} s; {reason}"
        self._connection.abort()
        self._events.rest()
        self._finish(AttemptOutcome.CUT if self._status else AttemptOutcome.LOST)
        return self._done.result()

    def withdraw(self, reason: str) -> None:
        """Close the connection, unless the server has begun to answer."""
        has_begun = self._first_body_at is not None or self._rejection is not None
        if has_begun or self._done.done():
            return
        self._ending = reason
        self._connection.abort()
        self._events.rest()
        self._finish(AttemptOutcome.WITHDRAWN)

    def head_received(self, head: ResponseHead) -> None:
        """Start relaying the response, or record why it is not relayed."""
        self._status = head.status
        self._received_at = self._loop.time()
        attributes = self._codec.read_response(head)
        self._on_head(head.status, attributes)
        if attributes.load is not None:
            total = attributes.load.running + attributes.load.waiting
            self._record.load.report(total, attributes.load.slowdown, self._loop.time())
        if attributes.request_id not in (None, self._request_id):
            logger.info(
                "response belongs to another request, %s; closing the connection",
                attributes.request_id,
                extra={"request_id": self._request_id, "server": self._record.id},
            )
            self._ending = "response of another request"
            self._connection.abort()
            self._finish(AttemptOutcome.LOST)
            return
        self._is_named = attributes.request_id is not None
        is_stream = is_event_stream(
            head, attributes, expects_events=self._expects_events
        )
        self._rejection = outcome_of_head(
            head.status,
            attributes,
            is_statement_trusted=self._is_statement_trusted,
            is_retryable=self._is_retryable,
            must_be_stream=self._is_resuming,
            is_stream=is_stream,
        )
        if self._rejection is None:
            self._is_event_stream = is_stream
            self._start_relay(head)

    def body_received(self, data: bytes) -> None:
        """Relay a chunk of the body; from an event stream, complete events only."""
        now = self._received_at = self._loop.time()
        if self._last_body_at:
            self._longest_pause = max(self._longest_pause, now - self._last_body_at)
        self._last_body_at = now
        if not self._relay.is_active:
            self._discard(data)
            return
        self._check_answering(now)
        if self._is_event_stream:
            data = self._events.feed(data)
            if self._events.repeats_events:
                self._stop("a resumed stream repeats events", AttemptOutcome.CUT)
                return
            self._has_relayed_event |= bool(data.strip())
            if self._events.is_overfull:
                self._stop("an event of the stream has no end", AttemptOutcome.CUT)
        self._relay.write(data)

    def response_ended(self, end: ResponseEnd) -> None:
        """Finish the caller's reply, or set the outcome of the failed attempt."""
        place = " inside an event" if self._events.is_inside_event else ""
        self._ending = f"response ended as {end.value}{place}"
        is_broken_off = self._is_event_stream and self._is_broken_off(end)
        self._lost_connection = end is ResponseEnd.LOST or (
            end is ResponseEnd.CLOSED and is_broken_off
        )
        self._sent_excess_bytes = end is ResponseEnd.EXCESS
        if self._rejection is not None:
            if not self._is_named:
                # A repetition of this response could not be told from another's.
                self._connection.abort()
            self._finish(self._rejection)
        elif not self._relay.is_active:
            self._finish(AttemptOutcome.LOST)
        elif end.is_whole and not is_broken_off:
            self._relay.write(self._events.rest())
            self._relay.finish()
            self._finish(AttemptOutcome.SERVED)
        else:
            self._events.rest()
            self._finish(AttemptOutcome.CUT)

    def _is_broken_off(self, end: ResponseEnd) -> bool:
        """Return whether an event stream ends early although its framing is whole."""
        return self._events.is_inside_event or (
            end is ResponseEnd.CLOSED and not self._has_relayed_event
        )

    @property
    def _is_statement_trusted(self) -> bool:
        """Return whether a statement that the request did not run is about it."""
        # A server may write an earlier response once more on the connection.
        return self._is_named or self._connection.is_first_request

    def _check_answering(self, now: float) -> None:
        if self._first_body_at is None:
            self._first_body_at = now
        has_lasted = now - self._first_body_at >= _ANSWERING_SECONDS
        if has_lasted and self._on_answering and self._status < HTTPStatus.BAD_REQUEST:
            self._on_answering()
            self._on_answering = None

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            outcome = self._rejection or AttemptOutcome.LOST
            self._stop("the body of a response that is not relayed is long", outcome)

    def _stop(self, problem: str, outcome: AttemptOutcome) -> None:
        """Close the connection because of what the server sends."""
        logger.info(
            "closing a connection: %s",
            problem,
            extra={"request_id": self._request_id, "server": self._record.id},
        )
        self._connection.abort()
        self._events.rest()
        self._ending = problem
        self._sent_excess_bytes = True
        self._finish(outcome)

    def _start_relay(self, head: ResponseHead) -> None:
        if self._copy is not None:
            self._record.note_present(self._copy)
        self._relay.start(head)

    def _finish(self, outcome: AttemptOutcome) -> None:
        self._relay.stop()
        if not self._done.done():
            self._done.set_result(outcome)
