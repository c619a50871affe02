"""Tell since when the process of a server has been running."""

import math
from typing import Final

# A process that ends does not accept connections again sooner than this.
_MIN_RESTART_SECONDS: Final = 0.1


class ServerProcess:
    """Follow the process that listens at an address by the connections to it.

    Only one process listens at an address at a time, and it takes a while to start. So
    two connections lead to the same process if one of them was in use after the other
    was opened, or just before. Times are on the loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self._running_since = math.inf
        self._alive_at = -math.inf
        self._reset_at = -math.inf

    @property
    def heard_at(self) -> float:
        """Return when something was last received, minus infinity if nothing was."""
        return self._alive_at

    def note_alive(self, opened_at: float, running_since: float, now: float) -> float:
        """Record that something was received on a connection, or that it ended.

        The connection was opened at ``opened_at``, and led to a process that ran at
        ``running_since``. Returns since when that process is known to run.
        """
        if opened_at < self._reset_at:
            return math.inf
        since = min(running_since, self.running_since(opened_at))
        self._running_since = since
        self._alive_at = now
        return since

    def running_since(self, opened_at: float) -> float:
        """Return since when the process at the end of a connection is known to run.

        It is not known, which is infinity, of connections opened before the reset.
        """
        if opened_at < self._reset_at:
            return math.inf
        if opened_at > self._alive_at + _MIN_RESTART_SECONDS:
            return opened_at
        return min(opened_at, self._running_since)

    def reset(self, now: float) -> None:
        """Forget the process, since another one is known to have started."""
        self._running_since = math.inf
        self._alive_at = -math.inf
        self._reset_at = now
