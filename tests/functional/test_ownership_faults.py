"""Check server ownership when keepers crash, pause, stop or are replaced."""

import asyncio

import pytest

from gooseberrydeal._internal.lab.lab_plan import LabPlan
from tests.lib.answers import expected_text, is_whole, text_of
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import InMemoryCluster


def _cluster(*, fenced: bool) -> InMemoryCluster:
    plan = LabPlan(
        domains=("d1",), engines_per_domain=2, adapters=20, fenced_engines=fenced
    )
    return InMemoryCluster(plan=plan)


@pytest.mark.parametrize("fenced", [True, False])
def test_servers_of_a_crashed_keeper_are_taken_over(fenced: bool) -> None:
    async def scenario() -> None:
        cluster = _cluster(fenced=fenced)
        await cluster.start()
        previous = {name: cluster.owner_of(name).keeper for name in cluster.engines}
        await cluster.crash("h1")
        await asyncio.sleep(9)
        for name in cluster.engines:
            owner = cluster.owner_of(name)
            assert owner.keeper.context.host == "h2"
            is_taken_over = previous[name].context.host == "h1"
            assert (owner.keeper.owners[name].epoch > 1) == is_taken_over
        events = await cluster.complete(prompt="after")
        assert is_whole(events)
        await cluster.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fenced", [True, False])
def test_a_paused_owner_never_evicts_a_copy_in_use(fenced: bool) -> None:
    async def scenario() -> None:
        cluster = _cluster(fenced=fenced)
        await cluster.start()
        for number in range(8):
            await cluster.complete(f"a{number:05d}", prompt="warm")
        cluster.pause("h1")
        await asyncio.sleep(12)
        streams = [
            asyncio.ensure_future(
                cluster.complete(f"a{n:05d}", prompt=f"s{n}", tokens=200)
            )
            for n in range(8)
        ]
        await asyncio.sleep(1)
        cluster.resume("h1")
        other_requests = [
            asyncio.ensure_future(cluster.complete(f"a{n:05d}", prompt="c", deadline=5))
            for n in range(8, 20)
        ]
        await asyncio.gather(*streams, *other_requests)
        assert sum(e.evicted_in_use for e in cluster.engines.values()) == 0
        for n, stream in enumerate(streams):
            events = stream.result()
            if is_whole(events):
                expected = expected_text(f"a{n:05d}@v1", f"s{n}", 200)
                assert text_of(events) == expected
        await cluster.stop()

    run_virtual(scenario())


def test_copies_of_a_paused_owner_stay_foreign_until_it_is_gone() -> None:
    async def scenario() -> None:
        cluster = _cluster(fenced=False)
        await cluster.start()
        for number in range(8):
            await cluster.complete(f"a{number:05d}", prompt="warm")
        owned = list(cluster.hosts["h1"].keeper.owners)
        address = cluster.hosts["h1"].address
        cluster.pause("h1")
        await asyncio.sleep(12)
        engines = [cluster.engines[name] for name in owned if name in cluster.engines]
        copies_before = [set(engine.copies) for engine in engines]
        for number in range(8, 20):
            await cluster.complete(f"a{number:05d}", prompt="x", deadline=2)
        for engine, copies in zip(engines, copies_before, strict=True):
            assert copies <= set(engine.copies)
        view = cluster.hosts["h2"].keeper.context.view
        assert "foreign_copies" in view.hosts["h2"].alarms
        cluster.host_list.hosts.pop(address)
        await asyncio.sleep(8)
        for number in range(8, 20):
            await cluster.complete(f"a{number:05d}", prompt="y", deadline=5)
        assert any(
            not c <= set(e.copies) for e, c in zip(engines, copies_before, strict=True)
        )
        assert sum(e.evicted_in_use for e in cluster.engines.values()) == 0

    run_virtual(scenario())


def test_no_server_has_two_owners_that_are_both_registered() -> None:
    async def scenario() -> None:
        cluster = _cluster(fenced=True)
        await cluster.start()
        for _ in range(3):
            await cluster.crash("h1")
            await asyncio.sleep(9)
            await cluster.start_keeper("h1")
            await asyncio.sleep(12)
            owners = [set(h.keeper.owners) for h in cluster.hosts.values()]
            assert not owners[0] & owners[1]
            assert owners[0] | owners[1] == set(cluster.server_addresses)
        await cluster.stop()

    run_virtual(scenario())


def test_an_orderly_stop_cuts_no_stream_and_hands_servers_over() -> None:
    async def scenario() -> None:
        cluster = _cluster(fenced=True)
        await cluster.start()
        for number in range(6):
            await cluster.complete(f"a{number:05d}", prompt="warm")
        streams = [
            asyncio.ensure_future(
                cluster.complete(f"a{n:05d}", prompt="long", tokens=150)
            )
            for n in range(6)
        ]
        await asyncio.sleep(0.5)
        stopping = cluster.hosts.pop("h1")
        cut_streams = await stopping.keeper.stop()
        cluster.host_list.hosts.pop(stopping.address)
        assert cut_streams == 0
        for n, events in enumerate(await asyncio.gather(*streams)):
            assert is_whole(events)
            assert text_of(events) == expected_text(f"a{n:05d}@v1", "long", 150)
        await asyncio.sleep(3)
        assert set(cluster.hosts["h2"].keeper.owners) == set(cluster.server_addresses)
        assert sum(e.evicted_in_use for e in cluster.engines.values()) == 0
        await cluster.stop()

    run_virtual(scenario())


def test_a_stream_continues_after_its_owner_was_lost() -> None:
    async def scenario() -> None:
        cluster = _cluster(fenced=True)
        await cluster.start()
        await cluster.complete("a00001", prompt="warm")
        stream = asyncio.ensure_future(
            cluster.complete("a00001", prompt="long", tokens=400, deadline=60)
        )
        await asyncio.sleep(1)
        host = next(
            name
            for name, fake_host in cluster.hosts.items()
            if any(
                engine_owner.running
                for engine_owner in fake_host.keeper.owners.values()
            )
        )
        await cluster.crash(host)
        events = await stream
        assert is_whole(events)
        assert text_of(events) == expected_text("a00001@v1", "long", 400)
        assert sum(len(e.runs) for e in cluster.engines.values()) == 2
        await cluster.stop()

    run_virtual(scenario())
