"""Pass one response of a server on to the caller."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.reply_facts import ReplyFacts
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.response_sink import ResponseEnd
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.event_splitter import EventSplitter

logger = logging.getLogger(__name__)

# Callers take these as a promise that the request has not run.
_PROMISES: Final = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)


class Attempt:
    """Receive a response and write it to the caller as it arrives."""

    def __init__(
        self,
        exchange: CallerExchange,
        codec: RelayCodec,
        assignment: Assignment,
        connection: ServerConnection,
        request_id: str,
        *,
        may_repeat: bool,
        events: EventSplitter,
        on_head: Callable[[], None],
    ) -> None:
        self._exchange = exchange
        self._codec = codec
        self._record = assignment.record
        self._copy = assignment.copy
        self._connection = connection
        self._request_id = request_id
        self._may_repeat = may_repeat
        self._events = events
        self._is_continuing = exchange.is_started
        self._is_passing = False
        self._is_events = False
        self._verdict: AttemptOutcome | None = None
        self._status = 0
        self._received = 0
        self._last_at = 0.0
        self._longest_pause = 0.0
        self._on_head = on_head
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[AttemptOutcome] = self._loop.create_future()

    @property
    def status(self) -> int:
        """Return the status of the response, 0 if none came."""
        return self._status

    @property
    def longest_pause(self) -> float:
        """Return the longest time between two pieces, in seconds."""
        return self._longest_pause

    async def outcome(self) -> AttemptOutcome:
        """Return how the attempt ended."""
        return await self._done

    async def outcome_unless_silent(self, seconds: float) -> AttemptOutcome:
        """Return how the attempt ended; give up a server that is silent for so long."""
        while True:
            seen = self._received
            try:
                async with asyncio.timeout(seconds):
                    return await asyncio.shield(self._done)
            except TimeoutError:
                if self._received == seen:
                    self._give_up()
                    return AttemptOutcome.CUT if seen else AttemptOutcome.LOST

    def head_received(self, head: ResponseHead) -> None:
        """Decide whether the response is passed on."""
        self._status = head.status
        self._received += 1
        self._on_head()
        facts = self._codec.read_reply(head)
        if facts.load is not None:
            total = facts.load.running + facts.load.waiting
            self._record.load.report(total, facts.load.pace, self._loop.time())
        if facts.request_id not in (None, self._request_id):
            logger.info(
                "a response belongs to request %s; connection closed",
                facts.request_id,
                extra={"request_id": self._request_id, "server": self._record.id},
            )
            self._connection.abort()
            self._finish(AttemptOutcome.LOST)
            return
        self._verdict = self._judge(head, facts)
        if self._verdict is None:
            self._pass_on(head, facts)

    def body_received(self, data: bytes) -> None:
        """Pass bytes on, whole events only in a stream."""
        self._received += 1
        now = self._loop.time()
        if self._last_at:
            self._longest_pause = max(self._longest_pause, now - self._last_at)
        self._last_at = now
        if not self._is_passing:
            return
        if self._is_events:
            data = self._events.feed(data)
        self._exchange.write(data)

    def response_ended(self, end: ResponseEnd) -> None:
        """End the reply, or tell how the attempt failed."""
        if self._verdict is not None:
            self._finish(self._verdict)
        elif not self._is_passing:
            self._finish(AttemptOutcome.LOST)
        elif end is ResponseEnd.COMPLETE:
            self._exchange.write(self._events.rest())
            self._exchange.finish()
            self._finish(AttemptOutcome.SERVED)
        else:
            self._events.rest()
            self._finish(AttemptOutcome.CUT)

    def pressure(self, is_full: bool) -> None:
        """Stop or go on reading from the server."""
        if is_full:
            self._connection.pause()
        else:
            self._connection.resume()

    def _give_up(self) -> None:
        self._connection.abort()
        self._events.rest()
        self._exchange.set_backpressure_callback(None)
        if not self._done.done():
            self._done.cancel()

    def _judge(self, head: ResponseHead, facts: ReplyFacts) -> AttemptOutcome | None:
        """Return why a response is not passed on, or ``None``."""
        if facts.is_not_run:
            return AttemptOutcome.NOT_RUN
        if self._is_continuing and head.status != HTTPStatus.OK:
            return AttemptOutcome.FAILED
        if head.status in _PROMISES:
            # The server doesn't say that it did not run the request, and this status
            # would tell the caller so.
            return AttemptOutcome.WITHHELD
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and self._may_repeat:
            return AttemptOutcome.FAILED
        return None

    def _pass_on(self, head: ResponseHead, facts: ReplyFacts) -> None:
        self._is_passing = True
        if self._copy is not None:
            self._record.note_present(self._copy)
        self._is_events = facts.is_event_stream
        self._exchange.set_backpressure_callback(self.pressure)
        if self._is_continuing:
            return
        length = head.first(b"content-length")
        self._exchange.start(
            head.status,
            head.reason,
            self._codec.reply_headers(head),
            int(length) if length is not None and length.isdigit() else None,
        )

    def _finish(self, outcome: AttemptOutcome) -> None:
        self._exchange.set_backpressure_callback(None)
        if not self._done.done():
            self._done.set_result(outcome)
