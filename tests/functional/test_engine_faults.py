"""Break engines while they load and answer."""

import asyncio

from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from tests.lib.answers import expected_text, is_whole, refusal_of, text_of
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import World

_ONE = LabPlan(domains=("d1",), engines_per_domain=1, adapters=20, loads_per_second=40)
_THREE = LabPlan(domains=("d1",), engines_per_domain=3, adapters=20)


def test_a_cut_stream_is_resumed_at_its_offset() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for engine in world.engines.values():
            engine.cut_after = 5
        events = await world.ask(tokens=12)
        assert is_whole(events)
        assert text_of(events) == expected_text("a00001@v1", "p", 12)
        assert sum(len(e.runs) for e in world.engines.values()) == 1
        await world.stop()

    run_virtual(scenario())


def test_a_failed_load_is_tried_on_another_engine() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        next(iter(world.engines.values())).failing_loads = 1
        for number in range(6):
            assert is_whole(await world.ask(f"a{number:05d}"))
        await world.stop()

    run_virtual(scenario())


def test_an_adapter_that_never_loads_is_refused_and_spares_the_budget() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for engine in world.engines.values():
            engine.failing_loads = 10_000
        refusal = refusal_of(await world.ask("a00002"))
        assert refusal.reason is RefusalReason.LOAD_FAILED
        assert refusal.ran is Ran.NO
        assert refusal.retry_after
        for _ in range(20):
            await asyncio.sleep(0.5)
            await world.ask("a00002")
        loads = sum(len(engine.loads) for engine in world.engines.values())
        assert loads <= 12
        await world.stop()

    run_virtual(scenario())


def test_an_engine_that_restarts_empty_serves_again() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        await world.ask()
        for engine in world.engines.values():
            engine.restart()
        assert is_whole(await world.ask(prompt="again"))
        await world.stop()

    run_virtual(scenario())


def test_a_request_that_crashes_engines_is_refused_after_two() -> None:
    async def scenario() -> None:
        world = World(plan=_THREE)
        await world.start()
        for engine in world.engines.values():
            engine.crash_prompt = "POISON"
        innocent = asyncio.ensure_future(world.ask("a00005", tokens=60, deadline=30))
        await asyncio.sleep(0.5)
        for _ in range(6):
            refusal = refusal_of(await world.ask("a00003", prompt="POISON"))
            await asyncio.sleep(1)
        assert refusal.reason is RefusalReason.CRASH_SUSPECT
        assert refusal.ran is Ran.NO
        bad = [e for e in world.engines.values() for _ in e.runs]
        assert len(bad) <= 6
        await innocent
        assert is_whole(await world.ask("a00005", tokens=60, deadline=30))
        await world.stop()

    run_virtual(scenario())


def test_a_copy_is_held_until_an_abandoned_request_has_left_the_engine() -> None:
    async def scenario() -> None:
        world = World(plan=_ONE, slots=2)
        await world.start()
        for engine in world.engines.values():
            engine.cancel_seconds = 0.8
        await world.ask("a00000")
        for number in range(12):
            left = asyncio.ensure_future(world.ask("a00000", tokens=500))
            await asyncio.sleep(0.3)
            left.cancel()
            asks = [f"a{n:05d}" for n in range(number % 6 + 1, number % 6 + 4)]
            await asyncio.gather(*(world.ask(name, deadline=4) for name in asks))
        assert sum(e.evicted_in_use for e in world.engines.values()) == 0
        await world.stop()

    run_virtual(scenario())


def test_loads_never_pass_the_rate_in_any_window() -> None:
    async def scenario() -> None:
        plan = LabPlan(
            domains=("d1", "d2"), engines_per_domain=3, adapters=60, loads_per_second=3
        )
        world = World(hosts={"h1": "d1", "h2": "d1", "h3": "d2"}, plan=plan)
        await world.start()
        asks = []
        for number in range(60):
            asks.append(asyncio.ensure_future(world.ask(f"a{number:05d}", deadline=30)))
            await asyncio.sleep(0.05)
            if number == 30:
                await world.crash("h1")
        await asyncio.gather(*asks)
        starts = sorted(t for e in world.engines.values() for t in e.loads)
        for start in starts:
            inside = [t for t in starts if start <= t < start + 2.0]
            assert len(inside) <= 6
        assert len(starts) >= 20
        await world.stop()

    run_virtual(scenario())


def test_a_slowed_engine_gets_no_new_work_while_others_are_free() -> None:
    async def scenario() -> None:
        world = World(plan=_THREE)
        await world.start()
        for _ in range(3):
            await asyncio.gather(*(world.ask(prompt=f"w{n}") for n in range(12)))
        slow = next(e for e in world.engines.values() if e.copies)
        slow.token_seconds = 1.0
        asks = [asyncio.ensure_future(world.ask(prompt=f"s{n}")) for n in range(6)]
        await asyncio.sleep(2.0)
        before = len(slow.runs)
        for n in range(10):
            assert is_whole(await world.ask(prompt=f"t{n}"))
        assert len(slow.runs) <= before + 2
        await asyncio.gather(*asks)
        await world.stop()

    run_virtual(scenario())
