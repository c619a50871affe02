"""Read the entries of single servers from the metadata store."""

import asyncio
from typing import Final

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

# A caller waits for this, and another host may be able to read the store.
_READ_TIMEOUT_SECONDS: Final = 0.2
# Leaves connections to the store for the calls that keep this host up to date.
_MAX_CONCURRENT_READS: Final = 2


# What a read raises if the entry is not known.
READ_ERRORS: Final = (StoreError, DeclarationError)


class EntryReader:
    """Read what a server has registered, as of now rather than of the last poll.

    Calls for the same server share a read that has not been sent yet.
    """

    def __init__(self, store: MetadataStore, decoder: MetadataDecoder) -> None:
        self._store = store
        self._decoder = decoder
        self._queued: dict[ServerId, asyncio.Task[ServerEntry | None]] = {}
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
        try:
            async with asyncio.timeout(_READ_TIMEOUT_SECONDS):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise StoreUnansweredError(
                f"the entry of {server} was not read within {_READ_TIMEOUT_SECONDS} s"
            ) from error

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
