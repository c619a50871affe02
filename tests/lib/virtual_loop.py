"""Run coroutines in virtual time."""

import asyncio
import random
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")
_SEED = 20261204


class _VirtualSelector(selectors.SelectSelector):
    """Advance the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("deadlock: no ready callback and no timer is left")
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in the virtual time of the selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


class VirtualClock:
    """Read the clocks from the running loop's virtual time."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return 1_800_000_000.0 + asyncio.get_running_loop().time()


async def _cancel_all(tasks: set[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_virtual(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end in virtual time, with a fixed random seed.

    Tasks that it leaves behind are cancelled.
    """
    random.seed(_SEED)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(_cancel_all(asyncio.all_tasks(loop)))
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
