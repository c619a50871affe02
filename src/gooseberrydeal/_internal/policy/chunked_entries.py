"""Look up configuration entries in chunks, parsing them on demand."""

import json
from collections import OrderedDict
from collections.abc import Iterator, Sequence
from typing import Final

from pydantic import ValidationError

from gooseberrydeal._internal.models.entries import ENTRY_ADAPTER, Entry, key_of
from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.policy.configuration_chunks import chunk_index

_MAX_CACHED_ENTRIES: Final = 4096
_MAX_CACHED_CHUNKS: Final = 8


class ChunkedEntries:
    """Parse entries on first use and cache a bounded number of them.

    Keeping tens of thousands of adapters parsed would exceed the memory budget of a
    node's control plane, and most adapters are idle.
    """

    def __init__(self, chunks: Sequence[bytes]) -> None:
        self._chunks = chunks
        self._entry_cache: OrderedDict[EntryKey, Entry | None] = OrderedDict()
        self._chunk_cache: OrderedDict[int, dict[str, object]] = OrderedDict()

    def find(self, key: EntryKey) -> Entry | None:
        """Return an entry, or ``None`` if it is missing or invalid."""
        if key in self._entry_cache:
            self._entry_cache.move_to_end(key)
            return self._entry_cache[key]
        entry = self._parse_entry(key)
        self._entry_cache[key] = entry
        if len(self._entry_cache) > _MAX_CACHED_ENTRIES:
            self._entry_cache.popitem(last=False)
        return entry

    def keys(self) -> Iterator[EntryKey]:
        """Yield the keys of all entries, including invalid ones."""
        for chunk in self._chunks:
            for key in json.loads(chunk):
                yield EntryKey(key)

    def _parse_entry(self, key: EntryKey) -> Entry | None:
        raw = self._parsed_chunk(chunk_index(key)).get(key)
        if raw is None:
            return None
        try:
            entry = ENTRY_ADAPTER.validate_python(raw)
        except ValidationError:
            return None
        return entry if key_of(entry) == key else None

    def _parsed_chunk(self, index: int) -> dict[str, object]:
        parsed = self._chunk_cache.get(index)
        if parsed is None:
            parsed = json.loads(self._chunks[index])
            self._chunk_cache[index] = parsed
            if len(self._chunk_cache) > _MAX_CACHED_CHUNKS:
                self._chunk_cache.popitem(last=False)
        return parsed
