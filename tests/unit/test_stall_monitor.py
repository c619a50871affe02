"""Check that a process that stood still says so."""

import asyncio

import pytest

from gooseberrydeal._internal.operations.router.stall_monitor import StallMonitor
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.virtual_loop import run_virtual


def test_a_suspended_time_leaves_one_line(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        suspended = 0.0
        tasks = TaskOwner()
        monitor = StallMonitor(lambda: loop.time() + suspended)
        tasks.start(monitor.run(), "stalls")
        await asyncio.sleep(5.0)
        assert not caplog.records
        suspended = 7.0
        await asyncio.sleep(5.0)
        await tasks.stop()

    run_virtual(play())
    assert [record.message for record in caplog.records] == [
        "event loop stalled for 7.0 s; callers and servers may have timed out meanwhile"
    ]
