"""Notify tasks that wait for a change of a topic."""

import asyncio
from collections.abc import Hashable


class ChangeSignal:
    """Let tasks wait for the next notification of a topic, with a timeout."""

    def __init__(self) -> None:
        self._waiters: dict[Hashable, set[asyncio.Future[None]]] = {}

    async def wait(self, topic: Hashable, seconds: float) -> None:
        """Return when the topic is notified or ``seconds`` have passed."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        waiters = self._waiters.setdefault(topic, set())
        waiters.add(future)
        timer = loop.call_later(seconds, _wake, future)
        try:
            await future
        finally:
            timer.cancel()
            waiters.discard(future)
            if not waiters and self._waiters.get(topic) is waiters:
                del self._waiters[topic]

    def notify(self, topic: Hashable) -> None:
        """Wake all waiters of a topic."""
        for future in self._waiters.get(topic, ()):
            _wake(future)


def _wake(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
