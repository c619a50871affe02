"""Track the health of a backend server from its responses to requests.

The server's own health endpoint is not considered.
"""

from typing import Final

# Weight of the newest outcome in the moving average of failures.
_NEWEST_WEIGHT: Final = 0.12
# Half-life of the failure rate without new outcomes, so that a server that was avoided
# for its failures is tried again.
_HALF_LIFE_SECONDS: Final = 3.0


class ServerHealth:
    """Track whether a server is reachable, and its rate of failed responses."""

    def __init__(self) -> None:
        self._is_unreachable = False
        self._failure_rate = 0.0
        self._updated_at = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the server is to be avoided until a connection succeeds."""
        return self._is_unreachable

    def failure_rate(self, now: float) -> float:
        """Return the recent fraction of failed responses, between 0 and 1."""
        age = max(0.0, now - self._updated_at)
        return float(self._failure_rate * 0.5 ** (age / _HALF_LIFE_SECONDS))

    def note_success(self, now: float) -> None:
        """Record a complete response."""
        self._is_unreachable = False
        self._add_outcome(now, 0.0)

    def note_failure(self, now: float) -> None:
        """Record a failed or truncated response."""
        self._add_outcome(now, 1.0)

    def note_unreachable(self) -> None:
        """Record that a connection failed or was lost."""
        self._is_unreachable = True

    def note_reachable(self) -> None:
        """Record that a connection succeeded."""
        self._is_unreachable = False

    def _add_outcome(self, now: float, failed: float) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + _NEWEST_WEIGHT * (failed - rate)
        self._updated_at = now
