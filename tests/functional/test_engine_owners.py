"""Check that engines get orders from one owner at a time, within their limits."""

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
from tests.lib.fake_engine_orders import MOST_IN_TRANSIT, FakeAdapterEngine
from tests.lib.owner_world import (
    SERVER,
    TURN_SECONDS,
    OwnerHost,
    new_data,
    new_engine,
)
from tests.lib.routing_builders import MODEL, copy_key
from tests.lib.virtual_loop import run_virtual


async def _ask(hosts: list[OwnerHost], seconds: float, adapters: int = 50) -> None:
    """Let callers ask for one adapter after the other."""
    for step in range(int(seconds / 0.2)):
        for host in hosts:
            host.request_loads([copy_key(f"a{step % adapters}")])
        await asyncio.sleep(0.2)


def _check_turns(engine: FakeAdapterEngine) -> None:
    """Check fencing numbers, and the pause between two holders."""
    for (before_at, before), (at, order) in zip(
        engine.log, engine.log[1:], strict=False
    ):
        assert order.fencing_number >= before.fencing_number
        if order.holder != before.holder:
            assert order.fencing_number > before.fencing_number
            assert at - before_at >= TURN_SECONDS


def test_a_first_owner_orders_at_once() -> None:
    async def play() -> None:
        engine = new_engine()
        host = OwnerHost("h1", new_data(), engine).start()
        await asyncio.sleep(2.0)
        host.request_loads([copy_key("a1")])
        await asyncio.sleep(0.4)
        assert copy_key("a1") in engine.copies
        assert host.statuses[-1].may_load

    run_virtual(play())


def test_owner_that_loses_the_store_gives_way_without_overlap() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await _ask(hosts, 3.0)
        owner = next(host for host in hosts if host.owns)
        owner.store.is_cut = True
        await _ask(hosts, 45.0)
        owner.store.is_cut = False
        await _ask(hosts, 12.0)
        _check_turns(engine)
        assert len({order.holder for _, order in engine.log}) == len(hosts)

    run_virtual(play())


def test_owner_whose_records_are_revoked_stops_before_the_next_begins() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await _ask(hosts, 3.0)
        owner = next(host for host in hosts if host.owns)
        owner.store.is_cut = True
        assert owner.lease.lease is not None
        data.end(owner.lease.lease)
        await _ask(hosts, 4.0)
        owner.store.is_cut = False
        await _ask(hosts, 40.0)
        _check_turns(engine)
        assert engine.log[-1][0] > engine.log[0][0] + 30.0

    run_virtual(play())


def test_a_new_lease_does_not_revive_an_old_claim() -> None:
    """The view may still show a claim whose lease has ended."""

    async def play() -> None:
        data, engine = new_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _ask([host], 3.0)
        fence = engine.log[-1][1].fencing_number
        assert host.lease.lease is not None
        data.end(host.lease.lease)
        begun = asyncio.get_running_loop().time()
        await _ask([host], 30.0)
        later = [order for at, order in engine.log if at > begun + 2.0]
        assert later
        assert all(order.fencing_number > fence for order in later)

    run_virtual(play())


def test_a_restarted_host_takes_its_engine_over_at_once() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _ask([host], 3.0)
        await host.kill()
        again = OwnerHost("h1", data, engine, is_first_start=False, number=2).start()
        await _ask([again], 3.0)
        _check_turns(engine)
        assert engine.log[-1][1].fencing_number > engine.log[0][1].fencing_number

    run_virtual(play())


def test_a_host_that_starts_later_waits_before_its_first_order() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        host = OwnerHost("h1", data, engine, is_first_start=False).start()
        begun = asyncio.get_running_loop().time()
        await _ask([host], 20.0)
        assert engine.log[0][0] - begun > TURN_SECONDS

    run_virtual(play())


def test_a_new_engine_gets_orders_at_once() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        host = OwnerHost("h1", data, engine, is_first_start=False).start()
        await asyncio.sleep(2.0)
        data.write("servers/i-2", b"1", None)
        await asyncio.sleep(2.0)
        assert ServerId("i-2") in host.ownership.owners
        assert {s.server for s in host.statuses if s.may_load} == {"i-2"}

    run_virtual(play())


