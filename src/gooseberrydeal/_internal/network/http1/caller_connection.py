"""Read requests of a caller from one connection."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, Final, Protocol

import httptools

from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.socket_options import limit_silence

logger = logging.getLogger(__name__)

# A refused caller may still be sending; its bytes are read and dropped this long, since
# closing with unread bytes would reset the connection and lose the reply.
_LINGER_SECONDS: Final = 0.5
# Requests that a caller sent ahead of the reply before reading stops.
_MOST_AHEAD: Final = 4
# A colon, a space and the end of the line.
_FIELD_OVERHEAD_BYTES: Final = 4


class RequestHandler(Protocol):
    """Serve the requests of all connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        ...

    @property
    def is_draining(self) -> bool:
        """Return whether connections end after their reply."""
        ...

    def handle(self, exchange: CallerExchange) -> Coroutine[Any, Any, None]:
        """Serve one request."""
        ...


class CallerConnection(asyncio.Protocol):
    """Parse requests strictly and pass them on one at a time."""

    def __init__(
        self,
        handler: RequestHandler,
        on_open: Callable[["CallerConnection"], None],
        on_close: Callable[["CallerConnection"], None],
    ) -> None:
        self._handler = handler
        self._on_open = on_open
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._field_bytes = 0
        self._is_head_complete = False
        self._is_receiving = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._waiting: list[tuple[RequestHead, bytes]] = []
        self._exchange: CallerExchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_closing = False
        self._must_close = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return self._exchange is None and not self._is_receiving and not self._waiting

    @property
    def is_closing_after_reply(self) -> bool:
        """Return whether no further request is taken."""
        return self._must_close or self._handler.is_draining

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        limit_silence(transport)
        self._on_open(self)
        self._arm(self._handler.limits.idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._is_closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._must_close = True
        except httptools.HttpParserError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, f"the request is malformed: {error}")
            return
        if self._is_receiving and not self._is_head_complete:
            self._header_bytes += len(data)
            self._check_head(self._header_bytes)
        self._begin_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served."""
        self._is_closing = True
        self._disarm()
        self._on_close(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Tell the handler that the caller doesn't read."""
        if self._exchange is not None:
            self._exchange.pressure_changed(is_full=True)

    def resume_writing(self) -> None:
        """Tell the handler that the caller reads again."""
        if self._exchange is not None:
            self._exchange.pressure_changed(is_full=False)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._field_bytes = 0
        self._is_head_complete = False
        self._is_receiving = True
        self._body = []
        self._body_bytes = 0
        if self._exchange is None:
            self._arm(self._handler.limits.header_timeout)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field, and leave out trailers."""
        if self._is_head_complete:
            return
        self._field_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        self._check_head(self._field_bytes)
        lower = name.lower()
        if lower == b"transfer-encoding" and value.lower() != b"chunked":
            self._must_close = True
            raise ValueError("the transfer coding is not supported")
        if lower == b"content-length" and value.isdigit():
            self._check_length(int(value))
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note the end of the head, and ask for the body if the caller waits."""
        self._is_head_complete = True
        expects = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        if expects and self._exchange is None and not self._is_closing:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._exchange is None:
            self._arm(self._handler.limits.idle_timeout)

    def on_body(self, body: bytes) -> None:
        """Take bytes of the body."""
        self._body_bytes += len(body)
        if not self._is_closing:
            self._check_length(self._body_bytes)
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        self._is_receiving = False
        if self._is_closing:
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        head = RequestHead(
            self._parser.get_method(), self._target, tuple(self._headers)
        )
        self._waiting.append((head, b"".join(self._body)))
        self._body = []

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def reply_finished(self, *, keep_open: bool) -> None:
        """Go on with the next request, or close."""
        self._exchange = None
        self._task = None
        if not keep_open:
            self.close()
            return
        self._arm(self._handler.limits.idle_timeout)
        self._loop.call_soon(self._begin_next)

    def cut(self) -> None:
        """Close at once."""
        self._exchange = None
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after the bytes that were sent."""
        self._is_closing = True
        self._disarm()
        if self._transport is not None:
            self._transport.close()

    def _begin_next(self) -> None:
        if self._transport is None or self._is_closing:
            return
        if self._exchange is not None or not self._waiting:
            if len(self._waiting) >= _MOST_AHEAD:
                self._transport.pause_reading()
            return
        head, body = self._waiting.pop(0)
        self._transport.resume_reading()
        self._disarm()
        self._exchange = CallerExchange(head, body, self)
        self._task = self._loop.create_task(self._serve(self._exchange))

    async def _serve(self, exchange: CallerExchange) -> None:
        try:
            await self._handler.handle(exchange)
        except Exception:
            logger.exception("a request failed inside the program")
            exchange.cut()
        if not exchange.is_finished:
            exchange.cut()

    def _check_head(self, length: int) -> None:
        if length > self._handler.limits.header_bytes and not self._is_closing:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the header fields are too large",
            )

    def _check_length(self, length: int) -> None:
        if length > self._handler.limits.body_bytes and not self._is_closing:
            self._refuse(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request body is too large"
            )

    def _refuse(self, status: HTTPStatus, why: str) -> None:
        """Answer a request that can't be served, read on for a while, then close."""
        if self._is_closing:
            return
        logger.info("a connection is refused with %d: %s", status, why)
        self._is_closing = True
        self._disarm()
        self._must_close = True
        if self._exchange is not None:
            return
        body = why.encode() + b"\n"
        self.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b"
            % (status, status.phrase.encode(), len(body), body)
        )
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = self._loop.call_later(_LINGER_SECONDS, self.close)

    def _arm(self, seconds: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, self._timed_out)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self._exchange is not None:
            return
        if self._is_receiving:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, "the request did not arrive")
        else:
            self.close()
