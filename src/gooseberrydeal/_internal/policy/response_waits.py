"""Predict how long a request waits at a server for its response."""

import math
from typing import Final

# Half-life of the last wait that was observed, since queues empty and fill in seconds.
_HALF_LIFE_SECONDS: Final = 1.0


class ResponseWaits:
    """Keep the requests that wait at one server, and the last wait that ended.

    A request that has been waiting for some time shows that a later one waits about as
    long, even though no response has come.
    """

    def __init__(self) -> None:
        self._waiting_since: dict[int, float] = {}
        self._count = 0
        self._last_wait = 0.0
        self._last_at = -math.inf

    def begin(self, now: float) -> int:
        """Add a request that is sent; return its number."""
        self._count += 1
        self._waiting_since[self._count] = now
        return self._count

    def end(self, number: int, now: float, *, has_begun: bool) -> None:
        """Remove a request; ``has_begun`` tells whether the server began to run it.

        One that did not begin would have waited longer.
        """
        since = self._waiting_since.pop(number, None)
        if since is not None and (has_begun or now - since > self._recent_wait(now)):
            self._last_wait, self._last_at = now - since, now

    def predicted_seconds(self, now: float) -> float:
        """Return the wait of a request that is sent now."""
        oldest = next(iter(self._waiting_since.values()), now)
        return max(now - oldest, self._recent_wait(now))

    def _recent_wait(self, now: float) -> float:
        """Return the last wait, less the longer ago it ended."""
        weight: float = 0.5 ** ((now - self._last_at) / _HALF_LIFE_SECONDS)
        return self._last_wait * weight