def test_slots_and_transit_are_never_exceeded() -> None:
    async def play() -> None:
        engine = new_engine(slots=6)
        host = OwnerHost("h1", new_data(), engine).start()
        await asyncio.sleep(2.0)
        for step in range(200):
            load_requests = [copy_key(f"a{(step * 7 + n) % 40}") for n in range(9)]
            host.request_loads(load_requests)
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            assert len(engine.loading(now)) <= MOST_IN_TRANSIT
        assert engine.crashes == 0
        assert len(engine.log) > 60

    run_virtual(play())


def test_copies_in_use_stay() -> None:
    async def play() -> None:
        engine = new_engine(slots=2)
        host = OwnerHost("h1", new_data(), engine).start()
        await asyncio.sleep(2.0)
        host.request_loads([copy_key("a1"), copy_key("a2")])
        await asyncio.sleep(1.5)
        for number in range(10):
            host.request_loads([copy_key(f"b{number}")], {copy_key("a1"): 1})
            await asyncio.sleep(0.8)
        unloaded = {
            order.adapter
            for _, order in engine.log
            if order.action is OrderAction.UNLOAD
        }
        assert "a1" not in unloaded
        assert "a2" in unloaded

    run_virtual(play())


def test_an_order_without_an_answer_is_not_carried_out_after_newer_ones() -> None:
    async def play() -> None:
        engine = new_engine(slots=2)
        host = OwnerHost("h1", new_data(), engine).start()
        await asyncio.sleep(2.0)
        host.orders.delays_next = 1
        host.request_loads([copy_key("a1")])
        await asyncio.sleep(2.0)
        await _ask([host], 10.0, adapters=5)
        assert engine.crashes == 0
        counts = [order.expected_order_count for _, order in engine.log]
        assert len(set(counts)) < len(counts)

    run_virtual(play())


def test_a_restarted_engine_is_read_anew_and_gets_its_model() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _ask([host], 3.0)
        engine.restart()
        data.write(f"servers/{SERVER}", b"2", None)
        await _ask([host], 6.0)
        assert engine.base_models == {MODEL}
        assert engine.copies
        assert engine.crashes == 0
        states = {copy.state for copy in host.statuses[-1].copies}
        assert states <= {CopyState.READY, CopyState.LOADING}
        held = {copy.key for copy in host.statuses[-1].copies}
        assert held == set(engine.copies)

    run_virtual(play())


def test_an_entry_from_before_a_restart_does_not_undo_the_report() -> None:
    async def play() -> None:
        data, engine = new_data(), new_engine()
        host = OwnerHost("h1", data, engine).start()
        await _ask([host], 3.0)
        engine.restart()
        host.request_loads([copy_key("b1")])
        await asyncio.sleep(1.0)
        read = host.orders.reports
        # The store's entry is still the one of the first start.
        await _ask([host], 3.0)
        assert engine.base_models == {MODEL}
        assert engine.copies
        assert host.orders.reports - read <= 2

    run_virtual(play())


def test_a_newer_version_replaces_an_idle_copy() -> None:
    async def play() -> None:
        engine = new_engine(slots=1)
        host = OwnerHost("h1", new_data(), engine).start()
        await asyncio.sleep(2.0)
        host.request_loads([copy_key("a1", 1)])
        await asyncio.sleep(1.0)
        host.request_loads([AdapterCopyKey(MODEL, "a1", 2)])
        await asyncio.sleep(1.0)
        assert list(engine.copies) == [copy_key("a1", 2)]
        assert engine.crashes == 0

    run_virtual(play())


def test_requests_that_come_too_early_correct_the_expected_time() -> None:
    """Play a host that sends when the status says so, and tells what it met."""

    async def play() -> None:
        engine = new_engine(slots=3)
        host = OwnerHost("h1", new_data(), engine).start()
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        early = 0
        for number in range(80):
            key = copy_key(f"a{number}")
            host.request_loads([key])
            await asyncio.sleep(0.02)
            status = host.statuses[-1]
            (copy,) = [copy for copy in status.copies if copy.key == key]
            await asyncio.sleep(copy.ready_in)
            if engine.copies[key] > loop.time():
                early += number >= 40
                load_requests = (CopyLoadRequest(key, 1, 0.5, is_missing=True),)
                host.report(EngineUsage(SERVER, 0, 0, 0, load_requests=load_requests))
                await asyncio.sleep(engine.copies[key] - loop.time())
            use = CopyUse(key, 0, number + 1)
            host.report(EngineUsage(SERVER, 0, 0, 0, copy_uses=(use,)))
            await asyncio.sleep(0.7)
        assert early <= 4

    run_virtual(play())
