"""Test that a task owner stops its tasks."""

import asyncio
import contextlib
from itertools import pairwise

import pytest

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


def test_a_failed_task_runs_again_after_growing_pauses(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Starved: the task of an engine's owner ended for good by its first exception.
    async def scenario() -> None:
        owner, started_at = TaskOwner(), list[float]()
        clock = asyncio.get_running_loop().time

        async def fail() -> None:
            started_at.append(clock())
            raise ValueError("odd value")

        owner.keep_running(fail, "failing")
        await asyncio.sleep(600)
        pauses = [b - a for a, b in pairwise(started_at)]
        assert pauses == sorted(pauses)
        assert 0 < pauses[0] <= 1.0
        assert pauses[-1] <= 60.0
        await owner.stop()
        assert owner.count == 0

    run_virtual(scenario())
    assert "task failing failed" in caplog.text
    assert "odd value" in caplog.text


def test_a_task_that_ran_for_long_is_started_again_soon() -> None:
    async def scenario() -> None:
        owner, started_at = TaskOwner(), list[float]()
        clock = asyncio.get_running_loop().time

        async def fail_later() -> None:
            started_at.append(clock())
            await asyncio.sleep(100)
            raise ValueError("odd value")

        owner.keep_running(fail_later, "failing")
        await asyncio.sleep(1_000)
        await owner.stop()
        assert [b - a for a, b in pairwise(started_at)] == [100.5] * 9

    run_virtual(scenario())


def test_a_task_that_returns_or_is_cancelled_is_not_started_again() -> None:
    async def scenario() -> None:
        owner, runs = TaskOwner(), list[str]()

        async def end() -> None:
            runs.append("end")

        async def wait() -> None:
            runs.append("wait")
            await asyncio.sleep(3600)

        owner.keep_running(end, "ending")
        owner.keep_running(wait, "waiting").cancel()
        task = owner.keep_running(wait, "waiting")
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.sleep(100)
        assert runs == ["end", "wait"]
        assert owner.count == 0

    run_virtual(scenario())
