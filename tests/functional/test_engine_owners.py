"""Check that each engine gets orders from one owner at a time, within its limits."""

import asyncio

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import OrderAction
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    CopyUse,
    EngineUsage,
)
from tests.lib.fake_engine_orders import MAX_CONCURRENT_LOADS, FakeAdapterEngine
from tests.lib.owner_world import (
    HANDOVER_GAP_SECONDS,
    SERVER,
    OwnerHost,
    new_engine,
    new_store_data,
)
from tests.lib.routing_builders import MODEL, copy_key
from tests.lib.virtual_loop import run_virtual


async def _report_demand(
    hosts: list[OwnerHost], seconds: float, adapters: int = 50
) -> None:
    """Report demand for one adapter after the other, every 0.2 s."""
    for step in range(int(seconds / 0.2)):
        for host in hosts:
            host.report_copies([copy_key(f"a{step % adapters}")])
        await asyncio.sleep(0.2)


def _check_handovers(engine: FakeAdapterEngine) -> None:
    """Check that fencing numbers rise and that there is a gap between two holders."""
    for (previous_at, previous), (at, order) in zip(
        engine.log, engine.log[1:], strict=False
    ):
        assert order.fencing_number >= previous.fencing_number
        if order.holder != previous.holder:
            assert order.fencing_number > previous.fencing_number
            assert at - previous_at >= HANDOVER_GAP_SECONDS


def test_a_first_owner_sends_orders_at_once() -> None:
    async def scenario() -> None:
        engine = new_engine()
        host = OwnerHost("h1", new_store_data(), engine).start()
        await asyncio.sleep(2.0)
        host.report_copies([copy_key("a1")])
        await asyncio.sleep(0.4)
        assert copy_key("a1") in engine.copies
        assert host.statuses[-1].may_load

    run_virtual(scenario())


def test_an_owner_that_loses_the_store_is_replaced_without_overlap() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await _report_demand(hosts, 3.0)
        owner = next(host for host in hosts if host.is_owner)
        owner.store.is_cut = True
        await _report_demand(hosts, 45.0)
        owner.store.is_cut = False
        await _report_demand(hosts, 12.0)
        _check_handovers(engine)
        assert len({order.holder for _, order in engine.log}) == len(hosts)

    run_virtual(scenario())


def test_an_owner_whose_lease_is_revoked_stops_before_the_next_begins() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await _report_demand(hosts, 3.0)
        owner = next(host for host in hosts if host.is_owner)
        owner.store.is_cut = True
        assert owner.lease.lease is not None
        data.revoke_lease(owner.lease.lease)
        await _report_demand(hosts, 4.0)
        owner.store.is_cut = False
        await _report_demand(hosts, 40.0)
        _check_handovers(engine)
        assert engine.log[-1][0] > engine.log[0][0] + 30.0

    run_virtual(scenario())


def test_a_new_lease_does_not_revive_an_old_owner_record() -> None:
    """The metadata view may still show an owner record whose lease has ended."""

    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _report_demand([host], 3.0)
        first_fencing_number = engine.log[-1][1].fencing_number
        assert host.lease.lease is not None
        data.revoke_lease(host.lease.lease)
        started_at = asyncio.get_running_loop().time()
        await _report_demand([host], 30.0)
        later_orders = [order for at, order in engine.log if at > started_at + 2.0]
        assert later_orders
        assert all(
            order.fencing_number > first_fencing_number for order in later_orders
        )

    run_virtual(scenario())


def test_a_restarted_host_takes_its_engine_over_at_once() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _report_demand([host], 3.0)
        await host.kill()
        restarted = OwnerHost(
            "h1", data, engine, is_first_start=False, number=2
        ).start()
        await _report_demand([restarted], 3.0)
        _check_handovers(engine)
        assert engine.log[-1][1].fencing_number > engine.log[0][1].fencing_number

    run_virtual(scenario())


def test_a_host_that_starts_later_waits_before_its_first_order() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        host = OwnerHost("h1", data, engine, is_first_start=False).start()
        started_at = asyncio.get_running_loop().time()
        await _report_demand([host], 20.0)
        assert engine.log[0][0] - started_at > HANDOVER_GAP_SECONDS

    run_virtual(scenario())


def test_a_new_engine_gets_orders_at_once() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        host = OwnerHost("h1", data, engine, is_first_start=False).start()
        await asyncio.sleep(2.0)
        data.write("servers/i-2", b"1", None)
        await asyncio.sleep(2.0)
        assert ServerId("i-2") in host.ownership.owners
        assert {s.server for s in host.statuses if s.may_load} == {"i-2"}

    run_virtual(scenario())


