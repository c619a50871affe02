"""Describe what one connection costs its host."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """Hold the bytes that are held for a connection, and how it progresses.

    ``long_bytes`` are reserved for a long body. ``is_receiving`` means that a request
    arrives and none is served, so that it can be refused. Times are in seconds:
    ``stalled`` since the request last grew by a substantial part, ``unread`` since the
    client last took a part of its response, zero if it has taken all.
    """

    other_bytes: int = 0
    long_bytes: int = 0
    is_receiving: bool = False
    stalled: float = 0.0
    unread: float = 0.0

    @property
    def total_bytes(self) -> int:
        """Return all bytes that are held for the connection."""
        return self.other_bytes + self.long_bytes
