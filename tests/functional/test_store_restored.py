"""Check that hosts go on when the metadata store is restored from an older copy."""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydeal._internal.exceptions import (
    LeaseLostError,
    StoreHistoryError,
    StoreUnansweredError,
)
from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.lab.router.metadata_app import MetadataApp
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.platform.store_client import PlatformStore
from tests.lib.fake_engine_orders import FakeAdapterEngine
from tests.lib.owner_world import (
    SERVER,
    OwnerHost,
    check_orders,
    new_engine,
    new_store_data,
    report_demand,
    write_platform_entries,
)
from tests.lib.virtual_loop import run_virtual

# Entries are back within two seconds; an owner that lives goes on soon after.
_RECOVERY_SECONDS = 6.0
# Another host takes an engine over when its last owner cannot give orders any more
# (11 s), after the entries are back and the last owner did not claim it again (2 s
# each), and calls to the store that was cut off have failed (1.5 s, before and after).
_TAKEOVER_SECONDS = 18.0
_REWRITE_SECONDS = 1.2
_LEASE_SECONDS = 9.0
# More seeds can be run by hand.
_SEEDS = range(int(os.environ.get("RESTORE_SEEDS", "8")))


def _loads_after(engine: FakeAdapterEngine, time: float) -> list[float]:
    return [at for at, _ in engine.log if at > time]


@pytest.mark.parametrize("copied_at", [0.0, 3.0])
def test_adapters_are_loaded_again_after_the_store_went_back(copied_at: float) -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        saved = data.copy()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await report_demand(hosts, 3.0, first=0)
        if copied_at:
            saved = data.copy()
        await report_demand(hosts, 4.0, first=20)
        restored_at = asyncio.get_running_loop().time()
        data.restore(saved)
        await asyncio.sleep(_REWRITE_SECONDS)
        write_platform_entries(data, engine)
        await report_demand(hosts, 10.0, first=50)
        assert _loads_after(engine, restored_at)[0] < restored_at + _RECOVERY_SECONDS
        check_orders(engine)

    run_virtual(scenario())


def test_an_owner_that_the_copy_names_does_not_take_turns_with_a_later_one() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await report_demand(hosts, 4.0, first=0)
        first_owner = next(host for host in hosts if host.is_owner)
        saved = data.copy()
        first_owner.store.is_cut = True
        await report_demand(hosts, 40.0, first=20)
        later_owner = next(host for host in hosts if host is not first_owner)
        assert later_owner.is_owner
        first_owner.store.is_cut = False
        data.restore(saved)
        write_platform_entries(data, engine)
        restored_at = asyncio.get_running_loop().time()
        await report_demand(hosts, _TAKEOVER_SECONDS, first=300)
        assert _loads_after(engine, restored_at)
        check_orders(engine)

    run_virtual(scenario())


def test_an_owner_that_the_copy_names_waits_for_a_later_one_that_is_gone() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2)]
        await report_demand(hosts, 4.0, first=0)
        first_owner = next(host for host in hosts if host.is_owner)
        later_owner = next(host for host in hosts if host is not first_owner)
        saved = data.copy()
        first_owner.store.is_cut = True
        await report_demand(hosts, 40.0, first=20)
        first_owner.store.is_cut = False
        await report_demand(hosts, 3.0, first=300)
        await later_owner.kill()
        now = asyncio.get_running_loop().time()
        data.restore(saved, leases_until=now + _LEASE_SECONDS)
        write_platform_entries(data, engine)
        await report_demand([first_owner], 40.0, first=400)
        assert engine.log[-1][1].holder == first_owner.name
        check_orders(engine)

    run_virtual(scenario())


@pytest.mark.parametrize("seed", _SEEDS)
def test_fencing_numbers_rise_under_random_restorations(seed: int) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        data, engine = new_store_data(), new_engine()
        hosts = [OwnerHost(f"h{n}", data, engine).start() for n in (1, 2, 3)]
        saved = data.copy()
        for step in range(12):
            await report_demand(hosts, rng.uniform(0.5, 9.0), first=50 * step)
            action = rng.random()
            if action < 0.4:
                now = asyncio.get_running_loop().time()
                data.restore(saved, now + rng.choice([0.0, _LEASE_SECONDS]))
                await asyncio.sleep(rng.uniform(0.0, _REWRITE_SECONDS))
                write_platform_entries(data, engine)
            elif action < 0.7:
                saved = data.copy()
            else:
                host = rng.choice(hosts)
                host.store.is_cut = not host.store.is_cut
        for host in hosts:
            host.store.is_cut = False
        calm_at = asyncio.get_running_loop().time()
        await report_demand(hosts, _TAKEOVER_SECONDS, first=900)
        assert _loads_after(engine, calm_at)
        check_orders(engine)

    run_virtual(scenario())


def test_a_server_that_was_removed_is_not_used_again() -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        data.write("servers/i-2", b"1", None)
        host = OwnerHost("h1", data, engine).start()
        await asyncio.sleep(1.0)
        saved = data.copy()
        data.write("servers/i-2", None, None)
        await asyncio.sleep(1.0)
        data.restore(saved)
        await asyncio.sleep(1.0)
        assert {record.id for record in host.servers.records} == {SERVER}
        data.write("servers/i-2", b"1", None)
        await asyncio.sleep(1.0)
        assert host.servers.get(ServerId("i-2")) is not None

    run_virtual(scenario())


def _run_client(
    scenario: Callable[[MetadataApp, PlatformStore], Awaitable[None]],
) -> None:
    async def run() -> None:
        address = free_address()
        app = MetadataApp()
        host, port = address.rsplit(":", 1)
        server = HttpServer(app.app(), host, int(port))
        await server.start()
        await scenario(app, PlatformStore(address))
        await server.abort()

    asyncio.run(run())


def test_the_client_reports_a_restored_store_and_orders_its_revisions() -> None:
    async def scenario(app: MetadataApp, client: PlatformStore) -> None:
        app.put("op/config", b"1")
        saved = app.save()
        first = await client.put("k", b"1", if_revision=0)
        page = await client.list("")
        assert first is not None
        assert page.revision == first
        app.restore(saved)
        with pytest.raises(StoreHistoryError, match="restored"):
            await client.changes("", page.revision, 0.05, 1.0)
        second = await client.put("k", b"2", if_revision=0)
        assert second is not None
        assert second > first
        assert await client.put("k", b"3", if_revision=second) is not None
        assert [item.revision for item in (await client.list("k")).items] > [second]

    _run_client(scenario)


def test_a_lease_of_an_earlier_epoch_has_ended_although_its_number_is_used() -> None:
    async def scenario(app: MetadataApp, client: PlatformStore) -> None:
        saved = app.save()
        lost = await client.grant_lease(9.0)
        app.restore(saved)
        current = await client.grant_lease(9.0)
        assert current != lost
        assert not await client.renew_lease(lost)
        await client.end_lease(lost)
        assert await client.renew_lease(current)
        with pytest.raises(LeaseLostError):
            await client.put("k", b"1", lease=lost)

    _run_client(scenario)


def test_responses_that_do_not_say_the_epoch_or_an_older_one_change_nothing() -> None:
    async def scenario(app: MetadataApp, client: PlatformStore) -> None:
        app.set_epoch(2)
        app.put("op/config", b"1")
        page = await client.list("")
        app.set_epoch(None)
        assert (await client.changes("", page.revision, 0.05, 1.0)).items == ()
        app.set_epoch(1)
        with pytest.raises(StoreUnansweredError):
            await client.list("")
        app.set_epoch(2)
        assert (await client.list("")).revision == page.revision

    _run_client(scenario)
