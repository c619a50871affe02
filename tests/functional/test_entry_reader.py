"""Check reads of single entries from the metadata store."""

import asyncio

import pytest

from gooseberrydeal._internal.exceptions import DeclarationError, StoreUnansweredError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.store_item import StorePage
from gooseberrydeal._internal.operations.router.entry_reader import EntryReader
from tests.lib.fake_metadata_store import FakeMetadataStore, StoreData
from tests.lib.restored_world import SERVER_PREFIX, NumberDecoder
from tests.lib.virtual_loop import run_virtual

_SERVER = ServerId("i-1")


class _SlowStore(FakeMetadataStore):
    """Count the listings, each of which takes 10 ms."""

    def __init__(self, data: StoreData) -> None:
        super().__init__(data)
        self.listings = 0

    async def list(self, prefix: str) -> StorePage:
        self.listings += 1
        await asyncio.sleep(0.01)
        return await super().list(prefix)


def test_an_entry_is_that_of_the_server_alone() -> None:
    async def run() -> None:
        data = StoreData()
        reader = EntryReader(FakeMetadataStore(data), NumberDecoder())
        assert await reader.read(_SERVER) is None
        data.write(f"{SERVER_PREFIX}i-10", b"9", None)
        assert await reader.read(_SERVER) is None
        data.write(f"{SERVER_PREFIX}i-1", b"5", None)
        entry = await reader.read(_SERVER)
        assert entry is not None
        assert (entry.id, entry.started_at) == (_SERVER, 5)

    run_virtual(run())


def test_calls_at_the_same_time_share_a_read_and_later_ones_read_again() -> None:
    async def run() -> None:
        data = StoreData()
        data.write(f"{SERVER_PREFIX}i-1", b"5", None)
        store = _SlowStore(data)
        reader = EntryReader(store, NumberDecoder())
        calls = [asyncio.create_task(reader.read(_SERVER)) for _ in range(20)]
        await asyncio.sleep(0.005)
        assert store.listings == 1
        later = asyncio.create_task(reader.read(_SERVER))
        entries = await asyncio.gather(*calls)
        assert {entry.started_at for entry in entries if entry} == {5}
        await later
        assert store.listings == 2

    run_virtual(run())


def test_an_entry_that_is_not_known_is_an_error_at_once() -> None:
    async def run() -> None:
        data = StoreData()
        store = FakeMetadataStore(data)
        reader = EntryReader(store, NumberDecoder())
        data.write(f"{SERVER_PREFIX}i-1", b"unreadable", None)
        with pytest.raises(DeclarationError):
            await reader.read(_SERVER)
        store.is_silent = True
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(StoreUnansweredError):
            await reader.read(_SERVER)
        assert asyncio.get_running_loop().time() - started_at < 0.3
        await reader.stop()

    run_virtual(run())


def test_the_entries_of_all_servers_leave_out_invalid_ones() -> None:
    async def run() -> None:
        data = StoreData()
        for number, value in enumerate((b"5", b"unreadable", b"7")):
            data.write(f"{SERVER_PREFIX}i-{number}", value, None)
        data.write("configuration", b"1", None)
        reader = EntryReader(FakeMetadataStore(data), NumberDecoder())
        entries = await reader.read_all()
        started = {entry.id: entry.started_at for entry in entries}
        assert started == {"i-0": 5, "i-2": 7}

    run_virtual(run())


def test_many_calls_for_all_servers_read_them_only_a_few_times_a_second() -> None:
    async def run() -> None:
        data = StoreData()
        store = _SlowStore(data)
        reader = EntryReader(store, NumberDecoder())
        calls = []
        for number in range(50):
            data.write(f"{SERVER_PREFIX}i-{number}", b"5", None)
            calls.append(asyncio.create_task(reader.read_all()))
            await asyncio.sleep(0.02)
        for number, entries in enumerate(await asyncio.gather(*calls)):
            assert len(entries) > number
        assert store.listings <= 6

    run_virtual(run())


def test_a_silent_store_is_an_error_soon() -> None:
    async def run() -> None:
        store = FakeMetadataStore(StoreData())
        store.is_silent = True
        reader = EntryReader(store, NumberDecoder())
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(StoreUnansweredError):
            await reader.read_all()
        assert asyncio.get_running_loop().time() - started_at < 0.5
        await reader.stop()

    run_virtual(run())
