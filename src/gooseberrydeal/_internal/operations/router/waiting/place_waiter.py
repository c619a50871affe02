"""Hold the requests for a place that one request has made."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceOutcome,
    PlaceRequest,
)


@dataclass(slots=True)
class PlaceAsk:
    """Hold one request to a place keeper, and its last answer."""

    message: PlaceRequest
    keeper: HostId
    answer: PlaceGrant | None = None

    @property
    def server(self) -> ServerId:
        """Return the server at which a place is asked for."""
        return self.message.server

    def has(self, outcome: PlaceOutcome) -> bool:
        """Return whether the last answer is this."""
        return self.answer is not None and self.answer.outcome is outcome

    def waits_at_most(self, seconds: float) -> bool:
        """Return whether the keeper expects a place to be free that soon."""
        answer = self.answer
        return (
            answer is not None
            and answer.outcome is PlaceOutcome.WAITS
            and answer.seconds <= seconds
        )


@dataclass(slots=True)
class PlaceWaiter:
    """Wait for the answers to the requests that were made for the same place."""

    asks: list[PlaceAsk] = field(default_factory=list)
    held: PlaceAsk | None = None
    _answered: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def granted(self) -> PlaceAsk | None:
        """Return the first request that was granted, ``None`` if none was."""
        found = [ask for ask in self.asks if ask.has(PlaceOutcome.GRANTED)]
        return found[0] if found else None

    @property
    def waiting(self) -> list[PlaceAsk]:
        """Return the requests that wait at their keepers."""
        return [ask for ask in self.asks if ask.has(PlaceOutcome.WAITS)]

    @property
    def retry_after(self) -> float:
        """Return the shortest time, in seconds, that a keeper has named."""
        return min(_seconds(self.asks), default=0.0)

    def note_answer(self, ask: PlaceAsk, answer: PlaceGrant) -> None:
        """Record the answer to a request."""
        ask.answer = answer
        self._answered.set()

    async def wait_for_answer(self, ask: PlaceAsk, seconds: float) -> bool:
        """Return whether a request is answered, or a place granted, in time."""
        return await self._wait(seconds, lambda: ask.answer is not None)

    async def wait_for_change(self, seconds: float) -> bool:
        """Return whether a place is granted, or no request waits, in time."""
        return await self._wait(seconds, lambda: not self.waiting)

    async def _wait(self, seconds: float, is_over: Callable[[], bool]) -> bool:
        try:
            async with asyncio.timeout(seconds):
                while self.granted is None and not is_over():
                    self._answered.clear()
                    await self._answered.wait()
        except TimeoutError:
            return False
        return True


def _seconds(asks: Iterable[PlaceAsk]) -> Iterable[float]:
    return (ask.answer.seconds for ask in asks if ask.answer is not None)
