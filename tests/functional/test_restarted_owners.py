"""Check that a host that restarts keeps to the takeover delay of its last process."""

import asyncio

import pytest

from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.store_item import StorePage
from gooseberrydeal._internal.operations.router.metadata_view import OWNER_PREFIX
from tests.lib.handover_world import SETTLE_SECONDS, HandoverWorld
from tests.lib.owner_world import SERVER, OwnerHost, check_orders
from tests.lib.virtual_loop import run_virtual

_LEASE_SECONDS = 9.0
_TAKEOVER_SECONDS = 11.0
_STEP_SECONDS = 0.2


async def _cut_off_owner(world: HandoverWorld) -> OwnerHost:
    """Cut the owner off from the store and the other hosts; return the next owner."""
    owner = world.owner
    owner.store.is_cut = owner.is_cut_from_hosts = True
    while not any(host.is_owner for host in world.others(owner)):
        await world.run(_STEP_SECONDS)
    return next(host for host in world.others(owner) if host.is_owner)


@pytest.mark.parametrize("restarts", [1, 2])
def test_a_host_killed_in_its_takeover_delay_waits_after_its_restart(
    restarts: int,
) -> None:
    """Guards against a delay that is forgotten with the process that waits."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        later = await _cut_off_owner(world)
        for _ in range(restarts):
            later = await world.restart(later)
            await world.run(1.0)
        await world.run(2 * _TAKEOVER_SECONDS)
        assert later.is_owner
        assert world.engine.log[-1][1].holder == later.name
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_a_host_killed_in_its_takeover_delay_after_a_restoration_waits() -> None:
    """Guards against orders in turn with an owner that missed the restoration."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        await world.hand_over()
        world.restore(world.data.copy(), leases_for=_LEASE_SECONDS)
        later = await _cut_off_owner(world)
        await world.restart(later)
        await world.run(2 * _TAKEOVER_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_a_host_killed_after_its_takeover_delay_goes_on_at_once() -> None:
    """Guards against a delay that outlasts the first order."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        later = await _cut_off_owner(world)
        await world.run(_TAKEOVER_SECONDS + 1.0)
        killed_at = asyncio.get_running_loop().time()
        assert world.engine.log[-1][1].holder == later.name
        await world.restart(later)
        await world.run(2.0)
        assert world.orders_after(killed_at) > 0
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_a_record_that_is_read_late_does_not_replace_a_later_claim() -> None:
    """Guards against orders under a claim that this host has written again."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        later = await _cut_off_owner(world)
        first = world.data.ordered(world.data.items[OWNER_PREFIX + SERVER])
        await world.run(_TAKEOVER_SECONDS + 1.0)
        claim = later.view.owners[SERVER]
        assert claim.revision > first.revision
        later.follower.declarations_read(StorePage((first,), first.revision), 0.0)
        assert later.view.owners[SERVER] == claim
        await world.run(1.0)
        assert later.ownership.own_claims[SERVER] == claim
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("data", [b'["h", "l", 1]', b'["h", "l", 1, 2.5]'])
def test_records_with_and_without_a_delay_are_read(data: bytes) -> None:
    claim = OwnerClaim.decode(data, 7)
    assert claim.delay in (0.0, 2.5)
    assert OwnerClaim.decode(claim.encode(), 7) == claim


@pytest.mark.parametrize("delay", ["-1", "1e999", "NaN", '"2"', "true", "null"])
def test_a_record_with_an_invalid_delay_is_malformed(delay: str) -> None:
    with pytest.raises(ValueError, match="malformed"):
        OwnerClaim.decode(b'["h", "l", 1, %s]' % delay.encode(), 7)
