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
