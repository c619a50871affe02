"""Split a configuration into content-addressed chunks."""

import json
from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import Any, Final

from gooseberrydeal._internal.models.entries import Entry, key_of
from gooseberrydeal._internal.models.ids import EntryKey

CHUNK_COUNT: Final = 256

RawEntries = Mapping[EntryKey, Mapping[str, Any]]


def canonical(value: object) -> bytes:
    """Return the one JSON text of a value."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def raw_entries(entries: Iterable[Entry]) -> dict[EntryKey, dict[str, Any]]:
    """Return the entries as JSON values by key."""
    return {key_of(entry): entry.model_dump(mode="json") for entry in entries}


def chunk_index(key: EntryKey) -> int:
    """Return the chunk in which an entry is kept."""
    return int.from_bytes(sha256(key.encode()).digest()[:4], "big") % CHUNK_COUNT


def digest_of(chunk: bytes) -> str:
    """Return the address of a chunk."""
    return sha256(chunk).hexdigest()


def split(entries: RawEntries) -> tuple[bytes, ...]:
    """Return the chunks of a configuration in order."""
    parts: list[dict[str, Mapping[str, Any]]] = [{} for _ in range(CHUNK_COUNT)]
    for key, value in entries.items():
        parts[chunk_index(key)][key] = value
    return tuple(canonical(part) for part in parts)


def join(chunks: Iterable[bytes]) -> dict[EntryKey, dict[str, Any]]:
    """Return the entries that the chunks hold."""
    entries: dict[EntryKey, dict[str, Any]] = {}
    for chunk in chunks:
        for key, value in json.loads(chunk).items():
            entries[EntryKey(key)] = value
    return entries
