"""Check quotas over real sockets with four hosts, also while hosts fail."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.quota_builders import account, quota_bounds
from tests.lib.quota_cluster import QuotaCluster, worst_window

_RATE = 30.0
_WINDOW = 8.0
_BOUND = (_RATE * _WINDOW + _RATE) * 1.1
_PLAY_SECONDS = 60.0


def _run(
    play: Callable[[QuotaCluster], Awaitable[None]], slack: float = 0.0
) -> QuotaCluster:
    """Run a play once all hosts get tokens; check the bound on what ran."""

    async def run() -> QuotaCluster:
        found = account(per_second=_RATE)
        other = account("a2", per_second=_RATE)
        async with QuotaCluster(quota_bounds(slack=slack), found, other) as cluster:
            await cluster.until_granted("a1")
            # An allocator's bucket is empty at its start.
            await asyncio.sleep(2.0)
            await play(cluster)
            return cluster

    cluster = asyncio.run(asyncio.wait_for(run(), _PLAY_SECONDS))
    assert worst_window(cluster.ran("a1"), _WINDOW) <= _BOUND + slack
    return cluster


@pytest.mark.parametrize("moves_every", [None, 1.5])
@pytest.mark.parametrize("hosts", [1, 4])
def test_a_client_beyond_its_limit_gets_its_limit(
    hosts: int, moves_every: float | None
) -> None:
    seconds = 9.0

    async def play(cluster: QuotaCluster) -> None:
        names = cluster.host_names[:hosts]
        await cluster.load("a1", 2.0 * _RATE, seconds, names, moves_every)

    cluster = _run(play)
    assert cluster.count("a1", 200) >= 0.95 * _RATE * seconds
    assert cluster.count("a1", 503) == 0
    refused = cluster.count("a1", 429)
    assert cluster.count("a1", 200) + refused == len(cluster.outcomes)


def test_an_account_within_its_limit_loses_nothing_to_one_beyond() -> None:
    async def play(cluster: QuotaCluster) -> None:
        await asyncio.gather(
            cluster.load("a1", 3.0 * _RATE, 6.0), cluster.load("a2", 0.7 * _RATE, 6.0)
        )

    cluster = _run(play)
    assert cluster.count("a1", 429) > 0
    assert cluster.count("a2", 429) + cluster.count("a2", 503) == 0


async def _cut(cluster: QuotaCluster, name: str) -> None:
    cluster.cut = {name}
    await asyncio.sleep(3.0)
    cluster.cut.clear()


async def _restart(cluster: QuotaCluster, name: str) -> None:
    await cluster.kill_host(name)
    await asyncio.sleep(0.3)
    await cluster.start_host(name)


async def _add(cluster: QuotaCluster, name: str) -> None:
    cluster.host_names.append("host-4")
    await cluster.start_host("host-4")


async def _store_silent(cluster: QuotaCluster, name: str) -> None:
    cluster.store.set_unavailable(is_unavailable=True)
    await asyncio.sleep(5.0)
    cluster.store.set_unavailable(is_unavailable=False)


@pytest.mark.parametrize("fault", [_cut, _restart, _add, _store_silent])
@pytest.mark.parametrize("is_allocator", [True, False])
def test_the_bound_holds_through_faults_and_tokens_come_back(
    fault: Callable[[QuotaCluster, str], Awaitable[None]], is_allocator: bool
) -> None:
    async def play(cluster: QuotaCluster) -> None:
        members = next(iter(cluster.nodes.values()))._quotas._members.history
        allocator = members.allocator(account().name)
        others = [name for name in cluster.host_names if name != allocator]
        name = str(allocator) if is_allocator else others[0]
        load = asyncio.create_task(cluster.load("a1", 2.0 * _RATE, 8.0))
        await asyncio.sleep(1.5)
        await fault(cluster, name)
        await load
        await cluster.until_granted("a1")

    _run(play)


def test_a_cut_host_spends_its_reserve() -> None:
    slack = 34_000.0

    async def play(cluster: QuotaCluster) -> None:
        for node in cluster.nodes.values():
            node._quotas._members.history._is_first_start = True
        members = next(iter(cluster.nodes.values()))._quotas._members.history
        name = str(members.allocator(account().name))
        cluster.cut = {name}
        others = [host for host in cluster.host_names if host != name]
        await asyncio.sleep(1.1)
        await cluster.load("a1", 10.0, 2.0, others)

    cluster = _run(play, slack)
    assert cluster.count("a1", 200) >= 15


def test_a_silent_store_leaves_accounts_served() -> None:
    async def play(cluster: QuotaCluster) -> None:
        cluster.store.set_unavailable(is_unavailable=True)
        await cluster.load("a1", 0.5 * _RATE, 12.0)
        cluster.store.set_unavailable(is_unavailable=False)

    cluster = _run(play)
    assert cluster.count("a1", 429) + cluster.count("a1", 503) == 0


def test_a_lowered_limit_holds_once_all_hosts_know_it() -> None:
    lower = 10.0

    async def play(cluster: QuotaCluster) -> None:
        load = asyncio.create_task(cluster.load("a1", 2.0 * _RATE, 13.0))
        await asyncio.sleep(2.0)
        cluster.change(account(per_second=lower), account("a2", per_second=_RATE))
        nodes = cluster.nodes.values()
        while any(n._quotas._directory.version < 2 for n in nodes):
            await asyncio.sleep(0.01)
        changed_at.append(asyncio.get_running_loop().time())
        await load

    changed_at: list[float] = []
    cluster = _run(play)
    # What was admitted before the change may reach its server just after it.
    later = [at for at in cluster.ran("a1") if at >= changed_at[0] + 0.2]
    assert worst_window(later, _WINDOW) <= (lower * _WINDOW + lower) * 1.1
