"""Own background tasks."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final

logger = logging.getLogger(__name__)

_CANCEL_AGAIN_SECONDS: Final = 0.5


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
        """Cancel every task until it has ended.

        A cancellation that meets the end of what a task awaits can be lost in a
        library, and the task goes on; so it is cancelled again.
        """
        current = asyncio.current_task()
        pending = {task for task in self._tasks if task is not current}
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=_CANCEL_AGAIN_SECONDS)

    def _finished(
        self, task: asyncio.Task[Any], expected: tuple[type[Exception], ...]
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, expected):
            logger.error("task %s failed", task.get_name(), exc_info=error)
