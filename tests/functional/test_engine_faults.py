"""Check the serving path when engines fail while loading or generating."""

import asyncio

from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from tests.lib.answers import expected_text, is_whole, refusal_of, text_of
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import InMemoryCluster

_ONE_ENGINE = LabPlan(
    domains=("d1",), engines_per_domain=1, adapters=20, loads_per_second=40
)
_THREE_ENGINES = LabPlan(domains=("d1",), engines_per_domain=3, adapters=20)


def test_a_cut_stream_is_resumed_at_its_offset() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for engine in cluster.engines.values():
            engine.cut_after_words = 5
        events = await cluster.complete(tokens=12)
        assert is_whole(events)
        assert text_of(events) == expected_text("a00001@v1", "p", 12)
        assert sum(len(e.runs) for e in cluster.engines.values()) == 1
        await cluster.stop()

    run_virtual(scenario())


def test_a_failed_load_is_tried_on_another_engine() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        next(iter(cluster.engines.values())).failing_loads = 1
        for number in range(6):
            assert is_whole(await cluster.complete(f"a{number:05d}"))
        await cluster.stop()

    run_virtual(scenario())


def test_an_adapter_that_never_loads_is_refused_after_few_load_attempts() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for engine in cluster.engines.values():
            engine.failing_loads = 10_000
        refusal = refusal_of(await cluster.complete("a00002"))
        assert refusal.reason is RefusalReason.LOAD_FAILED
        assert refusal.ran is Ran.NO
        assert refusal.retry_after
        for _ in range(20):
            await asyncio.sleep(0.5)
            await cluster.complete("a00002")
        load_starts = sum(
            len(engine.load_starts) for engine in cluster.engines.values()
        )
        assert load_starts <= 12
        await cluster.stop()

    run_virtual(scenario())


def test_an_engine_that_restarts_empty_serves_again() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        await cluster.complete()
        for engine in cluster.engines.values():
            engine.restart()
        assert is_whole(await cluster.complete(prompt="again"))
        await cluster.stop()

    run_virtual(scenario())


def test_a_request_that_crashes_engines_is_refused_after_two() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster(plan=_THREE_ENGINES)
        await cluster.start()
        for engine in cluster.engines.values():
            engine.crash_prompt = "POISON"
        other_request = asyncio.ensure_future(
            cluster.complete("a00005", tokens=60, deadline=30)
        )
        await asyncio.sleep(0.5)
        for _ in range(6):
            refusal = refusal_of(await cluster.complete("a00003", prompt="POISON"))
            await asyncio.sleep(1)
        assert refusal.reason is RefusalReason.CRASH_SUSPECT
        assert refusal.ran is Ran.NO
        crashed_runs = [e for e in cluster.engines.values() for _ in e.runs]
        assert len(crashed_runs) <= 6
        await other_request
        assert is_whole(await cluster.complete("a00005", tokens=60, deadline=30))
        await cluster.stop()

    run_virtual(scenario())


def test_a_copy_is_held_until_an_abandoned_request_has_left_the_engine() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster(plan=_ONE_ENGINE, slots=2)
        await cluster.start()
        for engine in cluster.engines.values():
            engine.cancel_seconds = 0.8
        await cluster.complete("a00000")
        for number in range(12):
            abandoned = asyncio.ensure_future(cluster.complete("a00000", tokens=500))
            await asyncio.sleep(0.3)
            abandoned.cancel()
            requests = [f"a{n:05d}" for n in range(number % 6 + 1, number % 6 + 4)]
            await asyncio.gather(
                *(cluster.complete(name, deadline=4) for name in requests)
            )
        assert sum(e.evicted_in_use for e in cluster.engines.values()) == 0
        await cluster.stop()

    run_virtual(scenario())


def test_loads_never_exceed_the_rate_in_any_window() -> None:
    async def scenario() -> None:
        plan = LabPlan(
            domains=("d1", "d2"), engines_per_domain=3, adapters=60, loads_per_second=3
        )
        cluster = InMemoryCluster(hosts={"h1": "d1", "h2": "d1", "h3": "d2"}, plan=plan)
        await cluster.start()
        requests = []
        for number in range(60):
            requests.append(
                asyncio.ensure_future(cluster.complete(f"a{number:05d}", deadline=30))
            )
            await asyncio.sleep(0.05)
            if number == 30:
                await cluster.crash("h1")
        await asyncio.gather(*requests)
        starts = sorted(at for e in cluster.engines.values() for at in e.load_starts)
        for start in starts:
            in_window = [at for at in starts if start <= at < start + 2.0]
            assert len(in_window) <= 6
        assert len(starts) >= 20
        await cluster.stop()

    run_virtual(scenario())


def test_a_slowed_engine_gets_no_new_work_while_others_are_free() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster(plan=_THREE_ENGINES)
        await cluster.start()
        for _ in range(3):
            await asyncio.gather(*(cluster.complete(prompt=f"w{n}") for n in range(12)))
        slow = next(e for e in cluster.engines.values() if e.copies)
        slow.token_seconds = 1.0
        requests = [
            asyncio.ensure_future(cluster.complete(prompt=f"s{n}")) for n in range(6)
        ]
        await asyncio.sleep(2.0)
        runs_before = len(slow.runs)
        for n in range(10):
            assert is_whole(await cluster.complete(prompt=f"t{n}"))
        assert len(slow.runs) <= runs_before + 2
        await asyncio.gather(*requests)
        await cluster.stop()

    run_virtual(scenario())
