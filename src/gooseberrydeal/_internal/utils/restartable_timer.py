"""Call a function later, unless the timer is started again or cancelled before."""

import asyncio
from collections.abc import Callable


class RestartableTimer:
    """Hold at most one scheduled call on the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float, callback: Callable[[], object]) -> None:
        """Schedule a call in place of the one that is scheduled."""
        self.cancel()
        self._handle = self._loop.call_later(seconds, callback)

    def cancel(self) -> None:
        """Cancel the scheduled call, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
