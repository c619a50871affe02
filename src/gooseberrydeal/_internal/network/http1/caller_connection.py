"""Receive the requests of a caller's connection and serve them in turn."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.framing import encode_error
from gooseberrydeal._internal.network.http1.host_resources import HostResources
from gooseberrydeal._internal.network.http1.request_handling import RequestHandler
from gooseberrydeal._internal.network.http1.request_intake import RequestIntake
from gooseberrydeal._internal.network.http1.request_parser import Rejection
from gooseberrydeal._internal.network.http1.socket_options import set_reset_on_close
from gooseberrydeal._internal.network.http1.unsent_watch import UnsentWatch
from gooseberrydeal._internal.policy.host_memory.connection_load import (
    ConnectionLoad,
)
from gooseberrydeal._internal.utils.restartable_timer import RestartableTimer

logger = logging.getLogger(__name__)

# After an error response, what the caller still sends is read and discarded for this
# long: closing a socket with unread data resets the connection, and the caller could
# lose the response.
_LINGERING_CLOSE_SECONDS: Final = 0.5
# In seconds: others give up room for long requests within about this time.
_RETRY_AFTER: Final[Header] = (b"Retry-After", b"1.00")


class CallerConnection(asyncio.BufferedProtocol):
    """Pass the requests that a caller sends to the handler one at a time.

    A request is passed on once its whole body has been received. Malformed or oversized
    requests and those that arrive too slowly get an error response, as do those for
    which the host has no room. ``error_fields`` are added to the latter.
    """

    def __init__(
        self,
        handler: RequestHandler,
        on_open: Callable[["CallerConnection"], None],
        on_head: Callable[["CallerConnection"], None],
        on_close: Callable[["CallerConnection"], None],
        watch: AcknowledgementWatch,
        resources: HostResources,
        error_fields: Iterable[Header] = (),
    ) -> None:
        self._handler = handler
        self._watch = watch
        self._on_open = on_open
        self._on_request_head = on_head
        self._on_close = on_close
        self._resources = resources
        self._error_fields = tuple(error_fields)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._intake = RequestIntake(
            lambda: handler.limits, resources, self, self._on_begin, self._on_head
        )
        self._buffer = memoryview(b"")
        self._unsent = UnsentWatch(self._loop.time)
        self._exchange: CallerExchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timeout = RestartableTimer()
        self._is_closing = self._must_close = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return self._exchange is None and self._intake.is_empty

    @property
    def is_ending(self) -> bool:
        """Return whether the connection is about to be closed."""
        return self._transport is None or self._transport.is_closing()

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of a response waits to be sent."""
        return self._unsent_bytes > 0

    @property
    def is_closing_after_reply(self) -> bool:
        """Return whether the connection is closed after the current response."""
        must_close = self._must_close or self._intake.parser.must_close
        return must_close or self._handler.is_draining

    @property
    def _unsent_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def load(self) -> ConnectionLoad:
        """Return what the connection costs the host now."""
        intake, transport = self._intake, self._transport
        # A request can be refused only if no response is under way.
        is_answering = self._exchange is not None or self.has_unsent
        is_receiving = intake.parser.is_receiving and not self._is_closing
        return ConnectionLoad(
            other_bytes=intake.held_bytes + self._unsent_bytes,
            long_bytes=intake.long_bytes,
            is_receiving=is_receiving and not is_answering,
            stalled=intake.stalled,
            unread=0.0 if transport is None else self._unsent.unread_seconds(transport),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._watch.begin(transport)
        self._timeout.start(self._handler.limits.idle_timeout, self._on_timeout)
        self._note_held()
        self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        self._buffer = self._resources.read_buffer(has_room=self._intake.has_room)
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes and start the next request if one is complete."""
        if not self._is_closing:
            self._received(self._intake.receive(self._buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel the request that is being served."""
        self._is_closing = True
        self._timeout.cancel()
        self._resources.leave(self)
        self._on_close(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Report backpressure: the write buffer is full, as the caller reads slowly."""
        if self._exchange is not None:
            self._exchange.backpressure_changed(is_full=True)

    def resume_writing(self) -> None:
        """Report the end of backpressure."""
        self._note_held()
        if self._exchange is not None:
            self._exchange.backpressure_changed(is_full=False)

    def write(self, data: bytes) -> None:
        """Send bytes to the caller, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._unsent.write(self._transport, data, self._resources.unsent_bytes)
            self._watch.data_sent(self._transport)
            self._note_held()

    def reply_finished(self, *, keep_open: bool) -> None:
        """Start the next request, or close the connection."""
        self._exchange = None
        self._task = None
        self._intake.end_served()
        self._note_held()
        if not keep_open:
            self.close()
            return
        self._timeout.start(self._handler.limits.idle_timeout, self._on_timeout)
        self._loop.call_soon(self._go_on)

    def set_reset_on_close(self, *, is_enabled: bool) -> None:
        """Choose whether the connection is reset instead of closed in order."""
        if self._transport is not None:
            set_reset_on_close(self._transport, is_enabled=is_enabled)

    def abort_connection(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        self._exchange = None
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all written bytes have been sent."""
        self._is_closing = True
        self._timeout.cancel()
        if self._transport is not None:
            self._transport.close()

    def room_granted(self) -> None:
        """Go on with reading the long body for which there was no room."""
        self._intake.room_granted()
        self._loop.call_soon(self._go_on)

    def shed(self, *, lingers: bool = True) -> None:
        """Refuse the request that is being received, or close the connection."""
        if self._exchange is not None or self.has_unsent:
            self.abort_connection()
            return
        if self._intake.parser.is_receiving:
            self._refuse_overloaded()
        if not lingers or not self._is_closing:
            self.close()

    def _go_on(self) -> None:
        """Parse what was left, then read on."""
        if not self._is_closing:
            self._received(self._intake.go_on())

    def _received(self, rejection: Rejection | None) -> None:
        if rejection is not None:
            self._refuse(rejection.status, rejection.reason)
        self._start_next_request()
        self._note_held()

    def _on_begin(self) -> None:
        if self._exchange is None:
            self._timeout.start(self._handler.limits.header_timeout, self._on_timeout)

    def _on_head(self) -> None:
        """Send ``100 Continue`` if the caller waits for it before it sends the body."""
        self._on_request_head(self)
        if self._exchange is not None:
            return
        if self._intake.parser.expects_continue and not self._is_closing:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._timeout.start(self._handler.limits.idle_timeout, self._on_timeout)

    def _note_held(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._resources.note(self, self._intake.held_bytes + self._unsent_bytes)

    def _start_next_request(self) -> None:
        if self._transport is None or self._is_closing:
            return
        if self._intake.has_next:
            if self._resources.is_exhausted:
                self._resources.count_limit("no_room")
                self._refuse_overloaded()
                return
            request = self._intake.begin_next()
            self._timeout.cancel()
            self._exchange = CallerExchange(request.head, request.body, self)
            self._task = self._loop.create_task(self._serve(self._exchange))
        if self._intake.is_blocked:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def _serve(self, exchange: CallerExchange) -> None:
        try:
            await self._handler.handle(exchange)
        except Exception:
            logger.exception("unhandled exception in the handler of a request")
            exchange.abort_connection()
        if not exchange.is_finished:
            exchange.abort_connection()

    def _refuse_overloaded(self) -> None:
        """Refuse a request, which has not run, since the host has no room for it."""
        self._refuse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            RefusalReason.HOST_OVERLOADED.value,
            (_RETRY_AFTER, *self._error_fields),
        )

    def _refuse(
        self, status: HTTPStatus, reason: str, fields: Iterable[Header] = ()
    ) -> None:
        """Send an error response with the reason as its body, then close.

        No error response is sent while another request is being served.
        """
        if self._is_closing:
            return
        if status != HTTPStatus.SERVICE_UNAVAILABLE:
            self._resources.count_rejection(status, reason)
        self._is_closing = self._must_close = True
        self._timeout.cancel()
        self._intake.discard()
        if self._exchange is not None:
            return
        self.write(encode_error(status, reason, fields))
        if self._transport is not None:
            self._transport.resume_reading()
            if self._transport.can_write_eof():
                self._transport.write_eof()
        self._timeout.start(_LINGERING_CLOSE_SECONDS, self.close)

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            return
        left = self._intake.seconds_left(self._handler.limits.idle_timeout)
        if left > 0:
            self._timeout.start(left, self._on_timeout)
        elif self._intake.parser.is_receiving:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive")
        else:
            self.close()
