"""Remove servers and hosts that did not register again in time."""

import asyncio
from collections.abc import Callable
from typing import Final, Generic, TypeVar

# Servers and hosts whose entries expired during an outage of the store, or were lost
# when it was restored, have registered again this long after its end.
REREGISTRATION_SECONDS: Final = 2.4
# The event loop's timers may fire early by up to this much.
_TIMER_TOLERANCE_SECONDS: Final = 0.005

Id = TypeVar("Id")


class DelayedRemovals(Generic[Id]):
    """Schedule removals, and suspend them while the store is unavailable.

    ``remove`` is called for each id that did not register again in time.
    """

    def __init__(
        self, remove: Callable[[Id], None], clock: Callable[[], float]
    ) -> None:
        self._remove = remove
        self._clock = clock
        self._times: dict[Id, float] = {}
        self._is_suspended = False

    def suspend(self) -> None:
        """Remove nothing until the store responds again."""
        self._is_suspended = True

    def resume(self, remove_at: float) -> None:
        """Give all that are scheduled until ``remove_at`` to register again."""
        self._is_suspended = False
        for found in list(self._times):
            del self._times[found]
            self.schedule(found, remove_at)

    def schedule(self, found: Id, remove_at: float) -> None:
        """Remove at ``remove_at`` unless it is cancelled before."""
        if found not in self._times:
            self._times[found] = remove_at
            # The next read of changes may come too late: the store is authoritative,
            # and what it no longer lists must not be used beyond this time.
            loop = asyncio.get_running_loop()
            loop.call_later(remove_at - self._clock(), self.remove_overdue)

    def cancel(self, found: Id) -> None:
        """Keep what registered again."""
        self._times.pop(found, None)

    def remove_overdue(self) -> None:
        """Remove all whose time has passed."""
        if self._is_suspended:
            # Only the store's next response can tell whether they registered again.
            return
        now = self._clock() + _TIMER_TOLERANCE_SECONDS
        overdue = [k for k, remove_at in self._times.items() if remove_at <= now]
        for found in overdue:
            del self._times[found]
            self._remove(found)
