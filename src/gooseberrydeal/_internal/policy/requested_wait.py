"""Follow how long a server asked this host to send it nothing."""

import math
from typing import Final

# After the wait one request is sent; others follow once it was answered, or after this.
_TRIAL_SECONDS: Final = 0.5


class RequestedWait:
    """Hold requests back until the end of a wait, then let one through first.

    Answers a server that turned requests of many hosts away: at the end of the wait it
    gets one request from each host rather than all that were held back. A later answer
    can extend a wait but not shorten it, since what the earlier one asked for stands.
    """

    def __init__(self) -> None:
        self._until = -math.inf
        self._trial_until: float | None = None
        self._is_over = True

    @property
    def is_over(self) -> bool:
        """Return whether the server has answered a request since the wait."""
        return self._is_over

    def ask(self, seconds: float, now: float) -> None:
        """Apply an answer by which the server wants nothing for ``seconds``."""
        self._until = max(self._until, now + seconds)
        self._trial_until = None
        self._is_over = False

    def answered(self, now: float) -> None:
        """End the wait if the answer may be that to the request after it."""
        if now >= self._until and self._trial_until is not None:
            self._is_over = True

    def begin(self, now: float) -> None:
        """Count a request that is sent."""
        if not self._is_over and now >= self._until:
            if self._trial_until is not None and now >= self._trial_until:
                self._is_over = True
            self._trial_until = now + _TRIAL_SECONDS

    def seconds_left(self, now: float) -> float:
        """Return in how many seconds a request may be sent, 0 if it may be now."""
        if self._is_over:
            return 0.0
        if now < self._until:
            return self._until - now
        if self._trial_until is None:
            return 0.0
        return max(0.0, self._trial_until - now)
