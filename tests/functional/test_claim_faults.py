"""Run work that must not be repeated, under faults."""

import asyncio

import pytest

from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.models.answer_events import AnswerEvent, AnswerPlain
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError
from tests.lib.answers import refusal_of
from tests.lib.fake_store import StoreFault
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import World


async def _redeem(world: World, body: bytes, key: str | None) -> AnswerEvent:
    assert world.entry is not None
    return await world.entry.plain_calls.run(world.plain_order(body), key)


def test_a_repeat_gets_the_first_answer_and_runs_nothing() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        key = world.key("repeat01")
        first = await _redeem(world, b"7", key)
        await asyncio.sleep(1)
        second = await _redeem(world, b"7", key)
        assert isinstance(first, AnswerPlain)
        assert first == second
        assert world.booked() == [b"7"]
        await world.stop()

    run_virtual(scenario())


def test_two_at_once_run_once() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        key = world.key("atonce01")
        events = await asyncio.gather(*(_redeem(world, b"8", key) for _ in range(6)))
        assert world.booked() == [b"8"]
        assert sum(isinstance(event, AnswerPlain) for event in events) == 1
        for event in events:
            if not isinstance(event, AnswerPlain):
                refusal = refusal_of([event])
                assert refusal.reason is RefusalReason.ALREADY_CLAIMED
                assert refusal.ran is not Ran.NO
        await world.stop()

    run_virtual(scenario())


def test_a_key_with_another_body_is_refused() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        key = world.key("another1")
        await _redeem(world, b"1", key)
        refusal = refusal_of([await _redeem(world, b"2", key)])
        assert refusal.reason is RefusalReason.KEY_REUSED
        assert world.booked() == [b"1"]
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        ("nonsense", RefusalReason.KEY_MALFORMED),
        ("20200101T000000Z-abcdefgh", RefusalReason.KEY_EXPIRED),
        ("20990101T000000Z-abcdefgh", RefusalReason.KEY_MALFORMED),
        ("20261399T000000Z-abcdefgh", RefusalReason.KEY_MALFORMED),
    ],
)
def test_keys_out_of_the_window_are_refused(key: str, reason: RefusalReason) -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        with pytest.raises(RefusedError) as caught:
            await _redeem(world, b"1", key)
        assert caught.value.refusal.reason is reason
        assert world.booked() == []
        await world.stop()

    run_virtual(scenario())


def test_a_lost_answer_is_unknown_and_never_run_again() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for server in world.plain.values():
            server.lost_answers = 1
        key = world.key("lost0001")
        first = refusal_of([await _redeem(world, b"5", key)])
        assert first.ran is Ran.UNKNOWN
        await asyncio.sleep(1)
        second = refusal_of([await _redeem(world, b"5", key)])
        assert second.reason is RefusalReason.ALREADY_CLAIMED
        assert second.ran is Ran.UNKNOWN
        assert world.booked() == [b"5"]
        await world.stop()

    run_virtual(scenario())


def test_work_that_was_not_run_may_be_asked_for_again() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for server in world.plain.values():
            server.is_down = True
        key = world.key("notrun01")
        first = refusal_of([await _redeem(world, b"6", key)])
        assert first.ran is Ran.NO
        assert world.booked() == []
        for server in world.plain.values():
            server.is_down = False
        await asyncio.sleep(3)
        assert isinstance(await _redeem(world, b"6", key), AnswerPlain)
        assert world.booked() == [b"6"]
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("offset", [1, 2, 3])
def test_faults_of_the_claim_write_never_double_or_lie(
    fault: StoreFault, offset: int
) -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for host in world.hosts.values():
            session = host.session
            for number in range(session.writes + 1, session.writes + 1 + offset):
                session.write_faults[number] = fault
        key = world.key("faulty01")
        event = await _redeem(world, b"9", key)
        booked = len(world.booked())
        if isinstance(event, AnswerPlain):
            assert booked == 1
        else:
            assert refusal_of([event]).ran is Ran.NO
            assert booked == 0
        await asyncio.sleep(30)
        for host in world.hosts.values():
            host.session.write_faults.clear()
        again = await _redeem(world, b"9", key)
        assert isinstance(again, AnswerPlain)
        assert world.booked() == [b"9"]
        await world.stop()

    run_virtual(scenario())


def test_an_owner_lost_after_sending_leaves_the_outcome_unknown() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        for server in world.plain.values():
            server.delay_seconds = 2.0
        key = world.key("ownerx01")
        call = asyncio.ensure_future(_redeem(world, b"4", key))
        await asyncio.sleep(0.5)
        host = next(
            name
            for name, found in world.hosts.items()
            if any(o.running for o in found.keeper.owners.values())
        )
        await world.crash(host)
        refusal = refusal_of([await call])
        assert refusal.ran is Ran.UNKNOWN
        await asyncio.sleep(10)
        again = refusal_of([await _redeem(world, b"4", key)])
        assert again.ran is Ran.UNKNOWN
        assert len(world.booked()) <= 1
        await world.stop()

    run_virtual(scenario())


def test_work_without_a_key_is_sent_once_at_most() -> None:
    async def scenario() -> None:
        world = World(plan=LabPlan(domains=("d1",), plain_servers_per_domain=3))
        await world.start()
        for server in world.plain.values():
            server.lost_answers = 1
        refusal = refusal_of([await _redeem(world, b"3", None)])
        assert refusal.ran is Ran.UNKNOWN
        assert world.booked() == [b"3"]
        await world.stop()

    run_virtual(scenario())
