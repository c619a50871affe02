"""Check a host's copy of the metadata during and after outages of the store."""

import asyncio

import pytest

from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.operations.router.metadata_view import (
    HOST_PREFIX,
)
from tests.lib.follower_world import start_host
from tests.lib.routing_builders import membership
from tests.lib.virtual_loop import run_virtual


def test_a_server_that_leaves_is_removed_within_a_second() -> None:
    async def scenario() -> None:
        host = await start_host("i-1", "i-2")
        host.data.write("servers/i-2", None, None)
        await host.rewrite_entries(1.0)
        assert host.known_servers() == {"i-1"}

    run_virtual(scenario())


def test_servers_whose_entries_expired_in_an_outage_are_kept_for_a_while() -> None:
    async def scenario() -> None:
        host = await start_host("i-1", "i-2", "i-3")
        host.store.is_cut = True
        await asyncio.sleep(4.0)
        host.data.write("servers/i-2", None, None)
        host.data.write("servers/i-3", None, None)
        await asyncio.sleep(2.0)
        host.store.is_cut = False
        await host.rewrite_entries(2.0)
        assert host.known_servers() == {"i-1", "i-2", "i-3"}
        await host.rewrite_entries(1.0, ("i-1", "i-2"))
        await host.rewrite_entries(3.0, ("i-1", "i-2"))
        assert host.known_servers() == {"i-1", "i-2"}

    run_virtual(scenario())


def test_a_server_that_left_right_after_an_outage_is_removed_in_time() -> None:
    async def seconds_known_after(outage: float) -> float:
        """Return for how many seconds after the outage the server is still known."""
        host = await start_host("i-1", "i-2")
        loop = asyncio.get_running_loop()
        host.store.is_cut = True
        await asyncio.sleep(outage)
        host.store.is_cut = False
        response_before = host.view.last_response_at
        while host.view.last_response_at == response_before:
            await asyncio.sleep(0.01)
        recovered_at = loop.time()
        host.data.write("servers/i-2", None, None)
        while "i-2" in host.known_servers():
            host.data.write("servers/i-1", b"1", None)
            await asyncio.sleep(0.02)
        await host.tasks.stop()
        return loop.time() - recovered_at

    async def scenario() -> None:
        for outage in (4.0, 4.2, 4.4, 4.6, 4.8):
            # Within three seconds of its recovery the store is authoritative again.
            assert await seconds_known_after(outage) < 2.5

    run_virtual(scenario())


def test_all_items_are_read_again_after_the_history_was_compacted() -> None:
    async def scenario() -> None:
        host = await start_host("i-1", "i-2")
        host.store.is_cut = True
        await asyncio.sleep(3.0)
        host.data.write("declared/configuration", b"9", None)
        host.data.write("servers/i-2", None, None)
        host.data.compact_history()
        host.store.is_cut = False
        await host.rewrite_entries(6.0)
        assert host.view.configuration is not None
        assert host.view.configuration.version == 9
        assert host.known_servers() == {"i-1"}

    run_virtual(scenario())


def test_a_configuration_is_applied_soon_after_a_silent_store_recovers() -> None:
    async def scenario() -> None:
        host = await start_host("i-1")
        host.store.is_silent = True
        await asyncio.sleep(6.0)
        host.data.write("declared/configuration", b"9", None)
        host.store.is_silent = False
        await host.rewrite_entries(2.0)
        assert host.view.configuration is not None
        assert host.view.configuration.version == 9

    run_virtual(scenario())


def test_versions_never_decrease() -> None:
    async def scenario() -> None:
        host = await start_host("i-1")
        host.data.write("declared/configuration", b"8", None)
        host.data.write("declared/versions/a1", b"3", None)
        await host.rewrite_entries(1.0)
        host.data.write("declared/configuration", b"7", None)
        host.data.write("declared/versions/a1", b"2", None)
        await host.rewrite_entries(2.0)
        assert host.view.configuration is not None
        assert host.view.configuration.version == 8
        assert host.view.newest_version(AdapterKey("base", "a1")) == 3

    run_virtual(scenario())


def test_an_unreadable_entry_affects_only_its_own_server() -> None:
    async def scenario() -> None:
        host = await start_host("i-1", "i-2")
        host.data.write("servers/i-2", b"rubbish", None)
        host.data.write("servers/i-3", b"1", None)
        await host.rewrite_entries(1.0)
        assert host.known_servers() == {"i-1", "i-3"}

    run_virtual(scenario())


def test_hosts_are_counted_until_they_had_time_to_register_again() -> None:
    async def scenario() -> None:
        host = await start_host("i-1")
        for name in ("h1", "h2", "h3"):
            host.data.write(f"{HOST_PREFIX}{name}", membership(name).encode(), None)
        await host.rewrite_entries(2.0)
        assert len(host.view.hosts) == 3
        saved = host.data.copy()
        for name in ("h1", "h2", "h3"):
            del saved.items[f"{HOST_PREFIX}{name}"]
        host.data.restore(saved)
        await host.rewrite_entries(2.0)
        assert len(host.view.hosts) == 3
        host.data.write(f"{HOST_PREFIX}h1", membership("h1").encode(), None)
        await host.rewrite_entries(2.0)
        assert list(host.view.hosts) == ["h1"]

    run_virtual(scenario())


def test_hosts_whose_leases_ran_out_in_an_outage_are_counted_for_a_while() -> None:
    async def scenario() -> None:
        host = await start_host("i-1")
        for name in ("h1", "h2"):
            host.data.write(f"{HOST_PREFIX}{name}", membership(name).encode(), None)
        await host.rewrite_entries(2.0)
        host.store.is_cut = True
        await asyncio.sleep(4.0)
        for name in ("h1", "h2"):
            host.data.write(f"{HOST_PREFIX}{name}", None, None)
        host.store.is_cut = False
        await host.rewrite_entries(3.0)
        assert len(host.view.hosts) == 2
        host.data.write(f"{HOST_PREFIX}h1", membership("h1").encode(), None)
        await host.rewrite_entries(3.0)
        assert list(host.view.hosts) == ["h1"]

    run_virtual(scenario())


def test_a_host_that_stops_is_no_longer_counted_at_once() -> None:
    async def scenario() -> None:
        host = await start_host("i-1")
        host.data.write(f"{HOST_PREFIX}h2", membership("h2").encode(), None)
        await host.rewrite_entries(2.0)
        host.data.write(f"{HOST_PREFIX}h2", None, None)
        await host.rewrite_entries(1.0)
        assert not host.view.hosts

    run_virtual(scenario())


def test_the_starts_of_servers_are_known_once_the_store_answers_for_a_while() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        host = await start_host("i-1")
        assert host.view.starts_known_until < started_at
        await host.rewrite_entries(3.0)
        assert host.view.starts_known_until > started_at
        host.store.is_cut = True
        await asyncio.sleep(6.0)
        known_until = host.view.starts_known_until
        host.store.is_cut = False
        await host.rewrite_entries(2.0)
        assert host.view.starts_known_until == known_until
        returned_at = loop.time()
        await host.rewrite_entries(5.0)
        assert host.view.starts_known_until > returned_at

    run_virtual(scenario())


def test_an_invalid_entry_is_logged_once_until_it_changes(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        host = await start_host("i-1")
        for value in (b"odd", b"odd", b"odd", b"1", b"odd"):
            host.data.write("servers/i-2", value, None)
            await host.rewrite_entries(2.0)

    run_virtual(scenario())
    found = [r for r in caplog.records if "ignoring invalid metadata" in r.message]
    assert len(found) == 2
