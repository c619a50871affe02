"""Check what callers get while an engine's owner changes, over real sockets."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydeal._internal.lab.router.router_cluster import RouterCluster
from gooseberrydeal._internal.lab.router.router_demo import call_router

_HOSTS = 4
_ADAPTERS = ("a1", "a2", "a3", "a4")
_CALLS_PER_SECOND = 9
# The lease of the owner ends in the store 9 s after the change at the latest, and the
# first order of the next owner is allowed 11 s later.
_CHANGE_SECONDS = 16.0

Change = Callable[[RouterCluster], Awaitable[None]]


async def _cut_from_store(cluster: RouterCluster) -> None:
    cluster.store.set_cut_off(("host-0", "host-1"))


async def _kill(cluster: RouterCluster) -> None:
    await cluster.kill_host("host-0")


async def _call_steadily(cluster: RouterCluster, seconds: float) -> Counter[int]:
    """Send requests to the hosts in turn, and twice as many for the first adapter."""
    calls: list[asyncio.Task[tuple[int, str]]] = []
    hosts = list(cluster.addresses.values())
    for number in range(int(seconds * _CALLS_PER_SECOND)):
        address = hosts[number % len(hosts)]
        adapter = _ADAPTERS[number // len(hosts) % len(_ADAPTERS)]
        for name in (adapter, _ADAPTERS[0]):
            call = call_router(address, name, f"q-{number}-{name}")
            calls.append(asyncio.create_task(call))
        await asyncio.sleep(1.0 / _CALLS_PER_SECOND)
    return Counter([(await call)[0] for call in calls])


@pytest.mark.parametrize("change", [_cut_from_store, _kill])
def test_no_request_for_a_held_copy_is_refused_while_the_owner_changes(
    change: Change,
) -> None:
    # Guards against a new owner whose first status says that its engine holds nothing.
    async def scenario() -> Counter[int]:
        cluster = RouterCluster(hosts=1, engines=2, slots=17)
        await cluster.start()
        try:
            # The first host claims both engines.
            while (await _first_call(cluster))[0] != 200:
                await asyncio.sleep(0.05)
            for number in range(1, _HOSTS):
                await cluster.start_host(f"host-{number}", is_first_start=True)
            await asyncio.sleep(1.0)
            await _call_steadily(cluster, 4.0)
            await change(cluster)
            return await _call_steadily(cluster, _CHANGE_SECONDS)
        finally:
            await cluster.stop()

    statuses = asyncio.run(asyncio.wait_for(scenario(), 120.0))
    assert set(statuses) == {200}


async def _first_call(cluster: RouterCluster) -> tuple[int, str]:
    return await call_router(cluster.addresses["host-0"], "a1", "first")
