"""Let servers leave."""

import asyncio
from dataclasses import replace

from gooseberrydeal._internal.operations.publisher import Publisher
from tests.lib.answers import is_whole
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import World


async def _declare_leaving(world: World, server: str) -> None:
    publisher = Publisher(world.store, "test")
    current = await publisher.current()
    entries = dict(current.entries)
    entries[f"server/{server}"] = {  # type: ignore[index]
        **entries[f"server/{server}"],  # type: ignore[index]
        "state": "leaving",
    }
    number = type(current.number)(current.number + 1)
    await publisher.publish(current, entries, number)


def test_a_server_declared_to_leave_gets_no_new_work_after_three_seconds() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        stream = asyncio.ensure_future(world.ask(tokens=300, deadline=30))
        await asyncio.sleep(1)
        server = next(name for name, e in world.engines.items() if e.runs)
        await _declare_leaving(world, server)
        await asyncio.sleep(3)
        before = len(world.engines[server].runs)
        for number in range(10):
            assert is_whole(await world.ask(f"a{number:05d}"))
        assert len(world.engines[server].runs) == before
        assert is_whole(await stream)
        await world.stop()

    run_virtual(scenario())


def test_a_server_listed_as_leaving_gets_no_new_work_after_three_seconds() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        server = next(iter(world.engines))
        world.host_list.hosts[world.names[server]] = "leaving"
        await asyncio.sleep(3)
        before = len(world.engines[server].runs)
        for number in range(10):
            assert is_whole(await world.ask(f"a{number:05d}"))
        assert len(world.engines[server].runs) == before
        await world.stop()

    run_virtual(scenario())


def test_an_adapter_removed_from_the_plan_leaves_others_untouched() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        number = await world.submit(replace(world.plan, adapters=10))
        await asyncio.sleep(3)
        assert world.entry is not None
        assert world.entry.configuration.number == number
        assert is_whole(await world.ask("a00003"))
        await world.stop()

    run_virtual(scenario())
