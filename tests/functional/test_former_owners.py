"""Check which hosts claim an engine without a delay after the store was restored."""

import asyncio

import pytest

from gooseberrydeal._internal.operations.router.lease_keeper import (
    LOCAL_VALIDITY_SECONDS,
)
from tests.lib.handover_world import SETTLE_SECONDS, HandoverWorld
from tests.lib.owner_world import OwnerHost, check_orders
from tests.lib.virtual_loop import run_virtual

_LEASE_SECONDS = 9.0
_TAKEOVER_SECONDS = 11.0
# Only the last owner may claim an engine for this time after a restoration.
_RECLAIM_SECONDS = 2.0
# Another host has claimed the engine by then, if the last owner did not.
_REPLACED_SECONDS = 4.0
_CUT_SECONDS = 2.5
_OBSERVED_SECONDS = 16.0
_STEP_SECONDS = 0.01
_DEMAND_SECONDS = 0.2


@pytest.mark.parametrize("handovers", [1, 2])
@pytest.mark.parametrize("names_former_owner", [False, True])
@pytest.mark.parametrize("restorations", [1, 2])
def test_a_host_that_handed_an_engine_over_does_not_order_after_a_restoration(
    handovers: int, names_former_owner: bool, restorations: int
) -> None:
    """Guards against orders of a former owner beside those of one that is cut off."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        saved = world.data.copy()
        for _ in range(handovers):
            await world.hand_over()
        if not names_former_owner:
            saved = world.data.copy()
        await world.run(2.0)
        world.owner.store.is_cut = True
        for _ in range(restorations):
            world.restore(saved, leases_for=_LEASE_SECONDS)
            await world.run(_CUT_SECONDS)
        for host in world.hosts:
            host.store.is_cut = False
        await world.run(_OBSERVED_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_an_owner_whose_lease_ends_before_it_reads_the_restoration_goes_on() -> None:
    """Guards against engines without loads for the takeover delay."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        owner, saved = world.owner, world.data.copy()
        lease = owner.lease.lease
        while owner.lease.seconds_since_renewal < 1.0:
            await asyncio.sleep(_STEP_SECONDS)
        owner.store.rejects_reads = True
        world.restore(saved, leases_for=_LEASE_SECONDS)
        while owner.is_owner:
            await asyncio.sleep(_STEP_SECONDS)
        assert owner.lease.lease != lease
        assert owner.view.store_epoch < world.data.epoch
        owner.store.rejects_reads = False
        read_at = asyncio.get_running_loop().time()
        await world.run(_RECLAIM_SECONDS)
        assert world.owner is owner
        assert world.orders_after(read_at) > 0
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


async def _wait_for_renewal(host: OwnerHost) -> None:
    while host.lease.seconds_since_renewal > 2 * _STEP_SECONDS:
        await asyncio.sleep(_STEP_SECONDS)


async def _cut_off_at_renewal(host: OwnerHost) -> None:
    """Cut a host off from the store and the other hosts."""
    await _wait_for_renewal(host)
    host.store.is_cut = host.is_cut_from_hosts = True


async def _read_restoration(world: HandoverWorld, host: OwnerHost) -> None:
    """Restore the store, and wait until a host that can't write has read that."""
    host.store.rejects_writes = True
    world.restore(world.data.copy(), leases_for=_LEASE_SECONDS)
    while host.view.store_epoch < world.data.epoch:
        await asyncio.sleep(_STEP_SECONDS)


def test_an_owner_that_another_host_replaced_after_a_restoration_waits() -> None:
    """Guards against a right to claim at once that outlasts another host's claim."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        later = await world.hand_over()
        former = world.owner
        await _read_restoration(world, former)
        await world.run(_REPLACED_SECONDS)
        former.store.rejects_writes = False
        await world.run(_TAKEOVER_SECONDS)
        assert world.owner is later
        await _cut_off_at_renewal(later)
        await world.run(_OBSERVED_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_an_owner_that_was_away_since_a_restoration_waits() -> None:
    """Guards against a right to claim at once that has no end."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        later = await world.hand_over()
        former = world.owner
        await _read_restoration(world, former)
        former.store.rejects_reads = True
        await world.run(_REPLACED_SECONDS + _TAKEOVER_SECONDS)
        assert world.owner is later
        await _cut_off_at_renewal(later)
        for host in world.others(former):
            host.store.is_cut = True
        await world.run(_LEASE_SECONDS)
        former.store.rejects_reads = former.store.rejects_writes = False
        await world.run(_OBSERVED_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_an_owner_that_another_host_replaced_before_a_restoration_waits() -> None:
    """Guards against a claim that still counts after the store has ended it."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        former, saved = world.owner, world.data.copy()
        await _wait_for_renewal(former)
        assert former.lease.lease is not None
        former.store.rejects_writes = True
        world.data.revoke_lease(former.lease.lease)
        await world.run(_REPLACED_SECONDS)
        await _cut_off_at_renewal(world.owner)
        world.restore(saved, leases_for=_LEASE_SECONDS)
        former.store.rejects_writes = False
        await world.run(_OBSERVED_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_an_owner_that_missed_a_restoration_waits_after_the_next() -> None:
    """Guards against a claim that another host may have replaced in between."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS + 0.4)
        later, saved = await world.hand_over(), world.data.copy()
        former = world.owner
        await _wait_for_renewal(former)
        lease = former.lease.lease
        assert lease is not None
        former.store.rejects_reads = former.store.rejects_writes = True
        former.is_cut_from_hosts = True
        world.restore(saved, leases_for=_LEASE_SECONDS)
        while not later.is_owner:
            await world.run(_DEMAND_SECONDS)
        # The lease of the later owner outlasts its takeover delay.
        await world.run(_TAKEOVER_SECONDS - LOCAL_VALIDITY_SECONDS)
        await _cut_off_at_renewal(later)
        assert former.lease.was_valid(lease)
        world.restore(saved, leases_for=_LEASE_SECONDS)
        former.store.rejects_reads = former.store.rejects_writes = False
        await world.run(_OBSERVED_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())
