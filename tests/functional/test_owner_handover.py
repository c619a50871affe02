"""Check that a host cut off from the store hands its engines to one that reaches it."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.lib.handover_world import HOSTS, SETTLE_SECONDS, HandoverWorld
from tests.lib.owner_world import check_orders
from tests.lib.virtual_loop import run_virtual

# A successor may have claimed the engine: its lease and the takeover delay.
_TAKEOVER_SECONDS = 24.0


def test_adapters_are_loaded_again_soon_after_the_owner_lost_the_store() -> None:
    """Guards against engines without orders until the lease of their owner ends."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        first = world.owner
        first.store.is_cut = True
        await world.run(5.0)
        assert world.owner is not first
        # The gap between two holders has passed since the last order of the first.
        cut_at = asyncio.get_running_loop().time()
        await world.run(4.0)
        assert world.orders_after(cut_at) > 0
        check_orders(world.engine)
        first.store.is_cut = False
        await world.run(SETTLE_SECONDS)
        assert world.owner is not first
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_the_owner_goes_on_while_no_host_reaches_the_store() -> None:
    """Guards against an outage of the whole store that ends all loads."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        first = world.owner
        for host in world.hosts:
            host.store.is_cut = True
        outage_at = asyncio.get_running_loop().time()
        await world.run(5.0)
        assert world.owner is first
        assert world.orders_after(outage_at + 4.0) > 0
        for host in world.hosts:
            host.store.is_cut = False
        await world.run(SETTLE_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("is_killed", [True, False])
def test_an_engine_is_not_lost_if_its_successor_fails(is_killed: bool) -> None:
    """Guards against an engine that is released to a host that can't claim it."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        first = world.owner
        others = [host for host in world.hosts if host is not first]
        first.store.is_cut = True
        await world.run(3.2)
        assert not first.is_owner
        for host in others:
            host.store.is_cut = True
            if is_killed:
                await host.kill()
        first.store.is_cut = False
        await world.run(_TAKEOVER_SECONDS)
        assert first.is_owner
        back_at = asyncio.get_running_loop().time()
        await world.run(1.0)
        assert world.orders_after(back_at) > 0
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_an_owner_keeps_an_engine_whose_claim_the_store_lost() -> None:
    """Guards against an engine that is released to hosts of a later epoch."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        first = world.owner
        first.store.is_cut = True
        world.restore(world.data.copy())
        restored_at = asyncio.get_running_loop().time()
        await world.run(5.0)
        assert world.orders_after(restored_at + 4.0) > 0
        await world.run(_TAKEOVER_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


_Cut = tuple[int, str, float]


@given(
    st.lists(
        st.tuples(
            st.integers(0, HOSTS - 1),
            st.sampled_from(["store", "hosts", "answers"]),
            st.floats(0.2, 6.0),
        ),
        max_size=6,
    )
)
def test_holders_never_take_turns_whatever_is_cut(cuts: list[_Cut]) -> None:
    """Guards against orders of two hosts within the handover gap."""

    async def scenario() -> None:
        world = HandoverWorld()
        await world.run(SETTLE_SECONDS)
        for number, kind, seconds in cuts:
            host = world.hosts[number]
            if kind == "store":
                host.store.is_cut = not host.store.is_cut
            elif kind == "hosts":
                host.is_cut_from_hosts = not host.is_cut_from_hosts
            else:
                host.store.loses_answers = not host.store.loses_answers
            await world.run(seconds)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())
