"""Describe a line of a host's log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """Hold what a trace needs of a line; ``time`` is in seconds since 1970."""

    time: float
    host: str
    message: str
    request_id: str | None = None
    server: str | None = None
    reason: str | None = None

    def __str__(self) -> str:
        """Return the line for people."""
        about = self.request_id or self.server or "-"
        where = f" at {self.server}" if self.request_id and self.server else ""
        why = f" ({self.reason})" if self.reason else ""
        return f"{self.time:.3f} {self.host} {about}: {self.message}{where}{why}"
