"""Stop tasks, also those that lose a cancellation."""

import asyncio
import contextlib

from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.virtual_loop import run_virtual


def test_a_task_that_loses_a_cancellation_is_stopped_all_the_same() -> None:
    async def scenario() -> None:
        owner = TaskOwner()

        async def stubborn() -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(3600)
            await asyncio.sleep(3600)

        owner.start(stubborn(), "stubborn")
        await asyncio.sleep(1)
        async with asyncio.timeout(10):
            await owner.stop()
        assert owner.count == 0

    run_virtual(scenario())
