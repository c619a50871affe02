"""Carry one request of a caller and the reply to it."""

from collections.abc import Callable, Iterable
from typing import Final, Protocol

from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.network.http1.framing import (
    LAST_CHUNK,
    chunk,
    is_bodiless,
    reason_of,
    response_head,
)

_CLOSE: Final[Header] = (b"Connection", b"close")


class ReplyChannel(Protocol):
    """Write to the caller's connection."""

    @property
    def is_closing_after_reply(self) -> bool:
        """Return whether no further request is taken on this connection."""
        ...

    def write(self, data: bytes) -> None:
        """Send bytes."""
        ...

    def reply_finished(self, *, keep_open: bool) -> None:
        """Take the next request, or close after the bytes sent."""
        ...

    def cut(self) -> None:
        """Close at once, so that an unfinished reply can't look whole."""
        ...


class CallerExchange:
    """Let a handler answer one request; only the first end of a reply counts."""

    def __init__(self, head: RequestHead, body: bytes, channel: ReplyChannel) -> None:
        self._head = head
        self._body = body
        self._channel = channel
        self._is_started = False
        self._is_finished = False
        self._is_chunked = False
        self._bytes_left = 0
        self._on_pressure: Callable[[bool], None] | None = None

    @property
    def head(self) -> RequestHead:
        """Return the request's head."""
        return self._head

    @property
    def body(self) -> bytes:
        """Return the request's whole body."""
        return self._body

    @property
    def is_started(self) -> bool:
        """Return whether the head of a reply was sent."""
        return self._is_started

    @property
    def is_finished(self) -> bool:
        """Return whether the reply has ended, whole or cut."""
        return self._is_finished

    def watch_pressure(self, on_pressure: Callable[[bool], None] | None) -> None:
        """Call back when the caller stops (true) or goes on (false) reading."""
        self._on_pressure = on_pressure

    def pressure_changed(self, *, is_full: bool) -> None:
        """Tell the handler that the caller stopped or went on reading."""
        if self._on_pressure is not None:
            self._on_pressure(is_full)

    def respond(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a whole reply."""
        if self._is_started or self._is_finished:
            return
        self.start(status, reason_of(status), headers, len(body), body)
        self.finish()

    def start(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[Header],
        length: int | None,
        first: bytes = b"",
    ) -> None:
        """Send the head and the first bytes of a reply."""
        self._is_started = True
        self._is_chunked = length is None and not is_bodiless(status)
        self._bytes_left = length or 0
        fields = list(headers)
        if self._channel.is_closing_after_reply:
            fields.append(_CLOSE)
        data = response_head(status, reason, fields, length)
        self._channel.write(data + self._framed(first))

    def write(self, data: bytes) -> None:
        """Send the next bytes of the reply's body."""
        if data and not self._is_finished:
            self._channel.write(self._framed(data))

    def finish(self) -> None:
        """End a whole reply; one that is short of its length is cut instead."""
        if self._is_finished:
            return
        if self._head.method != b"HEAD" and self._bytes_left:
            self.cut()
            return
        self._is_finished = True
        if self._is_chunked:
            self._channel.write(LAST_CHUNK)
        keep_open = not self._channel.is_closing_after_reply
        self._channel.reply_finished(keep_open=keep_open)

    def cut(self) -> None:
        """Close the connection, so that the reply doesn't look whole."""
        if not self._is_finished:
            self._is_finished = True
            self._channel.cut()

    def _framed(self, data: bytes) -> bytes:
        if not data:
            return b""
        if self._is_chunked:
            return chunk(data)
        self._bytes_left -= len(data)
        return data
