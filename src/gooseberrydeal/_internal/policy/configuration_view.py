"""Build a configuration from chunks, skipping invalid entries."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from pydantic import ValidationError

from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.entries import ENTRY_ADAPTER, Entry, key_of
from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.policy.chunked_entries import ChunkedEntries
from gooseberrydeal._internal.policy.declaration_check import entry_problems

_LAZY_KEY_PREFIXES: Final = ("adapter/", "alias/")


@dataclass(frozen=True)
class ConfigurationView:
    """Hold the valid entries of a revision and, by key, why others were skipped."""

    configuration: Configuration
    skipped: dict[EntryKey, str] = field(default_factory=dict)

    @classmethod
    def from_chunks(cls, chunks: Sequence[bytes]) -> "ConfigurationView":
        """Build a view in which an invalid entry does not affect the valid ones.

        Adapters and aliases are not parsed here but on first use, since there may be
        tens of thousands of them.
        """
        raw: dict[EntryKey, Any] = {}
        for chunk in chunks:
            for key, value in json.loads(chunk).items():
                if not key.startswith(_LAZY_KEY_PREFIXES):
                    raw[EntryKey(key)] = value
        entries, skipped = _parse_entries(raw)
        source = ChunkedEntries(chunks)
        unfiltered = Configuration(entries.values(), source)
        for key, entry in entries.items():
            problems = entry_problems(entry, unfiltered)
            if problems:
                skipped[key] = problems[0]
        usable = [entry for key, entry in entries.items() if key not in skipped]
        return cls(Configuration(usable, source), skipped)


def _parse_entries(
    raw: Mapping[EntryKey, Any],
) -> tuple[dict[EntryKey, Entry], dict[EntryKey, str]]:
    entries: dict[EntryKey, Entry] = {}
    skipped: dict[EntryKey, str] = {}
    for key, value in raw.items():
        try:
            entry = ENTRY_ADAPTER.validate_python(value)
        except ValidationError as error:
            skipped[key] = (
                f"schema validation failed: {error.error_count()} invalid fields"
            )
            continue
        if key_of(entry) != key:
            skipped[key] = f"key mismatch: the fields of the entry give {key_of(entry)}"
            continue
        entries[key] = entry
    return entries, skipped
