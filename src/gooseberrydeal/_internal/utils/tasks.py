"""Own background tasks."""

import asyncio
import contextlib
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class TaskOwner:
    """Keep strong references to tasks and stop them together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def count(self) -> int:
        """Return how many tasks are running."""
        return len(self._tasks)

    def start(
        self,
        work: Coroutine[Any, Any, Any],
        name: str,
        expected: tuple[type[Exception], ...] = (),
    ) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the owner stops; log unexpected errors."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finished(done, expected))
        return task

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task

    def _finished(
        self, task: asyncio.Task[Any], expected: tuple[type[Exception], ...]
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, expected):
            logger.error("task %s failed", task.get_name(), exc_info=error)
