"""Check that requests that must not be repeated run at most once under faults."""

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
from tests.lib.world import InMemoryCluster


async def _redeem(
    cluster: InMemoryCluster, body: bytes, idempotency_key: str | None
) -> AnswerEvent:
    assert cluster.entry is not None
    return await cluster.entry.plain_calls.run(
        cluster.plain_order(body), idempotency_key
    )


def test_a_repeat_gets_the_first_answer_and_runs_nothing() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        idempotency_key = cluster.idempotency_key("repeat01")
        first = await _redeem(cluster, b"7", idempotency_key)
        await asyncio.sleep(1)
        second = await _redeem(cluster, b"7", idempotency_key)
        assert isinstance(first, AnswerPlain)
        assert first == second
        assert cluster.executions() == [b"7"]
        await cluster.stop()

    run_virtual(scenario())


def test_concurrent_requests_with_one_key_run_once() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        idempotency_key = cluster.idempotency_key("atonce01")
        events = await asyncio.gather(
            *(_redeem(cluster, b"8", idempotency_key) for _ in range(6))
        )
        assert cluster.executions() == [b"8"]
        assert sum(isinstance(event, AnswerPlain) for event in events) == 1
        for event in events:
            if not isinstance(event, AnswerPlain):
                refusal = refusal_of([event])
                assert refusal.reason is RefusalReason.ALREADY_CLAIMED
                assert refusal.ran is not Ran.NO
        await cluster.stop()

    run_virtual(scenario())


def test_a_key_with_another_body_is_refused() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        idempotency_key = cluster.idempotency_key("another1")
        await _redeem(cluster, b"1", idempotency_key)
        refusal = refusal_of([await _redeem(cluster, b"2", idempotency_key)])
        assert refusal.reason is RefusalReason.KEY_REUSED
        assert cluster.executions() == [b"1"]
        await cluster.stop()

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("idempotency_key", "reason"),
    [
        ("nonsense", RefusalReason.KEY_MALFORMED),
        ("20200101T000000Z-abcdefgh", RefusalReason.KEY_EXPIRED),
        ("20990101T000000Z-abcdefgh", RefusalReason.KEY_MALFORMED),
        ("20261399T000000Z-abcdefgh", RefusalReason.KEY_MALFORMED),
    ],
)
def test_keys_that_are_malformed_or_out_of_the_window_are_refused(
    idempotency_key: str, reason: RefusalReason
) -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        with pytest.raises(RefusedError) as caught:
            await _redeem(cluster, b"1", idempotency_key)
        assert caught.value.refusal.reason is reason
        assert cluster.executions() == []
        await cluster.stop()

    run_virtual(scenario())


def test_a_lost_answer_leaves_the_outcome_unknown_and_is_not_rerun() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for server in cluster.plain_servers.values():
            server.lost_answers = 1
        idempotency_key = cluster.idempotency_key("lost0001")
        first = refusal_of([await _redeem(cluster, b"5", idempotency_key)])
        assert first.ran is Ran.UNKNOWN
        await asyncio.sleep(1)
        second = refusal_of([await _redeem(cluster, b"5", idempotency_key)])
        assert second.reason is RefusalReason.ALREADY_CLAIMED
        assert second.ran is Ran.UNKNOWN
        assert cluster.executions() == [b"5"]
        await cluster.stop()

    run_virtual(scenario())


def test_a_request_that_did_not_run_may_be_repeated() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for server in cluster.plain_servers.values():
            server.is_down = True
        idempotency_key = cluster.idempotency_key("notrun01")
        first = refusal_of([await _redeem(cluster, b"6", idempotency_key)])
        assert first.ran is Ran.NO
        assert cluster.executions() == []
        for server in cluster.plain_servers.values():
            server.is_down = False
        await asyncio.sleep(3)
        assert isinstance(await _redeem(cluster, b"6", idempotency_key), AnswerPlain)
        assert cluster.executions() == [b"6"]
        await cluster.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("offset", [1, 2, 3])
def test_faults_of_the_claim_write_cause_no_second_run_or_wrong_outcome(
    fault: StoreFault, offset: int
) -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for host in cluster.hosts.values():
            session = host.session
            for number in range(
                session.write_count + 1, session.write_count + 1 + offset
            ):
                session.write_faults[number] = fault
        idempotency_key = cluster.idempotency_key("faulty01")
        event = await _redeem(cluster, b"9", idempotency_key)
        executions = len(cluster.executions())
        if isinstance(event, AnswerPlain):
            assert executions == 1
        else:
            assert refusal_of([event]).ran is Ran.NO
            assert executions == 0
        await asyncio.sleep(30)
        for host in cluster.hosts.values():
            host.session.write_faults.clear()
        again = await _redeem(cluster, b"9", idempotency_key)
        assert isinstance(again, AnswerPlain)
        assert cluster.executions() == [b"9"]
        await cluster.stop()

    run_virtual(scenario())


def test_an_owner_lost_after_sending_leaves_the_outcome_unknown() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        for server in cluster.plain_servers.values():
            server.delay_seconds = 2.0
        idempotency_key = cluster.idempotency_key("ownerx01")
        call = asyncio.ensure_future(_redeem(cluster, b"4", idempotency_key))
        await asyncio.sleep(0.5)
        host = next(
            name
            for name, fake_host in cluster.hosts.items()
            if any(owner.running for owner in fake_host.keeper.owners.values())
        )
        await cluster.crash(host)
        refusal = refusal_of([await call])
        assert refusal.ran is Ran.UNKNOWN
        await asyncio.sleep(10)
        again = refusal_of([await _redeem(cluster, b"4", idempotency_key)])
        assert again.ran is Ran.UNKNOWN
        assert len(cluster.executions()) <= 1
        await cluster.stop()

    run_virtual(scenario())


def test_a_request_without_a_key_is_sent_at_most_once() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster(
            plan=LabPlan(domains=("d1",), plain_servers_per_domain=3)
        )
        await cluster.start()
        for server in cluster.plain_servers.values():
            server.lost_answers = 1
        refusal = refusal_of([await _redeem(cluster, b"3", None)])
        assert refusal.ran is Ran.UNKNOWN
        assert cluster.executions() == [b"3"]
        await cluster.stop()

    run_virtual(scenario())
