"""Check that all hosts together keep to the limits that servers state."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.crash_cluster import CrashCluster
from tests.lib.limits import allowed_requests, most_in_window

_LIMIT = 2.0
# Hosts that were told of a limit keep to it after this time.
_SETTLE_SECONDS = 0.5

Scenario = Callable[[CrashCluster], Awaitable[None]]


def _run(scenario: Scenario, hosts: int = 4) -> CrashCluster:
    cluster = CrashCluster(hosts=hosts, servers=6)

    async def run() -> None:
        async with cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 60.0))
    return cluster


async def _call_at_limit(cluster: CrashCluster, limited: int) -> Counter[int]:
    """Send 120 requests a second to servers of which some state a limit."""
    for server in cluster.servers[:limited]:
        server.stated_limit = f"{_LIMIT}"
    return await cluster.call_steadily(720, 1 / 120, b"limited")


@pytest.mark.parametrize("limited", [1, 6])
def test_servers_get_no_more_requests_than_they_stated_from_all_hosts_together(
    limited: int,
) -> None:
    started_at = 0.0

    async def scenario(cluster: CrashCluster) -> None:
        nonlocal started_at
        started_at = asyncio.get_running_loop().time()
        await _call_at_limit(cluster, limited)

    cluster = _run(scenario)
    for server in cluster.servers[:limited]:
        since = started_at + _SETTLE_SECONDS
        times = [time for time in server.arrival_times if time > since]
        assert most_in_window(times) <= allowed_requests(_LIMIT)
