"""Publish configuration revisions to the platform's store."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final
from uuid import uuid4

from gooseberrydeal._internal.exceptions import ConflictError, StoreError
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.entries import Entry
from gooseberrydeal._internal.models.ids import EntryKey, RevisionNumber
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.models.revision import Revision
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.operations.configuration_task import (
    CHUNK_PREFIX,
    ROOT_KEY,
)
from gooseberrydeal._internal.operations.resolved_write import write_resolved
from gooseberrydeal._internal.policy.configuration_chunks import (
    canonical_json,
    digest_of,
    join,
    raw_entries,
    split,
)
from gooseberrydeal._internal.policy.configuration_diff import ConfigurationDiff

HISTORY_PREFIX: Final = "config/history/"
_MAX_CHUNKS_PER_WRITE: Final = 16

RawMap = dict[EntryKey, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """Hold a published revision, its entries and the version of its root record.

    ``revision`` is ``None`` and ``mod_revision`` is 0 if nothing was published yet.
    ``mod_revision`` is the store revision at which the root was last written.
    """

    revision: Revision | None
    entries: RawMap
    mod_revision: int

    @property
    def number(self) -> RevisionNumber:
        """Return the revision's number, or 0 if there is none."""
        return RevisionNumber(0 if self.revision is None else self.revision.number)


class Publisher:
    """Publish revisions: write the chunks first, then compare-and-swap the root.

    Readers follow the root only, so they never see a partly written revision.
    """

    def __init__(self, store: KeyValueStore, author: str) -> None:
        self._store = store
        self._author = author

    async def current(self) -> PublishedConfiguration:
        """Return the current revision with its entries."""
        record = await self._store.get(ROOT_KEY)
        if record is None:
            return PublishedConfiguration(None, {}, 0)
        revision = decode_revision(record)
        return PublishedConfiguration(
            revision, await self._read_entries(revision), record.mod_revision
        )

    async def submit(
        self, entries: Sequence[Entry], base: int, *, allow_rebase: bool
    ) -> Revision:
        """Publish entries that were reviewed against a base revision.

        Raises :class:`ConflictError` if the configuration has changed since, unless
        ``allow_rebase`` is set and the changes concern other entries.
        """
        current = await self.current()
        new_entries: RawMap = raw_entries(entries)
        if current.number != base:
            new_entries = await self._rebased(
                current, new_entries, base, allow_rebase=allow_rebase
            )
        return await self.publish(
            current, new_entries, RevisionNumber(current.number + 1)
        )

    async def publish(
        self, current: PublishedConfiguration, entries: RawMap, number: RevisionNumber
    ) -> Revision:
        """Replace the current root by a new revision.

        Raises :class:`ConflictError` if the root has changed since it was read.
        """
        chunks = split(entries)
        digests = tuple(digest_of(chunk) for chunk in chunks)
        known = set(current.revision.chunks) if current.revision is not None else set()
        new_chunks = {
            d: c for d, c in zip(digests, chunks, strict=True) if d not in known
        }
        await self._write_chunks(new_chunks)
        revision = Revision(number, digests, uuid4().hex, self._author)
        data = encode_revision(revision)
        result = await write_resolved(
            self._store,
            ConditionalWrite(ROOT_KEY, current.mod_revision, data),
            lambda value: value == data,
        )
        if not result.applied:
            raise ConflictError(await self._conflict_message(current))
        await self._write_history(revision, data)
        return revision

    async def _write_chunks(self, chunks: dict[str, bytes]) -> None:
        items = list(chunks.items())
        for start in range(0, len(items), _MAX_CHUNKS_PER_WRITE):
            batch = items[start : start + _MAX_CHUNKS_PER_WRITE]
            writes = [ConditionalWrite(CHUNK_PREFIX + d, 0, c) for d, c in batch]
            await self._store.commit(writes)

    async def _write_history(self, revision: Revision, data: bytes) -> None:
        write = ConditionalWrite(f"{HISTORY_PREFIX}{revision.number:010d}", 0, data)
        await self._store.commit([write])

    async def _rebased(
        self,
        current: PublishedConfiguration,
        new_entries: RawMap,
        base: int,
        *,
        allow_rebase: bool,
    ) -> RawMap:
        old = await self._entries_at(base)
        theirs = ConfigurationDiff.between(old, current.entries)
        own = ConfigurationDiff.between(old, new_entries)
        conflicting = sorted(theirs.keys & own.keys)
        if conflicting or not allow_rebase:
            key_list = ", ".join(conflicting or sorted(theirs.keys)[:10])
            advice = "review them" if conflicting else "review them, or use --rebase"
            raise ConflictError(
                f"revision {current.number} is newer than your base {base}; it changed "
                f"{key_list}; {advice} and submit again"
            )
        merged = dict(current.entries)
        for key in own.removed:
            merged.pop(key, None)
        for key in own.added + own.changed:
            merged[key] = new_entries[key]
        return merged

    async def _entries_at(self, number: int) -> RawMap:
        if number == 0:
            return {}
        record = await self._store.get(f"{HISTORY_PREFIX}{number:010d}")
        if record is None:
            raise ConflictError(
                f"base revision {number} is not in the history; run diff again and use "
                "the base revision that it prints"
            )
        return await self._read_entries(decode_revision(record))

    async def _conflict_message(self, before: PublishedConfiguration) -> str:
        now = await self.current()
        diff = ConfigurationDiff.between(before.entries, now.entries)
        key_list = ", ".join(sorted(diff.keys)[:10])
        return (
            f"another operator published revision {now.number} at the same time and "
            f"changed: {key_list}; run diff and submit again"
        )

    async def _read_entries(self, revision: Revision) -> RawMap:
        chunks = []
        for digest in revision.chunks:
            record = await self._store.get(CHUNK_PREFIX + digest)
            if record is None:
                raise StoreError(
                    f"configuration chunk {digest} is missing in the platform's store"
                )
            chunks.append(record.value)
        return join(chunks)


def encode_revision(revision: Revision) -> bytes:
    """Return the stored form of a revision, the value of the root key."""
    return canonical_json(
        {
            "number": revision.number,
            "chunks": list(revision.chunks),
            "attempt": revision.attempt,
            "author": revision.author,
        }
    )


def decode_revision(record: Record) -> Revision:
    """Decode the revision in a record; raise :class:`StoreError` if malformed."""
    try:
        value = json.loads(record.value)
        return Revision(
            RevisionNumber(int(value["number"])),
            tuple(str(item) for item in value["chunks"]),
            str(value["attempt"]),
            str(value["author"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError(
            f"{record.key} in the platform's store is not a valid revision"
        ) from error
