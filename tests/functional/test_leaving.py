"""Check that servers that leave get no new requests."""

import asyncio
from dataclasses import replace

from gooseberrydeal._internal.operations.publisher import Publisher
from tests.lib.answers import is_whole
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import InMemoryCluster


async def _declare_leaving(cluster: InMemoryCluster, server: str) -> None:
    publisher = Publisher(cluster.store, "test")
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
        cluster = InMemoryCluster()
        await cluster.start()
        stream = asyncio.ensure_future(cluster.complete(tokens=300, deadline=30))
        await asyncio.sleep(1)
        server = next(name for name, engine in cluster.engines.items() if engine.runs)
        await _declare_leaving(cluster, server)
        await asyncio.sleep(3)
        runs_before = len(cluster.engines[server].runs)
        for number in range(10):
            assert is_whole(await cluster.complete(f"a{number:05d}"))
        assert len(cluster.engines[server].runs) == runs_before
        assert is_whole(await stream)
        await cluster.stop()

    run_virtual(scenario())


def test_a_server_listed_as_leaving_gets_no_new_work_after_three_seconds() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        server = next(iter(cluster.engines))
        cluster.host_list.hosts[cluster.server_addresses[server]] = "leaving"
        await asyncio.sleep(3)
        runs_before = len(cluster.engines[server].runs)
        for number in range(10):
            assert is_whole(await cluster.complete(f"a{number:05d}"))
        assert len(cluster.engines[server].runs) == runs_before
        await cluster.stop()

    run_virtual(scenario())


def test_removing_adapters_from_the_plan_does_not_affect_others() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        number = await cluster.submit(replace(cluster.plan, adapters=10))
        await asyncio.sleep(3)
        assert cluster.entry is not None
        assert cluster.entry.configuration.number == number
        assert is_whole(await cluster.complete("a00003"))
        await cluster.stop()

    run_virtual(scenario())
