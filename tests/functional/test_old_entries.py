"""Check that no entry of an engine, however old, lets its owner exceed the slots."""

import asyncio
from dataclasses import replace

import pytest

from tests.lib.entry_world import EntryWorld
from tests.lib.fake_engine_orders import LOAD_SECONDS
from tests.lib.routing_builders import copy_key
from tests.lib.virtual_loop import run_virtual

# Entries are compared after a time without orders.
_QUIET_SECONDS = 4.0


async def _fill(world: EntryWorld) -> None:
    """Fill all slots; an entry is written while the last copy is on its way."""
    await asyncio.sleep(1.0)
    for number in range(1, world.slots + 1):
        world.request([copy_key(f"a{number}")])
        await asyncio.sleep(LOAD_SECONDS / 2)
        world.write_entry()
        await asyncio.sleep(1.0)


async def _request_more(world: EntryWorld) -> None:
    for number in range(101, 105):
        world.request([copy_key(f"a{number}")])
        await asyncio.sleep(1.0)


@pytest.mark.parametrize("age", [0, 1])
@pytest.mark.parametrize("slots", [1, 2, 17])
def test_an_entry_written_during_a_load_frees_no_slot(slots: int, age: int) -> None:
    """LIMIT: an old list with an equal count of orders hid a copy from the owner."""

    async def scenario() -> None:
        world = EntryWorld(slots)
        await _fill(world)
        await asyncio.sleep(_QUIET_SECONDS)
        world.read_entry(age)
        await _request_more(world)
        assert world.engine.crashes == 0
        assert copy_key("a104") in world.engine.copies
        world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("host", ["h1", "h2"])
def test_an_old_entry_frees_no_slot_for_a_new_owner(host: str) -> None:
    """LIMIT: an owner that had sent no order yet took entries as they are."""

    async def scenario() -> None:
        world = EntryWorld()
        await _fill(world)
        world.replace_owner(host, 0)
        await asyncio.sleep(1.0)
        world.read_entry(0)
        await _request_more(world)
        assert world.engine.crashes == 0
        assert copy_key("a104") in world.engine.copies
        world.stop()

    run_virtual(scenario())


def test_an_entry_of_an_earlier_start_clears_no_copies() -> None:
    """LIMIT: an old entry read late was taken for a restart of the engine."""

    async def scenario() -> None:
        world = EntryWorld()
        world.restart_engine()
        world.write_entry()
        world.read_entry(0)
        await _fill(world)
        await asyncio.sleep(_QUIET_SECONDS)
        copies = set(world.owner._slots.copies)
        world.read_entry(len(world.entries) - 1)
        assert set(world.owner._slots.copies) == copies
        reports = world.orders.report_count
        for _ in range(10):
            world.read_entry(len(world.entries) - 1)
            await asyncio.sleep(0.5)
        assert world.orders.report_count == reports + 1
        await _request_more(world)
        assert world.engine.crashes == 0
        world.stop()

    run_virtual(scenario())


def test_entries_cost_no_reads_of_the_report_while_orders_are_sent() -> None:
    async def scenario() -> None:
        world = EntryWorld()
        await _fill(world)
        await _request_more(world)
        reports = world.orders.report_count
        for age in range(len(world.entries)):
            world.read_entry(age)
            await asyncio.sleep(0.4)
        assert world.orders.report_count == reports
        world.stop()

    run_virtual(scenario())


def test_an_entry_without_a_list_of_adapters_costs_no_read_of_the_report() -> None:
    async def scenario() -> None:
        world = EntryWorld()
        await _fill(world)
        await asyncio.sleep(_QUIET_SECONDS)
        reports = world.orders.report_count
        world.owner.reconcile_entry(replace(world.entries[-1], held=None))
        await asyncio.sleep(1.0)
        assert world.orders.report_count == reports
        world.stop()

    run_virtual(scenario())


def test_copies_that_an_engine_has_lost_are_found_by_its_entry() -> None:
    async def scenario() -> None:
        world = EntryWorld()
        await _fill(world)
        await asyncio.sleep(_QUIET_SECONDS)
        world.engine.copies.clear()
        world.write_entry()
        world.read_entry(0)
        await asyncio.sleep(1.0)
        assert not world.owner._slots.copies
        world.stop()

    run_virtual(scenario())


def test_an_order_that_the_owner_does_not_know_of_is_found_by_an_entry() -> None:
    async def scenario() -> None:
        world = EntryWorld()
        await _fill(world)
        await asyncio.sleep(_QUIET_SECONDS)
        world.engine.order_count += 1
        world.write_entry()
        world.read_entry(0)
        await asyncio.sleep(1.0)
        assert world.owner._sequence.count == world.engine.order_count
        world.stop()

    run_virtual(scenario())


def test_a_restart_that_an_entry_shows_is_found_at_once() -> None:
    async def scenario() -> None:
        world = EntryWorld()
        await _fill(world)
        world.restart_engine()
        world.write_entry()
        world.read_entry(0)
        assert not world.owner._slots.copies
        # The entry may be old, so no order goes by its count.
        assert not world.owner._sequence.is_count_known
        await _request_more(world)
        assert copy_key("a104") in world.engine.copies
        assert world.engine.crashes == 0
        world.stop()

    run_virtual(scenario())


def test_an_owner_keeps_to_the_slots_that_are_configured_now() -> None:
    """LIMIT: an owner kept to the number of slots that was configured at its start."""

    async def scenario() -> None:
        world = EntryWorld(slots=4)
        await _fill(world)
        world.configure(2)
        world.engine.slots = 2
        await _request_more(world)
        assert world.engine.crashes == 0
        assert copy_key("a104") in world.engine.copies
        assert len(world.engine.copies) == 2
        world.stop()

    run_virtual(scenario())
