"""Check what happens when connections between hosts lose all traffic."""

import asyncio

from tests.lib.answers import is_whole
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import InMemoryCluster


def test_a_silent_connection_is_detected_and_requests_go_elsewhere() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        await cluster.complete()
        for host in cluster.hosts.values():
            await cluster.complete(prompt=host.address)
        entry = "10.3.0.1:80"
        cluster.network.cut_pairs.add(frozenset({entry, cluster.address("h1")}))
        answers = await asyncio.gather(
            *(cluster.complete(f"a{n:05d}", deadline=20) for n in range(12))
        )
        assert [events[-1] for events in answers if not is_whole(events)] == []
        await cluster.stop()

    run_virtual(scenario())


def test_an_entry_without_any_keeper_refuses_new_requests() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        assert cluster.entry is not None
        entry = "10.3.0.1:80"
        for host in cluster.domains:
            cluster.network.cut_pairs.add(frozenset({entry, cluster.address(host)}))
        await asyncio.sleep(20)
        refusal = cluster.entry.current_refusal()
        assert refusal is not None
        assert refusal.reason.value == "isolated"
        cluster.network.cut_pairs.clear()
        await asyncio.sleep(5)
        assert cluster.entry.current_refusal() is None
        assert is_whole(await cluster.complete())
        await cluster.stop()

    run_virtual(scenario())


def test_keepers_cut_off_from_each_other_serve_the_servers_they_own() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        cluster.network.cut_pairs.add(
            frozenset({cluster.address("h1"), cluster.address("h2")})
        )
        await asyncio.sleep(20)
        owners = [set(fake_host.keeper.owners) for fake_host in cluster.hosts.values()]
        assert not owners[0] & owners[1]
        assert is_whole(await cluster.complete(deadline=20))
        await cluster.stop()

    run_virtual(scenario())
