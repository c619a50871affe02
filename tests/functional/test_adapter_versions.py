"""Check which version of an adapter requests run on after a new one is declared."""

import asyncio

from tests.lib.dispatch_world import VERSION_BOUND, DispatchWorld
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import run_virtual


def test_the_old_version_serves_until_the_new_one_is_ready() -> None:
    async def play() -> None:
        world = DispatchWorld()
        world.hold(copy_key("a1", 1))
        assert await world.assigned() == copy_key("a1", 1)
        world.declare(2)
        assert await world.assigned() == copy_key("a1", 1)
        world.hold(copy_key("a1", 1), copy_key("a1", 2))
        assert await world.assigned() == copy_key("a1", 2)

    run_virtual(play())


def test_the_old_version_serves_no_request_near_the_bound() -> None:
    async def play() -> None:
        world = DispatchWorld()
        world.hold(copy_key("a1", 1))
        world.declare(2)
        until = world.now() + VERSION_BOUND
        while world.now() < until:
            world.hold(copy_key("a1", 1))
            begun = world.now()
            found = await world.assigned()
            if found == copy_key("a1", 1):
                assert begun < until - VERSION_BOUND / 2
            await asyncio.sleep(0.2)
        assert world.load_requested

    run_virtual(play())
