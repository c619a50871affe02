"""Test that a suspension of the process is logged."""

import asyncio

import pytest

from gooseberrydeal._internal.operations.router.stall_monitor import StallMonitor
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.virtual_loop import run_virtual


def test_suspension_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        suspended_seconds = 0.0
        tasks = TaskOwner()
        monitor = StallMonitor(lambda: loop.time() + suspended_seconds)
        tasks.start(monitor.run(), "stalls")
        await asyncio.sleep(5.0)
        assert not caplog.records
        suspended_seconds = 7.0
        await asyncio.sleep(5.0)
        await tasks.stop()

    run_virtual(scenario())
    assert [record.message for record in caplog.records] == [
        "event loop stalled for 7.0 s; callers and servers may have timed out meanwhile"
    ]
