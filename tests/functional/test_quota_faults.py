"""Check in virtual time that each way in which allocators change keeps the bound."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.utils.rendezvous import first
from tests.lib.quota_builders import account, quota_bounds
from tests.lib.quota_world import QuotaWorld
from tests.lib.virtual_loop import run_virtual

_RATE = 10.0
_HOSTS = 4
# With little room above the quota, few grants too many exceed the bound.
_BOUNDS = quota_bounds(0.04)
_ACCOUNT = account(per_second=_RATE)


def _allocator(world: QuotaWorld) -> str:
    """Return the host that most hosts ask."""
    found = [
        str(host.quotas._members.history.allocator(_ACCOUNT.name))
        for host in world.hosts.values()
    ]
    return max(set(found), key=found.count)


async def _isolated(world: QuotaWorld) -> None:
    """Cut the allocator from the store and the others; then swap the two sides."""
    name = _allocator(world)
    others = world.hosts.keys() - {name}
    world.cut = {frozenset((name, other)) for other in others}
    world.hosts[name].reads_store = False
    await asyncio.sleep(16.0)
    for host in world.hosts.values():
        host.reads_store = not host.reads_store
    await asyncio.sleep(16.0)
    for host in world.hosts.values():
        host.reads_store = True
    world.cut.clear()


async def _frozen(world: QuotaWorld) -> None:
    host = world.hosts[_allocator(world)]
    host.is_frozen = True
    await asyncio.sleep(14.0)
    world.thaw(host)


async def _restarted(world: QuotaWorld) -> None:
    name = _allocator(world)
    await world.stop_host(name)
    await asyncio.sleep(0.5)
    world.start_host(name)


async def _replaced(world: QuotaWorld) -> None:
    """Add a host that becomes the allocator."""
    history = next(iter(world.hosts.values())).quotas._members.history
    number = 0
    while first(_ACCOUNT.name, [*history.hosts, f"n{number}"]) != f"n{number}":
        number += 1
    world.start_host(HostId(f"n{number}"))


async def _removed(world: QuotaWorld) -> None:
    name = _allocator(world)
    await world.stop_host(name)
    del world.listed[name]
    await asyncio.sleep(6.0)
    world.start_host(name)


_Fault = Callable[[QuotaWorld], Awaitable[None]]


@pytest.mark.parametrize("fault", [_isolated, _frozen, _restarted, _replaced, _removed])
@pytest.mark.parametrize("burst", [_RATE, 8.0 * _RATE])
def test_the_bound_holds_while_allocators_change(fault: _Fault, burst: float) -> None:
    """Guards against two hosts that grant the same account's tokens."""
    found = account(per_second=_RATE, burst=burst)
    world = QuotaWorld(_BOUNDS, found)

    async def run() -> None:
        await world.start(_HOSTS)
        names = [f"h{number}" for number in range(_HOSTS)]
        names += [f"n{number}" for number in range(40)]
        load = asyncio.create_task(world.load(found, 50 * _RATE, 120.0, names))
        for _ in range(4):
            await asyncio.sleep(8.0)
            await fault(world)
        await load
        await world.stop()

    run_virtual(run())
    assert world.worst_excess(found) <= 0.0
    assert len(world.admitted) >= 0.3 * _RATE * 120.0


def test_doubled_and_late_datagrams_cost_nothing_of_the_limit() -> None:
    """Guards against grants of a datagram that came before."""
    world = QuotaWorld(_BOUNDS, _ACCOUNT)

    async def run() -> None:
        await world.start(_HOSTS)
        world.doubled_rate, world.late_rate = 0.5, 0.05
        names = list(world.hosts)
        await world.load(_ACCOUNT, 1.5 * _RATE, 60.0, names)
        await world.stop()

    run_virtual(run())
    assert world.worst_excess(_ACCOUNT) <= 0.0
    assert len(world.admitted) >= 0.9 * _RATE * 60.0


def test_all_hosts_go_on_while_the_store_is_silent() -> None:
    """Guards against a host that stops granting since its list is old."""
    world = QuotaWorld(_BOUNDS, _ACCOUNT)

    async def run() -> None:
        await world.start(_HOSTS)
        for host in world.hosts.values():
            host.reads_store = False
        await world.load(_ACCOUNT, 0.5 * _RATE, 40.0, list(world.hosts))
        for host in world.hosts.values():
            host.reads_store = True
        await world.load(_ACCOUNT, 0.5 * _RATE, 10.0, list(world.hosts))
        await world.stop()

    run_virtual(run())
    assert world.refusals() == 0
