"""Check that a host cut off from the store hands its engines to one that reaches it."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.lib.owner_world import (
    OwnerHost,
    check_orders,
    new_engine,
    new_store_data,
    report_demand,
)
from tests.lib.virtual_loop import run_virtual

_HOSTS = 3
_SETTLE_SECONDS = 4.0
# A successor may have claimed the engine: its lease and the takeover delay.
_TAKEOVER_SECONDS = 24.0


class _World:
    """Run three hosts over one store and engine; the first host owns the engine."""

    def __init__(self) -> None:
        self.engine = new_engine(slots=400)
        data = new_store_data()
        network: dict[str, OwnerHost] = {}
        self.hosts = [
            OwnerHost(f"host-{n}", data, self.engine, number=n, address=f"host-{n}")
            .join(network)
            .start()
            for n in range(_HOSTS)
        ]
        self._next_adapter = 0

    @property
    def owner(self) -> OwnerHost:
        owners = [host for host in self.hosts if host.is_owner]
        assert len(owners) == 1
        return owners[0]

    def accepted_after(self, at: float) -> int:
        return sum(sent_at > at for sent_at, _ in self.engine.log)

    async def run(self, seconds: float) -> None:
        await report_demand(self.hosts, seconds, self._next_adapter)
        self._next_adapter += int(seconds / 0.2)

    async def stop(self) -> None:
        for host in self.hosts:
            await host.kill()


def test_adapters_are_loaded_again_soon_after_the_owner_lost_the_store() -> None:
    """Guards against engines without orders until the lease of their owner ends."""

    async def scenario() -> None:
        world = _World()
        await world.run(_SETTLE_SECONDS)
        first = world.owner
        first.store.is_cut = True
        await world.run(5.0)
        assert world.owner is not first
        # The gap between two holders has passed since the last order of the first.
        cut_at = asyncio.get_running_loop().time()
        await world.run(4.0)
        assert world.accepted_after(cut_at) > 0
        check_orders(world.engine)
        first.store.is_cut = False
        await world.run(_SETTLE_SECONDS)
        assert world.owner is not first
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


def test_the_owner_goes_on_while_no_host_reaches_the_store() -> None:
    """Guards against an outage of the whole store that ends all loads."""

    async def scenario() -> None:
        world = _World()
        await world.run(_SETTLE_SECONDS)
        first = world.owner
        for host in world.hosts:
            host.store.is_cut = True
        outage_at = asyncio.get_running_loop().time()
        await world.run(5.0)
        assert world.owner is first
        assert world.accepted_after(outage_at + 4.0) > 0
        for host in world.hosts:
            host.store.is_cut = False
        await world.run(_SETTLE_SECONDS)
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("is_killed", [True, False])
def test_an_engine_is_not_lost_if_its_successor_fails(is_killed: bool) -> None:
    """Guards against an engine that is released to a host that can't claim it."""

    async def scenario() -> None:
        world = _World()
        await world.run(_SETTLE_SECONDS)
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
        assert world.accepted_after(back_at) > 0
        check_orders(world.engine)
        await world.stop()

    run_virtual(scenario())


_Cut = tuple[int, str, float]


@given(
    st.lists(
        st.tuples(
            st.integers(0, _HOSTS - 1),
            st.sampled_from(["store", "hosts", "answers"]),
            st.floats(0.2, 6.0),
        ),
        max_size=6,
    )
)
def test_holders_never_take_turns_whatever_is_cut(cuts: list[_Cut]) -> None:
    """Guards against orders of two hosts within the handover gap."""

    async def scenario() -> None:
        world = _World()
        await world.run(_SETTLE_SECONDS)
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
