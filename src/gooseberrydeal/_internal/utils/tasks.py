"""Manage background tasks."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

logger = logging.getLogger(__name__)

_CANCEL_RETRY_SECONDS: Final = 0.5
# The pause before a task that has failed is started again doubles with each failure in
# a row, so that a lasting cause costs little processor time.
_MIN_RESTART_SECONDS: Final = 0.5
_MAX_RESTART_SECONDS: Final = 30.0


class TaskOwner:
    """Keep strong references to tasks and stop them together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def count(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def start(
        self,
        work: Coroutine[Any, Any, Any],
        name: str,
        expected: tuple[type[Exception], ...] = (),
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task until it ends or :meth:`stop` cancels it.

        An exception that is not of an ``expected`` class is logged as an error.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._handle_done(done, expected))
        return task

    def keep_running(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task[None]:
        """Run a task that has no end of its own, and start it again if it fails.

        Each failure is logged as an error. ``run`` must be able to start from whatever
        state an exception has left.
        """
        return self.start(_run_again_after_failures(run, name), name)

    async def stop(self) -> None:
        """Cancel all tasks except the current one, and wait until they have ended.

        If a cancellation arrives just as the awaited operation completes, a library
        can swallow it and the task continues. Tasks that are still running after
        ``_CANCEL_RETRY_SECONDS`` are therefore cancelled again.
        """
        current = asyncio.current_task()
        pending = {task for task in self._tasks if task is not current}
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=_CANCEL_RETRY_SECONDS)

    def _handle_done(
        self, task: asyncio.Task[Any], expected: tuple[type[Exception], ...]
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, expected):
            logger.error("task %s failed", task.get_name(), exc_info=error)


async def _run_again_after_failures(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    loop = asyncio.get_running_loop()
    delay = _MIN_RESTART_SECONDS
    while True:
        began_at = loop.time()
        try:
            await run()
        except Exception:
            if loop.time() - began_at > _MAX_RESTART_SECONDS:
                delay = _MIN_RESTART_SECONDS
            logger.exception(
                "task %s failed; it is started again in %.1f s", name, delay
            )
            await asyncio.sleep(delay)
            delay = min(_MAX_RESTART_SECONDS, delay * 2)
        else:
            return
