"""Describe the heads of HTTP messages."""

from dataclasses import dataclass

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Carry the start line and header fields as they were received."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    def first(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a field, whose name is given in lower case."""
        return _first(self.headers, lower_name)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Carry the status line and header fields as they were received."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]

    def first(self, lower_name: bytes) -> bytes | None:
        """Return the first value of a field, whose name is given in lower case."""
        return _first(self.headers, lower_name)


def _first(headers: tuple[Header, ...], lower_name: bytes) -> bytes | None:
    for name, value in headers:
        if name.lower() == lower_name:
            return value
    return None
