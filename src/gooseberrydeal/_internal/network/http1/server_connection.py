"""Exchange requests and responses with a backend server on one connection."""

import asyncio
import logging
from http import HTTPStatus
from typing import Final

import httptools

from gooseberrydeal._internal.models.routing.http_heads import Header, ResponseHead
from gooseberrydeal._internal.network.http1.framing import is_bodiless
from gooseberrydeal._internal.network.http1.response_sink import (
    ResponseEnd,
    ResponseSink,
)
from gooseberrydeal._internal.network.http1.socket_options import limit_silence

logger = logging.getLogger(__name__)

# Where a server states no idle timeout, connections are kept no longer than this.
_DEFAULT_IDLE_SECONDS: Final = 4.0
# A request sent this close to the server's own timeout could meet its close.
_IDLE_MARGIN_SECONDS: Final = 0.7


class ServerConnection(asyncio.Protocol):
    """Send one request at a time; close on anything that isn't its response.

    The connection is reused only after a response that ended exactly, since bytes
    that follow could be taken for the response to the next request.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._sink: ResponseSink | None = None
        self._is_head_request = False
        self._status = 0
        self._reason = b""
        self._headers: list[Header] = []
        self._is_head_complete = False
        self._is_complete = False
        self._is_framed = False
        self._has_extra = False
        self._may_keep_open = False
        self._saw_end_of_input = False
        self._body: list[bytes] = []
        self._idle_seconds = _DEFAULT_IDLE_SECONDS
        self._idle_until = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection can still carry bytes."""
        return self._transport is not None and not self._transport.is_closing()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent now."""
        return (
            self.is_open
            and self._sink is None
            and self._loop.time() < (self._idle_until)
        )

    def send(self, data: bytes, sink: ResponseSink, *, is_head_request: bool) -> None:
        """Send a whole request, whose response goes to the sink."""
        assert self._transport is not None
        self._sink = sink
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()
        self._transport.write(data)

    def pause(self) -> None:
        """Stop reading, since the caller doesn't read."""
        if self.is_open and self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close at once; the sink hears nothing more."""
        self._sink = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._idle_until = self._loop.time() + self._idle_seconds
        limit_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        sink = self._sink
        if sink is None or self._parser is None:
            logger.info("a server sent bytes without a request; connection closed")
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_complete:
                logger.info("a server sent no valid response: %s", error)
                self._end(ResponseEnd.INVALID)
                return
            self._has_extra = True
        self._flush()
        if self._is_complete and self._sink is sink:
            self._complete()

    def eof_received(self) -> bool:
        """Note that the server has ended its side in an orderly way."""
        self._saw_end_of_input = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response, which is whole only if the close marks its end."""
        if self._sink is None:
            return
        is_whole = (
            exc is None
            and self._saw_end_of_input
            and self._is_head_complete
            and not self._is_framed
        )
        self._end(ResponseEnd.COMPLETE if is_whole else ResponseEnd.LOST)

    def on_message_begin(self) -> None:
        """Begin a message; a second final one is none of ours."""
        if self._is_complete:
            self._has_extra = True
        else:
            self._reset_message()

    def on_status(self, status: bytes) -> None:
        """Take the reason phrase."""
        if not self._is_complete:
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field, and leave out trailers."""
        if not self._is_complete and not self._is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        if self._is_complete or self._parser is None or self._sink is None:
            return
        self._status = self._parser.get_status_code()
        if self._status < HTTPStatus.OK:
            return
        self._is_head_complete = True
        self._is_framed = self._is_head_request or is_bodiless(self._status)
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                self._is_framed = True
            elif lower == b"keep-alive":
                self._idle_seconds = _stated_timeout(value)
        head = ResponseHead(self._status, self._reason, tuple(self._headers))
        self._sink.head_received(head)
        if self._is_head_request:
            self._is_complete = True

    def on_body(self, body: bytes) -> None:
        """Collect the body of this read."""
        if not self._is_complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the response, but not that of an interim one."""
        if self._status >= HTTPStatus.OK:
            self._is_complete = True
            # The parser knows this only until the callback returns.
            self._may_keep_open = self._parser is not None and (
                self._parser.should_keep_alive()
            )
        else:
            self._reset_message()

    def _reset_message(self) -> None:
        self._status = 0
        self._reason = b""
        self._headers = []
        self._is_head_complete = False
        self._is_complete = False
        self._is_framed = False
        self._has_extra = False
        self._may_keep_open = False
        self._body.clear()

    def _flush(self) -> None:
        if self._body and self._sink is not None:
            data = b"".join(self._body)
            self._body.clear()
            self._sink.body_received(data)

    def _complete(self) -> None:
        """Finish a whole response and keep the connection if nothing else came."""
        keep = (
            self._may_keep_open
            and self._is_framed
            and not self._is_head_request
            and not self._has_extra
        )
        if keep:
            self._idle_until = self._loop.time() + self._idle_seconds
            sink, self._sink = self._sink, None
            if sink is not None:
                sink.response_ended(ResponseEnd.COMPLETE)
            return
        self._end(ResponseEnd.COMPLETE)

    def _end(self, end: ResponseEnd) -> None:
        sink, self._sink = self._sink, None
        if self._transport is not None:
            self._transport.abort()
        if sink is not None:
            sink.response_ended(end)


def _stated_timeout(value: bytes) -> float:
    """Return how long a connection may stay idle by its Keep-Alive field."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return max(0.0, int(number) - _IDLE_MARGIN_SECONDS)
    return _DEFAULT_IDLE_SECONDS
