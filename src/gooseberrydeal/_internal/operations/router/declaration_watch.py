"""Learn at once what operators declare, between two reads of all changes."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import StoreError, StoreHistoryError
from gooseberrydeal._internal.models.routing.store_item import StorePage
from gooseberrydeal._internal.models.routing.store_revision import epoch_of
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.metadata.change_reader import (
    LARGE_BYTES,
    read_newest,
)
from gooseberrydeal._internal.operations.router.metadata_follower import (
    MetadataFollower,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView

logger = logging.getLogger(__name__)

# How long the store may hold a watch request open when nothing is declared.
_WATCH_WAIT_SECONDS: Final = 20.0
_WATCH_GRACE_SECONDS: Final = 1.2
# Shortest time between two reads, in which several changes may come together.
_PAUSE_SECONDS: Final = 1.0
# The same after a large declaration, which takes time to arrive.
_LARGE_PAUSE_SECONDS: Final = 0.5
# A response so many times as long as the largest value holds several versions of it.
# Values are sent as base64, which makes one longer by a third.
_SEVERAL_VERSIONS: Final = 2.0
# How often it is checked whether the watch can begin.
_RECHECK_SECONDS: Final = 0.3


class DeclarationWatch:
    """Hold a watch of the declarations' keys open at the store.

    Servers rewrite their entries all the time, so a watch of all keys returns at once,
    and its reads are paced. Declarations are rare: a held watch of their keys costs few
    reads and returns when there is one. The paced reads of the follower return the same
    changes, but for those that follow a large configuration soon: they are read here,
    without the configurations in between.
    """

    def __init__(
        self,
        store: MetadataStore,
        view: MetadataView,
        decoder: MetadataDecoder,
        follower: MetadataFollower,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._decoder = decoder
        self._follower = follower
        self._clock = clock
        self._largest_bytes = 0

    async def run(self) -> None:
        """Watch from the revision up to which all changes were read, until cancelled.

        After a failure this waits until the follower's reads show that the store is
        back.
        """
        failed_at = -math.inf
        while True:
            is_listed = self._view.is_complete and self._view.revision > 0
            if is_listed and self._view.last_response_at > failed_at:
                try:
                    await self._watch(self._view.revision)
                except StoreHistoryError as error:
                    logger.info("declarations are watched anew: %s", error)
                except StoreError as error:
                    logger.info("watch of the declarations failed: %s", error)
                failed_at = self._clock()
                self._follower.read_soon()
            await asyncio.sleep(_RECHECK_SECONDS)

    async def _watch(self, revision: int) -> None:
        """Apply changes after a revision until the store is restored from a copy."""
        reader = self._follower.reader
        while epoch_of(revision) == self._view.store_epoch:
            with reader.large_declarations():
                began_at, wait = self._view.proof.now(), _WATCH_WAIT_SECONDS
                while True:
                    page = await self._read(revision, wait)
                    revision = max(revision, page.revision)
                    self._follower.declarations_read(page, began_at)
                    if not page.items or not reader.is_declaration_pending:
                        break
                    await asyncio.sleep(_LARGE_PAUSE_SECONDS)
                    began_at, wait = self._view.proof.now(), 0.0
            if page.items:
                await asyncio.sleep(_PAUSE_SECONDS)

    async def _read(self, revision: int, wait: float) -> StorePage:
        """Return the declarations after a revision, of several large ones the newest.

        Raises :class:`StoreHistoryError` if the store was restored since then.
        """

        def on_size(size: int) -> None:
            self._follower.reader.declaration_begins(size)
            largest = max(LARGE_BYTES, self._largest_bytes)
            if size > largest * _SEVERAL_VERSIONS:
                call.cancel()

        call = asyncio.ensure_future(
            self._store.changes(
                self._decoder.declaration_prefix,
                revision,
                wait,
                _WATCH_GRACE_SECONDS,
                on_size,
            )
        )
        try:
            await asyncio.wait({call})
        finally:
            call.cancel()
        if call.cancelled():
            page = await self._read_newest(revision)
        else:
            page = call.result()
        if epoch_of(page.revision) != self._view.store_epoch:
            raise StoreHistoryError("the store was restored from a copy")
        sizes = [len(item.value or b"") for item in page.items]
        self._largest_bytes = max(self._largest_bytes, *sizes, 0)
        return page

    async def _read_newest(self, revision: int) -> StorePage:
        """Return the newest configuration and the versions after a revision."""
        newest = await read_newest(
            self._store, self._decoder.configuration_key, revision
        )
        versions = await self._store.changes(
            self._decoder.version_prefix, revision, 0.0, _WATCH_GRACE_SECONDS
        )
        return StorePage(
            (*newest.items, *versions.items), min(newest.revision, versions.revision)
        )
