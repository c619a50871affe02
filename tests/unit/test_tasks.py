"""Test that a task owner stops its tasks."""

import asyncio
import contextlib

from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.virtual_loop import run_virtual


def test_task_that_suppresses_one_cancellation_is_stopped() -> None:
    async def scenario() -> None:
        owner = TaskOwner()

        async def suppress_one_cancellation() -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(3600)
            await asyncio.sleep(3600)

        owner.start(suppress_one_cancellation(), "suppress_one_cancellation")
        await asyncio.sleep(1)
        async with asyncio.timeout(10):
            await owner.stop()
        assert owner.count == 0

    run_virtual(scenario())
