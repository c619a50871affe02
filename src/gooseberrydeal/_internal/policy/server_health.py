"""Judge a backend server by how it behaves, not by its health answers."""

from typing import Final

# Weight of the newest outcome in the moving rate of failures.
_NEWEST_WEIGHT: Final = 0.12
# The rate of a server that is no longer used halves in this time, so that it is tried.
_FORGET_SECONDS: Final = 3.0


class ServerHealth:
    """Track whether a server is reached, and its failed answers."""

    def __init__(self) -> None:
        self._is_unreachable = False
        self._failure_rate = 0.0
        self._noted_at = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the server is avoided until a connection can be made."""
        return self._is_unreachable

    def failure_rate(self, now: float) -> float:
        """Return the recent share of failed answers, between 0 and 1."""
        age = max(0.0, now - self._noted_at)
        return float(self._failure_rate * 0.5 ** (age / _FORGET_SECONDS))

    def note_answer(self, now: float) -> None:
        """Note a whole answer."""
        self._is_unreachable = False
        self._note(now, 0.0)

    def note_failure(self, now: float) -> None:
        """Note a failed or broken answer."""
        self._note(now, 1.0)

    def note_unreachable(self) -> None:
        """Note that no connection could be made, or that one was lost."""
        self._is_unreachable = True

    def note_reachable(self) -> None:
        """Note that a connection could be made."""
        self._is_unreachable = False

    def _note(self, now: float, failed: float) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + _NEWEST_WEIGHT * (failed - rate)
        self._noted_at = now
