"""Parse the requests that arrive on a caller's connection, within limits."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import httptools

from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from gooseberrydeal._internal.network.http1.framing import (
    expects_continue,
    framing_allowance,
)

# The bytes of a field line besides name and value: a colon, a space and CRLF.
_FIELD_OVERHEAD_BYTES: Final = 4
# What Python needs for a field besides its text: a tuple and two objects of bytes.
_FIELD_OBJECT_BYTES: Final = 130
# A copy without the spare room of a growing buffer costs nothing up to this size.
_MAX_COPIED_BYTES: Final = 65_536
# This version has neither chunked nor interim responses.
_OLD_HTTP_VERSION: Final = "1.0"


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Hold a whole request; ``held_bytes`` is the memory that its head takes."""

    head: RequestHead
    body: bytes | bytearray
    head_bytes: int

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request takes, in bytes."""
        return self.head_bytes + len(self.body)


@dataclass(frozen=True, slots=True)
class Rejection:
    """Hold the status and the reason of the response to a request that is not run."""

    status: HTTPStatus
    reason: str


class RequestParser:
    """Parse requests strictly; stop at the first that is malformed or too large."""

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_begin: Callable[[], None],
        on_head: Callable[[], None],
        on_request: Callable[[ReceivedRequest], None],
    ) -> None:
        self._limits = limits
        self._on_begin = on_begin
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._rejection: Rejection | None = None
        self._must_close = False
        self._begun_requests = 0
        self._is_receiving = False
        self._declared_bytes: int | None = None
        # Fragments are merged, since each takes over 30 bytes as an object.
        self._body = bytearray()
        self._reset()

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has begun to arrive and is not complete."""
        return self._is_receiving

    @property
    def is_in_body(self) -> bool:
        """Return whether the head of the request is complete, but not the body."""
        return self._is_receiving and self._is_head_complete

    @property
    def must_close(self) -> bool:
        """Return whether no request may follow on the connection."""
        return self._must_close

    @property
    def body_bytes(self) -> int:
        """Return how many bytes of an unfinished body are held."""
        return len(self._body)

    @property
    def expected_body_bytes(self) -> int:
        """Return the declared size of the body, else the largest that is allowed."""
        if self._declared_bytes is not None:
            return self._declared_bytes
        return self._limits().body_bytes

    @property
    def declared_left(self) -> int:
        """Return how many bytes belong to the current body for certain."""
        if not self.is_in_body or self._declared_bytes is None:
            return 0
        return max(0, self._declared_bytes - self._body_bytes)

    @property
    def head_bytes(self) -> int:
        """Return the memory that the current head takes, in bytes."""
        if not self._is_receiving:
            return 0
        objects = _FIELD_OBJECT_BYTES * len(self._headers)
        return max(self._received_head_bytes, self._parsed_head_bytes) + objects

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for an interim response before its body."""
        is_new = self._parser.get_http_version() != _OLD_HTTP_VERSION
        return is_new and expects_continue(self._headers)

    def feed(self, data: memoryview) -> Rejection | None:
        """Parse bytes; return why the current request is not accepted, if it isn't."""
        was_in_body, begun_before = self.is_in_body, self._begun_requests
        body_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._must_close = True
        except httptools.HttpParserError as error:
            reason = f"the request is malformed: {error}"
            return self._rejection or Rejection(HTTPStatus.BAD_REQUEST, reason)
        if self._is_receiving and not self._is_head_complete:
            self._received_head_bytes += len(data)
            self._check_head_size(self._received_head_bytes)
        elif was_in_body and self._begun_requests == begun_before:
            self._framing_bytes += len(data) - (self._body_bytes - body_before)
            self._check_framing()
        return self._rejection

    def drop(self) -> None:
        """Release the memory of the request that is being received."""
        self._is_receiving = False
        self._reset()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset()
        self._is_receiving = True
        self._begun_requests += 1
        self._on_begin()

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
            self._declared_bytes = int(value)
            self._check_body_size(self._declared_bytes)
        self._headers.append((name, value))
        self._stop_if_rejected()

    def on_headers_complete(self) -> None:
        """Note that the body follows."""
        self._is_head_complete = True
        self._on_head()

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body, unless the body is too large with it."""
        self._body_bytes += len(body)
        self._check_body_size(self._body_bytes)
        self._stop_if_rejected()
        self._body += body

    def on_message_complete(self) -> None:
        """Pass on a whole request."""
        head_bytes = self.head_bytes
        self._is_receiving = False
        accepts_chunks = self._parser.get_http_version() != _OLD_HTTP_VERSION
        if not accepts_chunks or not self._parser.should_keep_alive():
            self._must_close = True
        head = RequestHead(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            accepts_chunks,
        )
        whole = self._body
        self._body = bytearray()
        body = bytes(whole) if len(whole) <= _MAX_COPIED_BYTES else whole
        self._on_request(ReceivedRequest(head, body, head_bytes))

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._is_head_complete = False
        self._body = bytearray()
        self._body_bytes = 0
        self._framing_bytes = 0
        self._declared_bytes = None

    def _stop_if_rejected(self) -> None:
        if self._rejection is not None:
            raise ValueError(self._rejection.reason)

    def _check_head_size(self, length: int) -> None:
        if length > self._limits().header_bytes:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._reject(status, "the header fields are too large")

    def _check_body_size(self, length: int) -> None:
        if length > self._limits().body_bytes:
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            self._reject(status, "the request body is too large")

    def _check_framing(self) -> None:
        if self._framing_bytes > framing_allowance(self._body_bytes):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._reject(status, "the chunk extensions or trailer fields are too large")

    def _reject(self, status: HTTPStatus, reason: str) -> None:
        if self._rejection is None:
            self._rejection = Rejection(status, reason)
