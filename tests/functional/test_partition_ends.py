"""Check cuts of hosts that heal, move, repeat, or come with other troubles."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.link_proxy import LinkState
from tests.lib.partition_cluster import CallResult, PartitionCluster

_RATE = 60.0
_HOSTS = 4
_PATHS = ("/safe/a", "/once/a", "/stream/a")
# The platform's bound: first tries count from this time after a cut began.
_STABLE_SECONDS = 3.0
_CUTS = (LinkState.SILENT, LinkState.RESET_AND_REFUSED)

Scenario = Callable[[PartitionCluster, LinkState], Awaitable[list[tuple[float, float]]]]


def _run(scenario: Scenario, state: LinkState, seconds: float) -> None:
    """Play a scenario, which returns when the first tries count, from and until."""

    async def run() -> tuple[list[CallResult], list[tuple[float, float]]]:
        async with PartitionCluster(hosts=_HOSTS, servers=4) as cluster:
            calls = asyncio.create_task(cluster.call_hosts(_RATE, seconds, _PATHS))
            await asyncio.sleep(0.5)
            spans = await scenario(cluster, state)
            results = await calls
            await cluster.cut(cluster.host_names, LinkState.OPEN)
            return results, spans

    results, spans = asyncio.run(asyncio.wait_for(run(), 60.0))
    counted = [
        result
        for result in results
        if any(start <= result.sent_at <= end for start, end in spans)
    ]
    assert counted
    failed = [result for result in counted if result.status != 200]
    assert len(failed) <= 10 + len(counted) / 50


def _now() -> float:
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("state", _CUTS)
def test_a_cut_that_has_healed_has_no_second_wave_of_failures(state: LinkState) -> None:
    async def scenario(
        cluster: PartitionCluster, state: LinkState
    ) -> list[tuple[float, float]]:
        await cluster.cut(cluster.host_names[:2], state)
        await asyncio.sleep(4.0)
        await cluster.cut(cluster.host_names[:2], LinkState.OPEN)
        healed_at = _now()
        return [(healed_at - 0.9, healed_at + 10.0)]

    _run(scenario, state, 8.0)


@pytest.mark.parametrize("state", _CUTS)
def test_a_cut_that_moves_to_other_hosts_is_served_around(state: LinkState) -> None:
    async def scenario(
        cluster: PartitionCluster, state: LinkState
    ) -> list[tuple[float, float]]:
        spans = []
        for cut in (cluster.host_names[:2], cluster.host_names[2:]):
            await cluster.cut(cluster.host_names, LinkState.OPEN)
            await cluster.cut(cut, state)
            began_at = _now()
            await asyncio.sleep(4.5)
            spans.append((began_at + _STABLE_SECONDS, began_at + 4.4))
        return spans

    _run(scenario, state, 10.0)


@pytest.mark.parametrize("state", _CUTS)
def test_a_cut_while_the_store_is_away_is_served_around(state: LinkState) -> None:
    async def scenario(
        cluster: PartitionCluster, state: LinkState
    ) -> list[tuple[float, float]]:
        cluster.store.set_unavailable(is_unavailable=True)
        await cluster.cut(cluster.host_names[:2], state)
        began_at = _now()
        await asyncio.sleep(5.0)
        cluster.store.set_unavailable(is_unavailable=False)
        return [(began_at + _STABLE_SECONDS, began_at + 5.0)]

    _run(scenario, state, 6.0)


@pytest.mark.parametrize("state", _CUTS)
def test_a_host_that_starts_while_it_is_cut_serves_its_callers(
    state: LinkState,
) -> None:
    async def run() -> None:
        async with PartitionCluster(hosts=_HOSTS, servers=4) as cluster:
            await cluster.kill_host("host-0")
            await cluster.cut(["host-0"], state)
            # Its datagram socket is closed only in the loop's next turn.
            await asyncio.sleep(0.05)
            await cluster.start_host("host-0")
            while cluster.nodes["host-0"]._view.configuration is None:
                await asyncio.sleep(0.05)
            while len(cluster.nodes["host-1"]._view.hosts) < _HOSTS:
                await asyncio.sleep(0.05)
            statuses = []
            for number in range(20):
                body = b"call %d" % number
                statuses.append((await cluster.call("host-0", body, "/once/a"))[0])
            assert statuses[5:] == [200] * 15

    asyncio.run(asyncio.wait_for(run(), 60.0))
