"""Count what is in progress."""

import asyncio


class InProgress:
    """Tell when nothing is in progress any more."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Return how much is in progress."""
        return self._count

    def begin(self) -> None:
        """Count one more."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count one less."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Return when nothing is in progress."""
        await self._idle.wait()
