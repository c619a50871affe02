"""Check what callers get while an engine's owner changes, over real sockets."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from gooseberrydeal._internal.lab.router.router_cluster import DOMAIN, RouterCluster
from gooseberrydeal._internal.lab.router.router_demo import call_router
from tests.lib.router_process import RouterProcess

_HOSTS = 4
_ADAPTERS = ("a1", "a2", "a3", "a4")
_CALLS_PER_SECOND = 9
# The lease of the owner ends in the store 9 s after the change at the latest, and the
# first order of the next owner is allowed 11 s later.
_CHANGE_SECONDS = 16.0
_WARM_UP_SECONDS = 4.0
_THAW_SECONDS = 3.0

Change = Callable[[RouterCluster], Awaitable[None]]


async def _cut_from_store(cluster: RouterCluster) -> None:
    cluster.store.set_cut_off(("host-0", "host-1"))


async def _kill(cluster: RouterCluster) -> None:
    await cluster.kill_host("host-0")


async def _call_steadily(hosts: list[str], seconds: float) -> Counter[int]:
    """Send requests to the hosts in turn, and twice as many for the first adapter."""
    calls: list[asyncio.Task[tuple[int, str]]] = []
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
            await _call_until_served(cluster.addresses["host-0"])
            await _start_other_hosts(cluster)
            await _call_steadily(list(cluster.addresses.values()), _WARM_UP_SECONDS)
            await change(cluster)
            return await _call_steadily(
                list(cluster.addresses.values()), _CHANGE_SECONDS
            )
        finally:
            await cluster.stop()

    statuses = asyncio.run(asyncio.wait_for(scenario(), 120.0))
    assert set(statuses) == {200}


def test_no_request_for_a_held_copy_is_refused_while_the_owner_is_frozen(
    tmp_path: Path,
) -> None:
    # Guards against the same at the end of a freeze, when the host that was suspended
    # goes on with what it knew.
    async def scenario() -> Counter[int]:
        cluster = RouterCluster(hosts=0, engines=2, slots=17)
        await cluster.start()
        try:
            store_address = await cluster.store_address("host-0")
            async with RouterProcess(tmp_path, store_address, domain=DOMAIN) as owner:
                await _call_until_served(owner.callers)
                await _start_other_hosts(cluster)
                others = list(cluster.addresses.values())
                await _call_steadily([owner.callers, *others], _WARM_UP_SECONDS)
                owner.freeze()
                statuses = await _call_steadily(others, _CHANGE_SECONDS)
                owner.thaw()
                statuses += await _call_steadily(others, _THAW_SECONDS)
                return statuses + await _call_steadily([owner.callers], _THAW_SECONDS)
        finally:
            await cluster.stop()

    statuses = asyncio.run(asyncio.wait_for(scenario(), 120.0))
    assert set(statuses) == {200}


async def _start_other_hosts(cluster: RouterCluster) -> None:
    for number in range(1, _HOSTS):
        await cluster.start_host(f"host-{number}", is_first_start=True)
    await asyncio.sleep(1.0)


async def _call_until_served(address: str) -> None:
    while True:
        try:
            if (await call_router(address, "a1", "first"))[0] == 200:
                return
        except ConnectionError:
            pass
        await asyncio.sleep(0.05)
