"""Read entries from chunks without keeping all of them parsed."""

import json
from collections import OrderedDict
from collections.abc import Iterator, Sequence
from typing import Final

from pydantic import ValidationError

from gooseberrydeal._internal.models.entries import ENTRY_ADAPTER, Entry, key_of
from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.policy.configuration_chunks import chunk_index

_KEPT_ENTRIES: Final = 4096
_KEPT_CHUNKS: Final = 8


class ChunkedEntries:
    """Parse adapters when they are asked for, and keep the last ones.

    Tens of thousands of parsed adapters would take more memory than a node may
    spend on control, and most are idle.
    """

    def __init__(self, chunks: Sequence[bytes]) -> None:
        self._chunks = chunks
        self._entries: OrderedDict[EntryKey, Entry | None] = OrderedDict()
        self._parsed: OrderedDict[int, dict[str, object]] = OrderedDict()

    def find(self, key: EntryKey) -> Entry | None:
        """Return an entry, or ``None`` if it is absent or malformed."""
        if key in self._entries:
            self._entries.move_to_end(key)
            return self._entries[key]
        entry = self._parse(key)
        self._entries[key] = entry
        if len(self._entries) > _KEPT_ENTRIES:
            self._entries.popitem(last=False)
        return entry

    def keys(self) -> Iterator[EntryKey]:
        """Yield the keys of all entries."""
        for chunk in self._chunks:
            for key in json.loads(chunk):
                yield EntryKey(key)

    def _parse(self, key: EntryKey) -> Entry | None:
        raw = self._chunk(chunk_index(key)).get(key)
        if raw is None:
            return None
        try:
            entry = ENTRY_ADAPTER.validate_python(raw)
        except ValidationError:
            return None
        return entry if key_of(entry) == key else None

    def _chunk(self, index: int) -> dict[str, object]:
        found = self._parsed.get(index)
        if found is None:
            found = json.loads(self._chunks[index])
            self._parsed[index] = found
            if len(self._parsed) > _KEPT_CHUNKS:
                self._parsed.popitem(last=False)
        return found
