"""Check that requests are served while calls to the platform fail or get lost."""

import asyncio

import pytest

from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from tests.lib.answers import is_whole, refusal_of
from tests.lib.fake_store import StoreFault
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import InMemoryCluster


def _set_down(cluster: InMemoryCluster, *, is_down: bool) -> None:
    for host in cluster.hosts.values():
        host.session.is_down = is_down


def test_owners_keep_serving_while_the_platform_is_down() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        _set_down(cluster, is_down=True)
        cluster.host_list.is_down = True
        await asyncio.sleep(60)
        for host in cluster.hosts.values():
            own_state = host.keeper.context.view.hosts[host.keeper.context.host]
            assert "platform_unreachable" in own_state.alarms
        for number in range(12):
            events = await cluster.complete(f"a{number:05d}", prompt="down")
            assert is_whole(events)
        await cluster.stop()

    run_virtual(scenario())


def test_only_requests_that_need_no_claim_run_while_the_platform_is_down() -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.start()
        assert cluster.entry is not None
        _set_down(cluster, is_down=True)
        await asyncio.sleep(10)
        calls = cluster.entry.plain_calls
        idempotency_key = cluster.idempotency_key("outage01")
        refused = await calls.run(cluster.plain_order(b"1"), idempotency_key)
        refusal = refusal_of([refused])
        assert refusal.reason is RefusalReason.CLAIMS_UNAVAILABLE
        assert refusal.ran is Ran.NO
        assert cluster.executions() == []
        balance = await calls.run(cluster.plain_order(b"2", "balance"), None)
        assert not hasattr(balance, "refusal")
        _set_down(cluster, is_down=False)
        await asyncio.sleep(10)
        repeated = await calls.run(cluster.plain_order(b"1"), idempotency_key)
        assert not hasattr(repeated, "refusal")
        assert cluster.executions().count(b"1") == 1
        await cluster.stop()

    run_virtual(scenario())


def test_a_keeper_that_starts_in_an_outage_gets_the_configuration_from_peers() -> None:
    async def scenario() -> None:
        plan = LabPlan(domains=("d1",), engines_per_domain=2, adapters=20)
        cluster = InMemoryCluster(hosts={"h1": "d1", "h2": "d1", "h3": "d1"}, plan=plan)
        await cluster.submit()
        await cluster.start_keeper("h1")
        await cluster.start_keeper("h2")
        await cluster.start_entry()
        await asyncio.sleep(8)
        _set_down(cluster, is_down=True)
        late_host = await cluster.start_keeper("h3")
        late_host.session.is_down = True
        await asyncio.sleep(6)
        assert late_host.keeper.configuration.number == 1
        await cluster.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("number", range(1, 15))
def test_any_fault_of_a_write_during_startup_leaves_one_owner_per_server(
    fault: StoreFault, number: int
) -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.submit()
        first = await cluster.start_keeper("h1")
        first.session.write_faults[number] = fault
        second = await cluster.start_keeper("h2")
        second.session.write_faults[number] = fault
        await cluster.start_entry()
        await cluster.wait_ready(60)
        await asyncio.sleep(6)
        owners = [set(h.keeper.owners) for h in cluster.hosts.values()]
        assert not owners[0] & owners[1]
        assert owners[0] | owners[1] == set(cluster.server_addresses)
        assert is_whole(await cluster.complete(prompt="after"))
        await cluster.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("number", range(1, 25, 2))
def test_startup_survives_any_fault_of_any_call(fault: StoreFault, number: int) -> None:
    async def scenario() -> None:
        cluster = InMemoryCluster()
        await cluster.submit()
        first = await cluster.start_keeper("h1")
        first.session.faults[number] = fault
        await cluster.start_keeper("h2")
        await cluster.start_entry()
        await cluster.wait_ready(60)
        assert is_whole(await cluster.complete(prompt="after"))
        await cluster.stop()

    run_virtual(scenario())
