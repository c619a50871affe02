"""Parse the requests that arrive on a caller's connection and serve them in turn."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import httptools

from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.framing import (
    encode_error,
    expects_continue,
    framing_allowance,
)
from gooseberrydeal._internal.network.http1.request_handling import RequestHandler
from gooseberrydeal._internal.network.http1.socket_options import set_reset_on_close
from gooseberrydeal._internal.utils.restartable_timer import RestartableTimer

logger = logging.getLogger(__name__)

# After an error response, what the caller still sends is read and discarded for this
# long: closing a socket with unread data resets the connection, and the caller could
# lose the response.
_LINGERING_CLOSE_SECONDS: Final = 0.5
# Reading is paused while this many pipelined requests wait for the current response.
_MAX_PIPELINED_REQUESTS: Final = 4
# The bytes of a field line besides name and value: a colon, a space and CRLF.
_FIELD_OVERHEAD_BYTES: Final = 4
# This version has neither chunked nor interim responses.
_OLD_HTTP_VERSION: Final = "1.0"


class CallerConnection(asyncio.Protocol):
    """Parse requests strictly and pass them to the handler one at a time.

    A request is passed on once its whole body has been received. Malformed or oversized
    requests and those that arrive too slowly get an error response.
    """

    def __init__(
        self,
        handler: RequestHandler,
        on_open: Callable[["CallerConnection"], None],
        on_close: Callable[["CallerConnection"], None],
        watch: AcknowledgementWatch,
    ) -> None:
        self._handler = handler
        self._watch = watch
        self._on_open = on_open
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[Header] = []
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._is_head_complete = False
        self._is_receiving = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._framing_bytes = 0
        self._begun_requests = 0
        self._pipelined: list[tuple[RequestHead, bytes]] = []
        self._exchange: CallerExchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timeout = RestartableTimer()
        self._is_closing = False
        self._must_close = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return self._exchange is None and not self._is_receiving and not self._pipelined

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of a response waits to be sent."""
        return self._transport is not None and (
            self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_closing_after_reply(self) -> bool:
        """Return whether the connection is closed after the current response."""
        return self._must_close or self._handler.is_draining

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._watch.begin(transport)
        self._on_open(self)
        self._timeout.start(self._handler.limits.idle_timeout, self._on_timeout)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next request if one is complete."""
        if self._is_closing:
            return
        was_receiving_body = self._is_receiving and self._is_head_complete
        begun_before, body_bytes_before = self._begun_requests, self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._must_close = True
        except httptools.HttpParserError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, f"the request is malformed: {error}")
            return
        if self._is_receiving and not self._is_head_complete:
            self._received_head_bytes += len(data)
            self._check_head_size(self._received_head_bytes)
        elif was_receiving_body and self._begun_requests == begun_before:
            self._framing_bytes += len(data) - (self._body_bytes - body_bytes_before)
            self._check_framing()
        self._start_next_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel the request that is being served."""
        self._is_closing = True
        self._timeout.cancel()
        self._on_close(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Report backpressure: the write buffer is full, as the caller reads slowly."""
        if self._exchange is not None:
            self._exchange.backpressure_changed(is_full=True)

    def resume_writing(self) -> None:
        """Report the end of backpressure."""
        if self._exchange is not None:
            self._exchange.backpressure_changed(is_full=False)

    def on_message_begin(self) -> None:
        """Reset the parsing state for a new request."""
        self._target = b""
        self._headers = []
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._is_head_complete = False
        self._is_receiving = True
        self._body = []
        self._body_bytes = 0
        self._framing_bytes = 0
        self._begun_requests += 1
        if self._exchange is None:
            self._timeout.start(self._handler.limits.header_timeout, self._on_timeout)

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        if self._is_head_complete:
            return
        self._parsed_head_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        self._check_head_size(self._parsed_head_bytes)
        lower = name.lower()
        if lower == b"transfer-encoding" and value.lower() != b"chunked":
            self._must_close = True
            raise ValueError("the only supported transfer coding is chunked")
        if lower == b"content-length" and value.isdigit():
            self._check_body_size(int(value))
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Send ``100 Continue`` if the caller waits for it before it sends the body."""
        self._is_head_complete = True
        if self._exchange is not None:
            return
        accepts_interim = self._parser.get_http_version() != _OLD_HTTP_VERSION
        if accepts_interim and expects_continue(self._headers) and not self._is_closing:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._timeout.start(self._handler.limits.idle_timeout, self._on_timeout)

    def on_body(self, body: bytes) -> None:
        """Store a fragment of the body and check the size received so far."""
        self._body_bytes += len(body)
        if not self._is_closing:
            self._check_body_size(self._body_bytes)
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a completely received request."""
        self._is_receiving = False
        if self._is_closing:
            return
        accepts_chunks = self._parser.get_http_version() != _OLD_HTTP_VERSION
        if not accepts_chunks or not self._parser.should_keep_alive():
            self._must_close = True
        method = self._parser.get_method()
        head = RequestHead(method, self._target, tuple(self._headers), accepts_chunks)
        self._pipelined.append((head, b"".join(self._body)))
        self._body = []

    def write(self, data: bytes) -> None:
        """Send bytes to the caller, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self._watch.data_sent(self._transport)

    def reply_finished(self, *, keep_open: bool) -> None:
        """Start the next request, or close the connection."""
        self._exchange = None
        self._task = None
        if not keep_open:
            self.close()
            return
        self._timeout.start(self._handler.limits.idle_timeout, self._on_timeout)
        self._loop.call_soon(self._start_next_request)

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

    def _start_next_request(self) -> None:
        if self._transport is None or self._is_closing:
            return
        if self._exchange is not None or not self._pipelined:
            if len(self._pipelined) >= _MAX_PIPELINED_REQUESTS:
                self._transport.pause_reading()
            return
        head, body = self._pipelined.pop(0)
        self._transport.resume_reading()
        self._timeout.cancel()
        self._exchange = CallerExchange(head, body, self)
        self._task = self._loop.create_task(self._serve(self._exchange))

    async def _serve(self, exchange: CallerExchange) -> None:
        try:
            await self._handler.handle(exchange)
        except Exception:
            logger.exception("unhandled exception in the handler of a request")
            exchange.abort_connection()
        if not exchange.is_finished:
            exchange.abort_connection()

    def _check_head_size(self, length: int) -> None:
        if length > self._handler.limits.header_bytes and not self._is_closing:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(status, "the header fields are too large")

    def _check_body_size(self, length: int) -> None:
        if length > self._handler.limits.body_bytes and not self._is_closing:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self._refuse(status, "the request body is too large")

    def _check_framing(self) -> None:
        if self._framing_bytes > framing_allowance(self._body_bytes):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(status, "the chunk extensions or trailer fields are too large")

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        """Send an error response with the reason as its body, then close.

        No error response is sent while another request is being served.
        """
        if self._is_closing:
            return
        logger.info("request rejected with status %d: %s", status, reason)
        self._is_closing = True
        self._timeout.cancel()
        self._must_close = True
        if self._exchange is not None:
            return
        self.write(encode_error(status, reason))
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._timeout.start(_LINGERING_CLOSE_SECONDS, self.close)

    def _on_timeout(self) -> None:
        if self._exchange is not None:
            return
        if self._is_receiving:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive")
        else:
            self.close()
