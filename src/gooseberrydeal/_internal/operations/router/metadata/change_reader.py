"""Read changes in the metadata store, and each large declaration only once."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from gooseberrydeal._internal.exceptions import StoreHistoryError
from gooseberrydeal._internal.models.routing.read_changes import ReadChanges
from gooseberrydeal._internal.models.routing.store_item import StoreItem, StorePage
from gooseberrydeal._internal.models.routing.store_revision import epoch_of
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.metadata_view import OWN_PREFIX

logger = logging.getLogger(__name__)

# How long the store may hold a watch request open when there is no change. Servers
# update their entries more often than this, so the full wait is rare.
_WATCH_WAIT_SECONDS: Final = 0.3
# Time-out of a watch request beyond its wait, since a connection or the store may stop
# responding for good. Together with the wait and the delay before the next attempt, it
# stays within the 2 s allowed for adopting a new configuration.
_WATCH_GRACE_SECONDS: Final = 1.2
# So many bytes take 0.1 s on a link of 5 Mbit/s.
LARGE_BYTES: Final = 65_536


class ChangeReader:
    """Read what changed after a revision, with calls that suit the size of it.

    The store returns each version of a configuration that it has held since then. On a
    slow link a large one delays all other changes, so it is left to the watch of the
    declarations while that reads one. After a read that failed it is read by itself,
    without the versions before it.
    """

    def __init__(self, store: MetadataStore, decoder: MetadataDecoder) -> None:
        self._store = store
        self._decoder = decoder
        self._declared_until = 0
        self._is_declaration_pending = False
        self._has_failed = False

    @property
    def is_declaration_pending(self) -> bool:
        """Return whether a large declaration is read elsewhere."""
        return self._is_declaration_pending

    @contextmanager
    def large_declarations(self) -> Iterator[None]:
        """Leave out declarations that are read elsewhere, if a large one is."""
        try:
            yield
        finally:
            self._is_declaration_pending = False

    def declaration_begins(self, size: int) -> None:
        """Take account of the size in bytes of declarations that begin to arrive."""
        if size >= LARGE_BYTES and not self._is_declaration_pending:
            logger.info("reading declarations of %d bytes", size)
            self._is_declaration_pending = True

    def declarations_read(self, revision: int) -> None:
        """Take account of a read of all declarations up to a revision."""
        self._declared_until = revision

    def failed(self) -> None:
        """Take account of a read that failed, after which more has changed."""
        self._has_failed = True

    async def read(self, after: int) -> ReadChanges:
        """Return the changes after a revision; raise as the store's calls do."""
        if self._is_declaration_pending:
            changes = await self._read_undeclared(after)
        elif self._has_failed:
            changes = await self._read_parts(after)
        else:
            page = await self._changes("", after, _WATCH_WAIT_SECONDS)
            changes = ReadChanges(page.items, page.revision)
        self._has_failed = False
        return changes

    async def _read_undeclared(self, after: int) -> ReadChanges:
        """Return the changes of all but declarations."""
        pages = [
            await self._changes(self._decoder.server_prefix, after),
            await self._changes(OWN_PREFIX, after),
        ]
        revision = min(self._declared_until, *(page.revision for page in pages))
        return ReadChanges(_items(pages), max(after, revision), is_proof=False)

    async def _read_parts(self, after: int) -> ReadChanges:
        """Return the changes of each part, and only the newest configuration."""
        pages = [
            await self._changes(self._decoder.server_prefix, after),
            await self._changes(OWN_PREFIX, after),
            await self._changes(self._decoder.version_prefix, after),
            await read_newest(self._store, self._decoder.configuration_key, after),
        ]
        return ReadChanges(_items(pages), min(page.revision for page in pages))

    async def _changes(self, prefix: str, after: int, wait: float = 0.0) -> StorePage:
        return await self._store.changes(prefix, after, wait, _WATCH_GRACE_SECONDS)


async def read_newest(store: MetadataStore, key: str, after: int) -> StorePage:
    """Return the newest change of a key after a revision, if there is one.

    Raises :class:`StoreHistoryError` if the store was restored since then.
    """
    page = await store.get(key)
    if epoch_of(page.revision) != epoch_of(after):
        raise StoreHistoryError("the store was restored from a copy")
    items = tuple(item for item in page.items if item.revision > after)
    return StorePage(items, page.revision)


def _items(pages: list[StorePage]) -> tuple[StoreItem, ...]:
    return tuple(item for page in pages for item in page.items)
