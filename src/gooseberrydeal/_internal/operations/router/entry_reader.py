"""Read the entries of servers from the metadata store."""

import asyncio
import logging
from typing import Final, TypeVar

from gooseberrydeal._internal.exceptions import (
    DeclarationError,
    StoreError,
    StoreUnansweredError,
)
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_ResultT = TypeVar("_ResultT")

# A caller waits for this, and another host may be able to read the store.
_READ_TIMEOUT_SECONDS: Final = 0.2
# Leaves connections to the store for the calls that keep this host up to date.
_MAX_CONCURRENT_READS: Final = 2
# The entries of all servers take far more of the store's time than one of them.
_FULL_READ_INTERVAL_SECONDS: Final = 0.2

# What a read raises if the entry is not known.
READ_ERRORS: Final = (StoreError, DeclarationError)


class EntryReader:
    """Read what servers have registered, as of now rather than of the last poll.

    Calls for the same server, or for all, share a read that has not been sent yet.
    """

    def __init__(self, store: MetadataStore, decoder: MetadataDecoder) -> None:
        self._store = store
        self._decoder = decoder
        self._queued: dict[ServerId, asyncio.Task[ServerEntry | None]] = {}
        self._queued_full_read: asyncio.Task[list[ServerEntry]] | None = None
        self._next_full_read_at = 0.0
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)
        self._tasks = TaskOwner()

    async def stop(self) -> None:
        """Cancel all reads."""
        await self._tasks.stop()

    async def read(self, server: ServerId) -> ServerEntry | None:
        """Return the entry of a server, ``None`` if there is none.

        Raises :class:`StoreError` if the store does not answer soon, and
        :class:`DeclarationError` if the entry is invalid.
        """
        task = self._queued.get(server)
        if task is None:
            task = self._tasks.start(
                self._read(server), f"entry of {server}", READ_ERRORS
            )
            self._queued[server] = task
        return await _wait(task, f"the entry of {server}", _READ_TIMEOUT_SECONDS)

    async def read_all(self) -> list[ServerEntry]:
        """Return the entries of all servers, without those that are invalid.

        Raises :class:`StoreError` if the store does not answer soon.
        """
        task = self._queued_full_read
        if task is None:
            task = self._tasks.start(self._read_all(), "all entries", READ_ERRORS)
            self._queued_full_read = task
        seconds = _FULL_READ_INTERVAL_SECONDS + _READ_TIMEOUT_SECONDS
        return await _wait(task, "the entries of all servers", seconds)

    async def _read(self, server: ServerId) -> ServerEntry | None:
        async with self._slots:
            # Later calls need an entry that was read after them.
            del self._queued[server]
            key = self._decoder.server_key(server)
            page = await self._store.list(key)
        for item in page.items:
            if item.key == key and item.value is not None:
                return self._decoder.server(server, item.value)
        return None

    async def _read_all(self) -> list[ServerEntry]:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._next_full_read_at - loop.time())
        async with self._slots:
            self._queued_full_read = None
            self._next_full_read_at = loop.time() + _FULL_READ_INTERVAL_SECONDS
            page = await self._store.list(self._decoder.server_key(ServerId("")))
        entries = []
        for item in page.items:
            server = self._decoder.server_id(item.key)
            if server is None or item.value is None:
                continue
            try:
                entries.append(self._decoder.server(server, item.value))
            except DeclarationError as error:
                logger.info("left out an invalid entry of a server: %s", error)
        return entries


async def _wait(task: asyncio.Task[_ResultT], what: str, seconds: float) -> _ResultT:
    try:
        async with asyncio.timeout(seconds):
            return await asyncio.shield(task)
    except TimeoutError as error:
        raise StoreUnansweredError(
            f"{what} could not be read within {seconds} s"
        ) from error
