"""Pair a caller's request with the response that is sent to it."""

from collections.abc import Callable, Iterable
from typing import Final, Protocol

from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.network.http1.framing import (
    LAST_CHUNK,
    encode_chunk,
    encode_response_head,
    is_bodiless,
    reason_phrase,
)

_CONNECTION_CLOSE: Final[Header] = (b"Connection", b"close")


class ReplyChannel(Protocol):
    """Provide what an exchange needs of the caller's connection."""

    @property
    def is_closing_after_reply(self) -> bool:
        """Return whether the connection is closed after the current response."""
        ...

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        ...

    def reply_finished(self, *, keep_open: bool) -> None:
        """Start the next request, or close once all written bytes have been sent."""
        ...

    def abort_connection(self) -> None:
        """Close at once, so that a truncated response can't pass for a complete one."""
        ...

    def set_reset_on_close(self, *, is_enabled: bool) -> None:
        """Choose whether the connection is reset instead of closed in order."""
        ...


class CallerExchange:
    """Let a handler respond to one request.

    Once the response has ended, further calls that write or end it have no effect.
    """

    def __init__(
        self, head: RequestHead, body: bytes | bytearray, channel: ReplyChannel
    ) -> None:
        self._head = head
        self._body = body
        self._channel = channel
        self._has_body = head.method != b"HEAD"
        self._is_started = False
        self._status: int | None = None
        self._is_finished = False
        self._is_chunked = False
        self._ends_with_connection = False
        self._bytes_left = 0
        self._on_backpressure: Callable[[bool], None] | None = None
        self._is_for_peer = False
        self._peer_fields: list[Header] = []

    @property
    def head(self) -> RequestHead:
        """Return the request line and header fields."""
        return self._head

    @property
    def body(self) -> bytes | bytearray:
        """Return the request's whole body."""
        return self._body

    @property
    def is_started(self) -> bool:
        """Return whether the head of the response has been sent."""
        return self._is_started

    @property
    def status(self) -> int | None:
        """Return the status of the response, ``None`` before it was started."""
        return self._status

    @property
    def is_finished(self) -> bool:
        """Return whether the response has ended, completely or by an abort."""
        return self._is_finished

    def mark_for_peer(self, field: Header) -> None:
        """Note that another host passed the request on; add a field to the reply."""
        self._is_for_peer = True
        self._peer_fields.append(field)

    def add_peer_field(self, field: Header) -> None:
        """Add a field to the reply if another host passed the request on."""
        if self._is_for_peer:
            self._peer_fields.append(field)

    def set_backpressure_callback(
        self, on_backpressure: Callable[[bool], None] | None
    ) -> None:
        """Set the function to call when backpressure begins or ends.

        It is called with ``True`` when the caller reads too slowly, and with ``False``
        when it has caught up.
        """
        self._on_backpressure = on_backpressure

    def backpressure_changed(self, *, is_full: bool) -> None:
        """Notify the handler that backpressure began or ended."""
        if self._on_backpressure is not None:
            self._on_backpressure(is_full)

    def respond(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a complete response, unless one has been started."""
        if self._is_started or self._is_finished:
            return
        self.start(status, reason_phrase(status), headers, len(body), body)
        self.finish()

    def start(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[Header],
        length: int | None,
        first_bytes: bytes = b"",
    ) -> None:
        """Send the head and the first body bytes of a response.

        ``length`` is the size of the whole body, ``None`` if it is not known. Such a
        body is sent chunked, or ends with the connection if the caller accepts no
        chunks.
        """
        self._is_started = True
        self._status = status
        has_no_length = length is None and not is_bodiless(status)
        self._is_chunked = has_no_length and self._head.accepts_chunks
        self._ends_with_connection = has_no_length and not self._is_chunked
        self._bytes_left = length or 0
        if self._ends_with_connection:
            # Only an orderly close may pass for the end of the response.
            self._channel.set_reset_on_close(is_enabled=True)
        fields = [*headers, *self._peer_fields]
        if self._channel.is_closing_after_reply:
            fields.append(_CONNECTION_CLOSE)
        data = encode_response_head(
            status, reason, fields, length, is_chunked=self._is_chunked
        )
        self._channel.write(data + self._encode_body(first_bytes))

    def write(self, data: bytes) -> None:
        """Send the next bytes of the response body."""
        if data and not self._is_finished:
            self._channel.write(self._encode_body(data))

    def finish(self) -> None:
        """End the response; abort it if its body is shorter than announced."""
        if self._is_finished:
            return
        if self._has_body and self._bytes_left:
            self.abort_connection()
            return
        self._is_finished = True
        if self._is_chunked and self._has_body:
            self._channel.write(LAST_CHUNK)
        if self._ends_with_connection:
            self._channel.set_reset_on_close(is_enabled=False)
        keep_open = not self._channel.is_closing_after_reply
        self._channel.reply_finished(keep_open=keep_open)

    def abort_connection(self) -> None:
        """Abort an unfinished response by closing the connection at once."""
        if not self._is_finished:
            self._is_finished = True
            self._channel.abort_connection()

    def _encode_body(self, data: bytes) -> bytes:
        if not data or not self._has_body:
            return b""
        if self._is_chunked:
            return encode_chunk(data)
        if not self._ends_with_connection:
            self._bytes_left -= len(data)
        return data
