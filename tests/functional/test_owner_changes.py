"""Check that hosts know what engines hold while the engines' owner changes."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from tests.lib.owner_change_world import OwnerChangeWorld
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import run_virtual

# Longer than the lease of an owner (9 s) and the delay of the first order (11 s).
_CHANGE_SECONDS = 26.0
_SERVER = ServerId("i-0")

Change = Callable[[OwnerChangeWorld], Awaitable[None]]


async def _kill(world: OwnerChangeWorld) -> None:
    await world.kill(world.hosts[0])
    await world.watch(_CHANGE_SECONDS)


async def _cut_from_store(world: OwnerChangeWorld) -> None:
    world.cut_off(world.hosts[0], also_from_hosts=False)
    await world.watch(_CHANGE_SECONDS)


async def _cut_from_store_and_hosts(world: OwnerChangeWorld) -> None:
    world.cut_off(world.hosts[0], also_from_hosts=True)
    await world.watch(_CHANGE_SECONDS)


async def _thaw_after_takeover(world: OwnerChangeWorld) -> None:
    world.cut_off(world.hosts[0], also_from_hosts=True)
    await world.watch(14.0)
    world.heal(world.hosts[0])
    await world.watch(_CHANGE_SECONDS)


async def _heal_before_takeover(world: OwnerChangeWorld) -> None:
    world.cut_off(world.hosts[0], also_from_hosts=True)
    await world.watch(6.0)
    world.heal(world.hosts[0])
    await world.watch(_CHANGE_SECONDS)


async def _restart(world: OwnerChangeWorld) -> None:
    await world.restart(world.hosts[0])
    await world.watch(_CHANGE_SECONDS)


_CHANGES = (
    _kill,
    _cut_from_store,
    _cut_from_store_and_hosts,
    _thaw_after_takeover,
    _heal_before_takeover,
    _restart,
)


def _run(world_of: Callable[[], OwnerChangeWorld], change: Change) -> OwnerChangeWorld:
    async def scenario() -> OwnerChangeWorld:
        world = world_of()
        await world.start()
        await change(world)
        await world.stop()
        return world

    return run_virtual(scenario())


@pytest.mark.parametrize("change", _CHANGES)
def test_what_engines_hold_stays_known_through_a_change_of_their_owner(
    change: Change,
) -> None:
    # Guards against an owner that lists no copies since it has not read any report.
    world = _run(lambda: OwnerChangeWorld(hosts=4, engines=2), change)
    assert not world.unseen


@pytest.mark.parametrize("change", _CHANGES)
def test_what_many_engines_hold_stays_known_when_one_host_takes_over_all(
    change: Change,
) -> None:
    # Guards against a takeover that tells of the copies of one engine after the other.
    world = _run(lambda: OwnerChangeWorld(hosts=3, engines=16), change)
    assert not world.unseen


@pytest.mark.parametrize("change", _CHANGES)
def test_hosts_that_hear_only_of_used_engines_keep_what_those_hold(
    change: Change,
) -> None:
    # Guards against a status without copies that an owner sends to hosts that ask.
    world = _run(lambda: OwnerChangeWorld(hosts=20, engines=6), change)
    assert not world.unseen


@pytest.mark.parametrize("change", _CHANGES)
def test_adapters_that_load_when_the_owner_changes_are_known_once_ready(
    change: Change,
) -> None:
    # Guards against a new owner that does not know of loads that it has not ordered.
    copies = [copy_key(f"late{number}") for number in range(3)]

    async def load_and_change(world: OwnerChangeWorld) -> None:
        for copy in copies:
            world.hosts[1].record(_SERVER).add_load_request(copy, 0.0)
        while not all(copy in world.engines[_SERVER].copies for copy in copies):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        await change(world)

    world = _run(lambda: OwnerChangeWorld(hosts=4, engines=2), load_and_change)
    assert not world.unseen


@pytest.mark.parametrize("change", [_kill, _restart])
def test_an_owner_that_cannot_read_a_report_says_nothing_of_the_copies(
    change: Change,
) -> None:
    # Guards against an owner that lists no copies while it does not reach the engine.
    async def cut_and_change(world: OwnerChangeWorld) -> None:
        for host in world.hosts[1:]:
            host.engine_orders.cut(is_cut=True)
        changing = asyncio.ensure_future(change(world))
        await asyncio.sleep(0.005)
        world.hosts[0].engine_orders.cut(is_cut=True)
        await changing

    world = _run(lambda: OwnerChangeWorld(hosts=4, engines=2), cut_and_change)
    assert not world.unseen


def test_a_new_owner_reads_again_what_the_engine_denies_to_hold() -> None:
    # Guards against a report that was read when the owner changed and outlives a copy.
    lost = copy_key("a0.0")

    async def change(world: OwnerChangeWorld) -> None:
        await world.kill(world.hosts[0])
        await world.watch(12.0)
        del world.engines[_SERVER].copies[lost]
        now = asyncio.get_running_loop().time()
        record = world.hosts[0].record(_SERVER)
        record.note_missing(lost, now + 0.05)
        record.add_load_request(lost, 0.0)
        await world.watch(2.0)
        later = asyncio.get_running_loop().time()
        for host in world.hosts:
            assert host.record(_SERVER).copy_state(lost, later) is None

    world = _run(lambda: OwnerChangeWorld(hosts=4, engines=2), change)
    assert not world.unseen


@pytest.mark.parametrize("cut", [("h1",), ("h0", "h1")])
def test_a_host_that_only_the_store_turns_away_still_gets_loads(
    cut: tuple[str, ...],
) -> None:
    # Guards against owners that do not answer hosts whose membership has lapsed, and
    # against reports that go to an owner which another host has replaced.
    copy = copy_key("new")

    async def change(world: OwnerChangeWorld) -> None:
        for host in world.hosts:
            if host.name in cut:
                world.cut_off(host, also_from_hosts=False)
        await world.watch(_CHANGE_SECONDS)
        (asking,) = (host for host in world.hosts if host.name == "h1")
        now = asyncio.get_running_loop().time()
        assert asking.record(_SERVER).owner.accepts_load_orders(now)
        asking.record(_SERVER).add_load_request(copy, now)
        await asyncio.sleep(2.0)
        later = asyncio.get_running_loop().time()
        assert copy in world.engines[_SERVER].copies
        assert asking.record(_SERVER).copy_state(copy, later) is CopyState.READY

    world = _run(lambda: OwnerChangeWorld(hosts=4, engines=2), change)
    assert not world.unseen


@pytest.mark.parametrize("change", [_kill, _cut_from_store, _cut_from_store_and_hosts])
def test_no_order_is_sent_before_the_takeover_delay(change: Change) -> None:
    # Guards against a report read in the delay that counts as leave to send orders.
    copy = copy_key("new")
    log: list[tuple[float, str]] = []

    async def ask_and_change(world: OwnerChangeWorld) -> None:
        started_at = asyncio.get_running_loop().time()
        changing = asyncio.ensure_future(change(world))
        await asyncio.sleep(8.0)
        world.hosts[-1].record(_SERVER).add_load_request(copy, 0.0)
        await changing
        for at, order in world.engines[_SERVER].log:
            log.append((at - started_at, order.adapter))

    _run(lambda: OwnerChangeWorld(hosts=4, engines=2), ask_and_change)
    assert [adapter for _, adapter in log] == ["new"]
    assert log[0][0] > 7.5 + 11.0
