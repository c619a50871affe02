"""Send requests to a backend server and parse its responses on one connection."""

import asyncio
import logging
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import httptools

from gooseberrydeal._internal.models.routing.http_heads import Header, ResponseHead
from gooseberrydeal._internal.network.http1.framing import is_bodiless, is_status
from gooseberrydeal._internal.network.http1.keep_alive import (
    DEFAULT_IDLE_TIMEOUT_SECONDS,
    parse_idle_timeout,
)
from gooseberrydeal._internal.network.http1.response_budget import ResponseBudget
from gooseberrydeal._internal.network.http1.response_sink import (
    ResponseEnd,
    ResponseSink,
)
from gooseberrydeal._internal.network.http1.server_process import ServerProcess
from gooseberrydeal._internal.network.http1.server_protocol import ServerProtocol
from gooseberrydeal._internal.network.http1.socket_options import (
    enable_dead_peer_detection,
)

logger = logging.getLogger(__name__)

# The limits of a response's head are checked after each piece of this size.
_HEAD_PIECE_BYTES: Final = 4_096


class ServerConnection(ServerProtocol):
    """Send one request at a time; close on any bytes that are not its response.

    The connection is reused only if no bytes followed the end of the response, since
    those could be mistaken for the response to the next request. ``on_unsolicited`` is
    called when bytes arrive while no request waits for a response. ``process`` is told
    when the server shows that it runs.
    """

    def __init__(
        self, on_unsolicited: Callable[[], None], process: ServerProcess
    ) -> None:
        super().__init__()
        self._on_unsolicited = on_unsolicited
        self._process = process
        self._loop = asyncio.get_running_loop()
        self._parser: httptools.HttpResponseParser | None = None
        self._sink: ResponseSink | None = None
        self._is_head_request = False
        self._status = 0
        self._reason = b""
        self._headers: list[Header] = []
        self._is_head_complete = False
        self._is_response_complete = False
        self._is_self_delimited = False
        self._has_unexpected_data = False
        self._allows_keep_alive = False
        self._has_received_eof = False
        self._body: list[bytes] = []
        self._invalid_status: str | None = None
        self._budget = ResponseBudget()
        self._idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS
        self._idle_deadline = 0.0
        self._opened_at = 0.0
        self._running_since = math.inf
        self._was_paused = False

    @property
    def running_since(self) -> float:
        """Return since when the server's process is known to run.

        The time is on the loop's clock, in seconds. It is infinity if the process may
        have ended, since the server has registered after another start.
        """
        latest = self._process.running_since(self._opened_at)
        return latest if latest == math.inf else min(latest, self._running_since)

    def is_reusable(self) -> bool:
        """Return whether another request may be sent now."""
        is_idle = self.is_open and self._sink is None
        return is_idle and self._loop.time() < self._idle_deadline

    def send(
        self,
        head: bytes,
        sink: ResponseSink,
        *,
        is_head_request: bool,
        body: bytes | bytearray = b"",
    ) -> None:
        """Send a request with an encoded head and pass its response to the sink."""
        assert self._transport is not None
        self._sink = sink
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)
        self._budget = ResponseBudget()
        self._invalid_status = None
        self._reset_message()
        self._writer.write(self._transport, head, body)

    def pause(self) -> None:
        """Pause reading, which makes the server wait while the caller reads slowly."""
        if self.is_open and self._transport is not None:
            self._transport.pause_reading()
            self._was_paused = True

    def resume(self) -> None:
        """Resume reading."""
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once; the sink is not notified."""
        self._sink = None
        self._writer.drop()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle time of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._opened_at = self._loop.time()
        self._running_since = self._process.running_since(self._opened_at)
        self._idle_deadline = self._opened_at + self._idle_timeout
        enable_dead_peer_detection(transport)

    def bytes_received(self, data: memoryview) -> None:
        """Parse received bytes and pass the response on to the sink."""
        self._note_alive()
        sink = self._sink
        if sink is None or self._parser is None:
            logger.info("closing a connection: server sent bytes without a request")
            self.abort()
            self._on_unsolicited()
            return
        problem = self._feed(self._parser, data)
        if problem is not None:
            logger.info(
                "closing a connection: server sent an invalid response: %s", problem
            )
            self._end(ResponseEnd.INVALID)
            return
        self._flush_body()
        if self._is_response_complete and self._sink is sink:
            self._complete()

    def eof_received(self) -> bool:
        """Note that the server closed its side cleanly, not by a reset."""
        self._has_received_eof = True
        self._note_alive()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response, which is whole only if it is delimited by the close."""
        if isinstance(exc, ConnectionResetError):
            self._note_alive()
        if self._sink is None:
            return
        is_delimited_by_close = (
            exc is None
            and self._has_received_eof
            and self._is_head_complete
            and not self._is_self_delimited
        )
        self._end(ResponseEnd.CLOSED if is_delimited_by_close else ResponseEnd.LOST)

    def on_message_begin(self) -> None:
        """Reset the state for a message; none may follow the final response."""
        if self._is_response_complete:
            self._has_unexpected_data = True
        else:
            self._reset_message()

    def on_status(self, status: bytes) -> None:
        """Append a fragment of the reason phrase."""
        if not self._is_response_complete:
            self._budget.count_reason(len(status))
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are only counted."""
        self._budget.count_field()
        if not self._is_response_complete and not self._is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head of the final response to the sink."""
        if self._is_response_complete or self._parser is None or self._sink is None:
            return
        self._status = self._parser.get_status_code()
        if not is_status(self._status):
            self._invalid_status = f"its status is {self._status:03d}"
        if self._invalid_status or self._status < HTTPStatus.OK:
            return
        self._is_head_complete = True
        self._budget.complete_head()
        self._is_self_delimited = self._is_head_request or is_bodiless(self._status)
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                self._is_self_delimited = True
            elif lower == b"keep-alive":
                self._idle_timeout = parse_idle_timeout(value)
        head = ResponseHead(self._status, self._reason, tuple(self._headers))
        self._sink.head_received(head)
        if self._is_head_request:
            self._is_response_complete = True

    def on_body(self, body: bytes) -> None:
        """Collect the body bytes of the current read."""
        if not self._is_response_complete:
            self._budget.count_body(len(body))
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the final response; interim (1xx) responses are skipped."""
        if self._invalid_status is None and self._status >= HTTPStatus.OK:
            self._is_response_complete = True
            # The parser's answer is valid only within this callback.
            self._allows_keep_alive = self._parser is not None and (
                self._parser.should_keep_alive()
            )
        else:
            self._budget.count_interim()
            self._reset_message()

    def _feed(
        self, parser: httptools.HttpResponseParser, data: memoryview
    ) -> str | None:
        """Parse bytes; return what is wrong with the response, if anything is."""
        start = 0
        while start < len(data) and not self._is_response_complete:
            end = len(data)
            if not self._is_head_complete:
                end = min(end, start + _HEAD_PIECE_BYTES)
            try:
                parser.feed_data(data[start:end])
            except httptools.HttpParserError as error:
                if not self._is_response_complete:
                    return str(error)
                self._has_unexpected_data = True
            self._budget.count_received(end - start)
            start = end
            problem = self._invalid_status or self._budget.excess()
            if problem is not None and not self._is_response_complete:
                return problem
        if start < len(data):
            self._has_unexpected_data = True
        return None

    def _note_alive(self) -> None:
        """Tell the process that it runs, unless what was received may be old."""
        if not self._was_paused:
            self._running_since = self._process.note_alive(
                self._opened_at, self._running_since, self._loop.time()
            )

    def _reset_message(self) -> None:
        self._status = 0
        self._reason = b""
        self._headers = []
        self._is_head_complete = False
        self._is_response_complete = False
        self._is_self_delimited = False
        self._has_unexpected_data = False
        self._allows_keep_alive = False
        self._body.clear()

    def _flush_body(self) -> None:
        if self._body and self._sink is not None:
            data = b"".join(self._body)
            self._body.clear()
            self._sink.body_received(data)

    def _complete(self) -> None:
        """End a complete response; close the connection unless it can be reused."""
        keeps_open = (
            self._allows_keep_alive
            and self._is_self_delimited
            and not self._is_head_request
            and not self._has_unexpected_data
            and self._writer.is_done
        )
        if keeps_open:
            self._idle_deadline = self._loop.time() + self._idle_timeout
        end = ResponseEnd.EXCESS if self._has_unexpected_data else ResponseEnd.COMPLETE
        self._end(end, keeps_open=keeps_open)

    def _end(self, end: ResponseEnd, *, keeps_open: bool = False) -> None:
        sink, self._sink = self._sink, None
        self._writer.drop()
        if self._transport is not None and not keeps_open:
            self._transport.abort()
        if sink is not None:
            sink.response_ended(end)
