"""Write the framing of HTTP/1.1 messages."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.routing.http_heads import Header

# RFC 9110 section 7.6.1: fields that concern one connection only.
_CONNECTION_FIELDS: Final = frozenset(
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


def end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the fields that a relay passes on."""
    fields = list(headers)
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = _CONNECTION_FIELDS | named if named else _CONNECTION_FIELDS
    return [(name, value) for name, value in fields if name.lower() not in dropped]


def request_bytes(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Return a whole request with its length."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def response_head(
    status: int, reason: bytes, headers: Iterable[Header], length: int | None
) -> bytes:
    """Return the head of a response; without a length its body is chunked."""
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif not is_bodiless(status):
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def is_bodiless(status: int) -> bool:
    """Return whether responses of a status never have a body."""
    return status < HTTPStatus.OK or status in (
        HTTPStatus.NO_CONTENT,
        HTTPStatus.NOT_MODIFIED,
    )


def reason_of(status: int) -> bytes:
    """Return the usual reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
