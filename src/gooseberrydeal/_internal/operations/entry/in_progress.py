"""Count the requests in progress."""

import asyncio


class InProgressCounter:
    """Count the requests in progress, and wait until there are none."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return self._count

    def begin(self) -> None:
        """Count a request that has begun."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count a request that has ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()
