"""Split a configuration into content-addressed chunks."""

import json
from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import Any, Final

from gooseberrydeal._internal.models.entries import Entry, key_of
from gooseberrydeal._internal.models.ids import EntryKey

CHUNK_COUNT: Final = 256

RawEntries = Mapping[EntryKey, Mapping[str, Any]]


def canonical_json(value: object) -> bytes:
    """Return the canonical JSON encoding of a value: sorted keys, no whitespace."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def raw_entries(entries: Iterable[Entry]) -> dict[EntryKey, dict[str, Any]]:
    """Return the entries as JSON-compatible dictionaries by key."""
    return {key_of(entry): entry.model_dump(mode="json") for entry in entries}


def chunk_index(key: EntryKey) -> int:
    """Return the index of the chunk that holds an entry."""
    return int.from_bytes(sha256(key.encode()).digest()[:4], "big") % CHUNK_COUNT


def digest_of(chunk: bytes) -> str:
    """Return the content address of a chunk, its SHA-256 in hexadecimal."""
    return sha256(chunk).hexdigest()


def split(entries: RawEntries) -> tuple[bytes, ...]:
    """Split entries into ``CHUNK_COUNT`` encoded chunks, ordered by index."""
    parts: list[dict[str, Mapping[str, Any]]] = [{} for _ in range(CHUNK_COUNT)]
    for key, value in entries.items():
        parts[chunk_index(key)][key] = value
    return tuple(canonical_json(part) for part in parts)


def join(chunks: Iterable[bytes]) -> dict[EntryKey, dict[str, Any]]:
    """Return the entries of encoded chunks by key."""
    entries: dict[EntryKey, dict[str, Any]] = {}
    for chunk in chunks:
        for key, value in json.loads(chunk).items():
            entries[EntryKey(key)] = value
    return entries
