"""Follow the limit on requests that a server states in its responses."""

from typing import Final

# A limit is forgotten if no response confirmed it for this long, since a server that
# gets no requests cannot say that it has ended.
_RETENTION_SECONDS: Final = 60.0


class StatedLimit:
    """Hold the newest limit of one server, in requests per second over all hosts."""

    def __init__(self) -> None:
        self._requests_per_second: float | None = None
        self._stated_at = float("-inf")

    @property
    def stated_at(self) -> float:
        """Return when the server last stated or lifted the limit."""
        return self._stated_at

    def is_forgotten(self, now: float) -> bool:
        """Return whether nothing confirmed the last statement for a long time."""
        return now - self._stated_at > _RETENTION_SECONDS

    def current(self, now: float) -> float | None:
        """Return the limit in force, ``None`` if there is none."""
        return None if self.is_forgotten(now) else self._requests_per_second

    def observe(
        self, requests_per_second: float | None, sent_at: float, now: float
    ) -> bool:
        """Apply a response to a request sent at ``sent_at``; return if it is a change.

        A response without a limit lifts one that was stated before the request was
        sent. Later ones may have overtaken it.
        """
        if requests_per_second is None and (
            self.current(now) is None or sent_at <= self._stated_at
        ):
            return False
        return self.merge(requests_per_second, now, now)

    def merge(
        self, requests_per_second: float | None, stated_at: float, now: float
    ) -> bool:
        """Apply what another host was told; return whether it changes the limit."""
        if stated_at <= self._stated_at:
            return False
        before = self.current(now)
        self._requests_per_second = requests_per_second
        self._stated_at = stated_at
        return self.current(now) != before