def test_slot_and_concurrent_load_limits_are_never_exceeded() -> None:
    async def scenario() -> None:
        engine = new_engine(slots=6)
        host = OwnerHost("h1", new_store_data(), engine).start()
        await asyncio.sleep(2.0)
        for step in range(200):
            load_requests = [copy_key(f"a{(step * 7 + n) % 40}") for n in range(9)]
            host.report_copies(load_requests)
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            assert len(engine.loading(now)) <= MAX_CONCURRENT_LOADS
        assert engine.crashes == 0
        assert len(engine.log) > 60

    run_virtual(scenario())


def test_copies_in_use_are_not_unloaded() -> None:
    async def scenario() -> None:
        engine = new_engine(slots=2)
        host = OwnerHost("h1", new_store_data(), engine).start()
        await asyncio.sleep(2.0)
        host.report_copies([copy_key("a1"), copy_key("a2")])
        await asyncio.sleep(1.5)
        for number in range(10):
            host.report_copies([copy_key(f"b{number}")], {copy_key("a1"): 1})
            await asyncio.sleep(0.8)
        unloaded = {
            order.adapter
            for _, order in engine.log
            if order.action is OrderAction.UNLOAD
        }
        assert "a1" not in unloaded
        assert "a2" in unloaded

    run_virtual(scenario())


def test_an_order_without_an_answer_is_not_carried_out_after_newer_ones() -> None:
    async def scenario() -> None:
        engine = new_engine(slots=2)
        host = OwnerHost("h1", new_store_data(), engine).start()
        await asyncio.sleep(2.0)
        host.orders.delayed_orders = 1
        host.report_copies([copy_key("a1")])
        await asyncio.sleep(2.0)
        await _report_demand([host], 10.0, adapters=5)
        assert engine.crashes == 0
        expected_counts = [order.expected_order_count for _, order in engine.log]
        assert len(set(expected_counts)) < len(expected_counts)

    run_virtual(scenario())


def test_a_restarted_engine_is_queried_again_and_gets_its_model() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _report_demand([host], 3.0)
        engine.restart()
        data.write(f"servers/{SERVER}", b"2", None)
        await _report_demand([host], 6.0)
        assert engine.base_models == {MODEL}
        assert engine.copies
        assert engine.crashes == 0
        states = {copy.state for copy in host.statuses[-1].copies}
        assert states <= {CopyState.READY, CopyState.LOADING}
        held = {copy.key for copy in host.statuses[-1].copies}
        assert held == set(engine.copies)

    run_virtual(scenario())


def test_a_server_entry_older_than_a_restart_does_not_override_the_report() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _report_demand([host], 3.0)
        engine.restart()
        host.report_copies([copy_key("b1")])
        await asyncio.sleep(1.0)
        reports_before = host.orders.report_count
        # The store still holds the server entry of the first start.
        await _report_demand([host], 3.0)
        assert engine.base_models == {MODEL}
        assert engine.copies
        assert host.orders.report_count - reports_before <= 2

    run_virtual(scenario())


def test_a_newer_version_replaces_an_idle_copy() -> None:
    async def scenario() -> None:
        engine = new_engine(slots=1)
        host = OwnerHost("h1", new_store_data(), engine).start()
        await asyncio.sleep(2.0)
        host.report_copies([copy_key("a1", 1)])
        await asyncio.sleep(1.0)
        host.report_copies([AdapterCopyKey(MODEL, "a1", 2)])
        await asyncio.sleep(1.0)
        assert list(engine.copies) == [copy_key("a1", 2)]
        assert engine.crashes == 0

    run_virtual(scenario())


def test_requests_that_come_too_early_correct_the_expected_ready_time() -> None:
    """Simulate a host that sends at the published ready time.

    If the copy is not ready by then, the host reports it as missing.
    """

    async def scenario() -> None:
        engine = new_engine(slots=3)
        host = OwnerHost("h1", new_store_data(), engine).start()
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        early_requests = 0
        for number in range(80):
            key = copy_key(f"a{number}")
            host.report_copies([key])
            await asyncio.sleep(0.02)
            status = host.statuses[-1]
            (copy,) = [copy for copy in status.copies if copy.key == key]
            await asyncio.sleep(copy.ready_in)
            if engine.copies[key] > loop.time():
                early_requests += number >= 40
                load_requests = (CopyLoadRequest(key, 1, 0.5, is_missing=True),)
                host.report(EngineUsage(SERVER, 0, 0, 0, load_requests=load_requests))
                await asyncio.sleep(engine.copies[key] - loop.time())
            use = CopyUse(key, 0, number + 1)
            host.report(EngineUsage(SERVER, 0, 0, 0, copy_uses=(use,)))
            await asyncio.sleep(0.7)
        assert early_requests <= 4

    run_virtual(scenario())
