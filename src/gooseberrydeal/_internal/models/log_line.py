"""Define a parsed log line of a host."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """Hold the fields of a log line that a trace shows; ``time`` is the Unix time."""

    time: float
    host: str
    message: str
    request_id: str | None = None
    server: str | None = None
    reason: str | None = None

    def __str__(self) -> str:
        """Return the line in human-readable form."""
        subject = self.request_id or self.server or "-"
        place = f" at {self.server}" if self.request_id and self.server else ""
        cause = f" ({self.reason})" if self.reason else ""
        return f"{self.time:.3f} {self.host} {subject}: {self.message}{place}{cause}"
