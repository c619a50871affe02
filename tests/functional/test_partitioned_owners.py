"""Check what owners of engines do that are cut from them."""

import asyncio

from tests.lib.owner_world import SERVER, OwnerHost, new_engine, new_store_data
from tests.lib.virtual_loop import run_virtual


def test_an_owner_that_does_not_reach_its_engine_says_that_it_cannot_load() -> None:
    async def scenario() -> None:
        host = OwnerHost("h1", new_store_data(), new_engine()).start()
        await asyncio.sleep(2.0)
        assert host.statuses[-1].may_load
        record = host.servers.get(SERVER)
        assert record is not None
        record.health.note_unreachable()
        await asyncio.sleep(1.0)
        assert not host.statuses[-1].may_load
        record.health.note_reachable()
        await asyncio.sleep(1.0)
        assert host.statuses[-1].may_load

    run_virtual(scenario())
