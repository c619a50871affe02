"""Notify tasks that wait for a change of a topic."""

import asyncio
from collections.abc import Hashable, Sequence


class ChangeSignal:
    """Let tasks wait for the next notification of a topic, with a timeout."""

    def __init__(self) -> None:
        self._waiters: dict[Hashable, set[asyncio.Future[None]]] = {}

    async def wait(self, topic: Hashable, seconds: float) -> None:
        """Return when the topic is notified or ``seconds`` have passed."""
        await self.wait_for_any((topic,), seconds)

    async def wait_for_any(self, topics: Sequence[Hashable], seconds: float) -> None:
        """Return when one of the topics is notified or ``seconds`` have passed."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        for topic in topics:
            self._waiters.setdefault(topic, set()).add(future)
        timer = loop.call_later(seconds, _wake, future)
        try:
            await future
        finally:
            timer.cancel()
            for topic in topics:
                self._remove(topic, future)

    def _remove(self, topic: Hashable, future: asyncio.Future[None]) -> None:
        waiters = self._waiters[topic]
        waiters.discard(future)
        if not waiters:
            del self._waiters[topic]

    def notify(self, topic: Hashable) -> None:
        """Wake all waiters of a topic."""
        for future in self._waiters.get(topic, ()):
            _wake(future)


def _wake(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
