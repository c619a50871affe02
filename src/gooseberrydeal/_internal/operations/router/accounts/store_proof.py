"""Keep the proof of what the metadata store held, and read again when it is due."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.policy.accounts.freshness import Freshness

# The store is read again once the proof has used up this fraction of its lifetime,
# which leaves time for a call that fails and another one.
_DUE_FRACTION: Final = 0.5
# Shortest pause between two reads, however many requests need a proof.
_MIN_PAUSE_SECONDS: Final = 0.1
# The same while reads are no proof, as after a call that failed: a restored store takes
# some seconds until it is settled, and all hosts read it.
_UNCONFIRMED_PAUSE_SECONDS: Final = 0.3


class StoreProof:
    """Hold the proof of freshness on a clock that counts suspended time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._freshness = Freshness()
        self._lifetime = math.inf
        self._min_pause = _MIN_PAUSE_SECONDS
        self._wake = asyncio.Event()

    @property
    def age(self) -> float:
        """Return how many seconds ago the last call began that read all changes."""
        return self._freshness.age(self._clock())

    def now(self) -> float:
        """Return the time, to be given to ``read_ended`` after a call."""
        return self._clock()

    def set_lifetime(self, seconds: float | None) -> None:
        """Set how old a proof may become, ``None`` if that does not matter."""
        self._lifetime = math.inf if seconds is None else seconds

    def read_ended(self, began_at: float, revision: int, *, is_confirmed: bool) -> None:
        """Take account of a call that read all changes and began at ``began_at``."""
        is_proof = self._freshness.read_ended(
            began_at, revision, is_confirmed=is_confirmed
        )
        self._min_pause = _MIN_PAUSE_SECONDS if is_proof else _UNCONFIRMED_PAUSE_SECONDS

    def read_soon(self) -> None:
        """End the pause before the next read."""
        self._wake.set()

    async def pause(self, seconds: float) -> None:
        """Wait until the next paced read, or until the proof needs one before."""
        due = self._lifetime * _DUE_FRACTION - self.age
        if math.isinf(self._lifetime):
            due = seconds
        self._wake.clear()
        shortest = min(seconds, self._min_pause)
        if shortest > 0:
            await asyncio.sleep(shortest)
        rest = min(seconds, due) - shortest
        if rest > 0:
            try:
                async with asyncio.timeout(rest):
                    await self._wake.wait()
            except TimeoutError:
                # No read was needed before.
                return
