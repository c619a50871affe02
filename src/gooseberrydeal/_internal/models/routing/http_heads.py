"""Define the heads of HTTP requests and responses."""

from dataclasses import dataclass, field

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the method, target and header fields of a request as received.

    ``accepts_chunks`` is false for HTTP/1.0, which has no chunked responses.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = field(repr=False)
    accepts_chunks: bool = True

    def first(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a field, whose name is given in lower case."""
        return _first(self.headers, lower_name)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the status line and header fields of a response as received."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]

    @property
    def has_framing(self) -> bool:
        """Return whether a length or chunks show where the body ends."""
        return any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self.headers
        )

    @property
    def content_length(self) -> int | None:
        """Return the stated size of the body, ``None`` without a valid one."""
        length = self.first(b"content-length")
        return int(length) if length is not None and length.isdigit() else None

    def first(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a field, whose name is given in lower case."""
        return _first(self.headers, lower_name)


def _first(headers: tuple[Header, ...], lower_name: bytes) -> bytes | None:
    for name, value in headers:
        if name.lower() == lower_name:
            return value
    return None
