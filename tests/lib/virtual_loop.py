"""Run coroutines on virtual time."""

import asyncio
import random
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")
_SEED = 20261204


class _VirtualSelector(selectors.SelectSelector):
    """Move time on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Tell the selector's time."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class VirtualClock:
    """Read the running loop's time."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return 1_800_000_000.0 + asyncio.get_running_loop().time()


async def _end_all(tasks: set[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_virtual(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run to the end, as fast as the processor allows."""
    random.seed(_SEED)
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_end_all(asyncio.all_tasks(loop)))
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
