"""Check that streams go on only at the software version that began them."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.crash_cluster import CrashCluster
from tests.lib.stream_caller import StreamCaller

# The platform's bound on streams with events of two versions.
_MAX_MIXED = 2
_STREAMS = 60

Scenario = Callable[[CrashCluster], Awaitable[None]]


def _run(scenario: Scenario, *versions: object) -> None:
    cluster = CrashCluster(hosts=4, servers=len(versions), down_seconds=0.5)
    for server, version in zip(cluster.servers, versions, strict=True):
        server.version = version
        server.resets_streams = True

    async def run() -> None:
        async with cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 60.0))


async def _begin(cluster: CrashCluster, number: int, path: str) -> StreamCaller:
    caller = StreamCaller(cluster, path)
    await asyncio.sleep(number * 0.01)
    await caller.attempt(f"host-{number % 4}")
    return caller


async def _take_up(caller: StreamCaller, number: int) -> bool:
    return await caller.attempt(f"host-{(number + 1) % 4}")


@pytest.mark.parametrize("path", ["/resumable/a", "/onward/a"])
def test_streams_hold_no_events_of_two_software_versions(path: str) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        async def call(number: int) -> StreamCaller:
            caller = await _begin(cluster, number, path)
            if caller.last_event < 4:
                await _take_up(caller, number)
            return caller

        callers = await asyncio.gather(*map(call, range(_STREAMS)))
        assert sum(caller.is_mixed for caller in callers) <= _MAX_MIXED
        assert sum(caller.last_event == 4 for caller in callers) >= _STREAMS / 2

    _run(scenario, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")
