"""Check brittle servers while hosts are cut from them or start again."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.lib.brittle_server import PLACES, BrittleServer
from tests.lib.link_proxy import LinkState
from tests.lib.partition_cluster import PartitionCluster

_SERVERS = 6
_SERVICE_SECONDS = 0.2
_RATE = 90.0
_STABLE_SECONDS = 3.0
_SECONDS = 9.0

Scenario = Callable[["BrittlePartition"], Awaitable[None]]


class BrittlePartition(PartitionCluster):
    """Run hosts whose links can be cut before servers that may become brittle."""

    server_class = BrittleServer
    server_slots = PLACES


def _falls(scenario: Scenario) -> int:
    """Play a scenario while all servers are brittle; return how often they fall."""

    async def run() -> int:
        async with BrittlePartition() as cluster:
            servers = [s for s in cluster.servers if isinstance(s, BrittleServer)]
            for server in servers:
                server.service_seconds = _SERVICE_SECONDS
                server.shrinks_at = asyncio.get_running_loop().time() + _STABLE_SECONDS
                server.is_brittle = True
            calls = cluster.call_hosts(_RATE, _SECONDS, ("/safe/a",))
            await asyncio.gather(calls, scenario(cluster))
            await cluster.cut(cluster.host_names, LinkState.OPEN)
            return sum(len(server.falls) for server in servers)

    return asyncio.run(asyncio.wait_for(run(), 60.0))


def test_the_work_of_a_cut_host_does_not_make_brittle_servers_fall() -> None:
    async def scenario(cluster: BrittlePartition) -> None:
        await asyncio.sleep(_STABLE_SECONDS + 1.0)
        await cluster.cut(["host-0", "host-1"], LinkState.RESET_AND_REFUSED)

    assert _falls(scenario) <= 2 + _SERVERS / 10


def test_a_host_that_starts_again_does_not_make_brittle_servers_fall() -> None:
    async def scenario(cluster: BrittlePartition) -> None:
        await asyncio.sleep(_STABLE_SECONDS + 1.0)
        await cluster.kill_host("host-0")
        await asyncio.sleep(0.5)
        await cluster.start_host("host-0")

    assert _falls(scenario) <= 2 + _SERVERS / 10
