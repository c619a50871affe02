"""Encode HTTP/1.1 message heads and chunks."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.network.http1.peer_fields import PEER_FIELDS

# Fields that apply to one connection only and are not forwarded (RFC 9110, section
# 7.6.1). Content-Length is written anew, and the router itself handles Expect.
_HOP_BY_HOP_FIELDS: Final = PEER_FIELDS | frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
LAST_CHUNK: Final = b"0\r\n\r\n"
_STATUS_END: Final = 600
# Chunk sizes, chunk extensions and trailers, beyond what short chunks need.
_MAX_FRAMING_BYTES: Final = 16_384
# A chunk of one byte has five bytes of framing.
_FRAMING_PER_BODY_BYTE: Final = 8


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the fields to forward, without the hop-by-hop ones.

    Fields that are listed in a Connection field are hop-by-hop, too.
    """
    fields = list(headers)
    listed: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    hop_by_hop = _HOP_BY_HOP_FIELDS | listed if listed else _HOP_BY_HOP_FIELDS
    return [(name, value) for name, value in fields if name.lower() not in hop_by_hop]


def expects_continue(headers: Iterable[Header]) -> bool:
    """Return whether the caller waits for an interim response before its body."""
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in headers
    )


def encode_request_head(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes | bytearray
) -> bytes:
    """Return a request without its body; it has a Content-Length if it needs one."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(
    status: int,
    reason: bytes,
    headers: Iterable[Header],
    length: int | None,
    *,
    is_chunked: bool = False,
) -> bytes:
    """Return an encoded response head.

    Without a ``length`` and chunks, the body ends with the connection.
    """
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    if is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif length is not None and not is_bodiless(status):
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_error(
    status: HTTPStatus, reason: str, fields: Iterable[Header] = ()
) -> bytes:
    """Return a whole response with the reason as its body, the last on a connection."""
    headers = [(b"Content-Type", b"text/plain"), (b"Connection", b"close"), *fields]
    body = reason.encode() + b"\n"
    phrase = status.phrase.encode()
    return encode_response_head(status, phrase, headers, len(body)) + body


def encode_chunk(data: bytes) -> bytes:
    """Return data encoded as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def framing_allowance(body_bytes: int) -> int:
    """Return how many bytes of framing a chunked body of that size may have."""
    return _MAX_FRAMING_BYTES + _FRAMING_PER_BODY_BYTE * body_bytes


def is_status(number: int) -> bool:
    """Return whether a number is a status code of HTTP."""
    return HTTPStatus.CONTINUE <= number < _STATUS_END


def is_bodiless(status: int) -> bool:
    """Return whether responses with this status never have a body."""
    return status < HTTPStatus.OK or status in (
        HTTPStatus.NO_CONTENT,
        HTTPStatus.NOT_MODIFIED,
    )


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
