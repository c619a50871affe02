"""Cut and silence connections."""

import asyncio

from tests.lib.answers import is_whole
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import World


def test_a_silent_connection_is_noticed_and_work_goes_elsewhere() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        await world.ask()
        for host in world.hosts.values():
            await world.ask(prompt=host.address)
        entry = "10.3.0.1:80"
        world.network.cut.add(frozenset({entry, world.address("h1")}))
        events = await asyncio.gather(
            *(world.ask(f"a{n:05d}", deadline=20) for n in range(12))
        )
        assert [item[-1] for item in events if not is_whole(item)] == []
        await world.stop()

    run_virtual(scenario())


def test_an_entry_that_sees_no_keeper_refuses_new_work() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        assert world.entry is not None
        entry = "10.3.0.1:80"
        for host in world.domains:
            world.network.cut.add(frozenset({entry, world.address(host)}))
        await asyncio.sleep(20)
        refusal = world.entry.current_refusal()
        assert refusal is not None
        assert refusal.reason.value == "isolated"
        world.network.cut.clear()
        await asyncio.sleep(5)
        assert world.entry.current_refusal() is None
        assert is_whole(await world.ask())
        await world.stop()

    run_virtual(scenario())


def test_keepers_that_are_cut_off_from_each_other_serve_what_they_own() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        world.network.cut.add(frozenset({world.address("h1"), world.address("h2")}))
        await asyncio.sleep(20)
        owners = [set(h.keeper.owners) for h in world.hosts.values()]
        assert not owners[0] & owners[1]
        assert is_whole(await world.ask(deadline=20))
        await world.stop()

    run_virtual(scenario())
