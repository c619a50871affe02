"""Check routers against prompt parts that crash the engines that begin to answer."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.lib.crash_cluster import CrashCluster
from tests.lib.prompt_parts import PartTraffic

# The platform's bounds: after the fifth crash and this time, at most three more sends.
_STABLE_WINDOW_SECONDS = 3.0
_CRASHES = 5
_MAX_LATE_SENDS = 3

Scenario = Callable[[CrashCluster], Awaitable[None]]


def _run(scenario: Scenario, hosts: int = 2) -> CrashCluster:
    cluster = CrashCluster(hosts=hosts, servers=6, down_seconds=0.5)

    async def run() -> None:
        async with cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 60.0))
    return cluster


def _late_sends(cluster: CrashCluster) -> int:
    """Return how many requests with a bad part reached servers too late."""
    if len(cluster.crash_times) < _CRASHES:
        return 0
    bound = cluster.crash_times[_CRASHES - 1] + _STABLE_WINDOW_SECONDS
    return sum(time > bound for time in cluster.bad_part_times)


def test_distinct_requests_with_one_crashing_part_are_not_sent_without_end() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        await PartTraffic(cluster).send(seconds=9.0, per_second=30.0)

    assert _late_sends(_run(scenario)) <= _MAX_LATE_SENDS
