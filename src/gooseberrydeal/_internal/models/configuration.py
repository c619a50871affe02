"""Provide lookup of the entries of a configuration."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from gooseberrydeal._internal.models.adapter import Adapter
from gooseberrydeal._internal.models.alias import Alias
from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.caller import Caller
from gooseberrydeal._internal.models.entries import Entry, key_of
from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.models.operation import Operation
from gooseberrydeal._internal.models.platform_limits import PlatformLimits
from gooseberrydeal._internal.models.service import Service
from gooseberrydeal._internal.models.work_class import WorkClass

_DEFAULT_WORK_CLASS = WorkClass(name="default")
_DEFAULT_LIMITS = PlatformLimits(loads_per_second=1, loads_at_full_speed=1)


class EntrySource(Protocol):
    """Provide entries on demand where there are too many to keep them all parsed."""

    def find(self, key: EntryKey) -> Entry | None:
        """Return the entry with this key, ``None`` if there is no valid one."""
        ...

    def keys(self) -> Iterable[EntryKey]:
        """Return the keys of all entries in the source."""
        ...


class Configuration:
    """Look up the entries of one immutable configuration."""

    def __init__(
        self, entries: Iterable[Entry], source: EntrySource | None = None
    ) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        for entry in entries:
            self._entries[key_of(entry)] = entry
        self._source = source
        self._callers_by_hash = {
            digest: caller
            for caller in self._entries.values()
            if isinstance(caller, Caller)
            for digest in caller.key_hashes
        }

    @property
    def entries(self) -> Mapping[EntryKey, Entry]:
        """Return the entries that are held in memory in parsed form, by key."""
        return self._entries

    @property
    def servers(self) -> list[BackendServer]:
        """Return the declared backend servers."""
        return [e for e in self._entries.values() if isinstance(e, BackendServer)]

    @property
    def services(self) -> list[Service]:
        """Return the declared services."""
        return [e for e in self._entries.values() if isinstance(e, Service)]

    @property
    def limits(self) -> PlatformLimits:
        """Return the declared platform limits, by default the strictest possible."""
        entry = self._entries.get(EntryKey("limits/platform"))
        return entry if isinstance(entry, PlatformLimits) else _DEFAULT_LIMITS

    def model_names(self) -> list[str]:
        """Return the sorted names of all adapters and aliases."""
        keys = set(self._entries)
        if self._source is not None:
            keys.update(self._source.keys())
        prefixes = ("adapter/", "alias/")
        return sorted(key.partition("/")[2] for key in keys if key.startswith(prefixes))

    def adapter(self, name: str) -> Adapter | None:
        """Return the adapter with this name, if declared."""
        entry = self._find(f"adapter/{name}")
        return entry if isinstance(entry, Adapter) else None

    def alias(self, name: str) -> Alias | None:
        """Return the alias with this name, if declared."""
        entry = self._find(f"alias/{name}")
        return entry if isinstance(entry, Alias) else None

    def service(self, name: str) -> Service | None:
        """Return the service with this name, if declared."""
        entry = self._entries.get(EntryKey(f"service/{name}"))
        return entry if isinstance(entry, Service) else None

    def server(self, name: str) -> BackendServer | None:
        """Return the backend server with this name, if declared."""
        entry = self._entries.get(EntryKey(f"server/{name}"))
        return entry if isinstance(entry, BackendServer) else None

    def operation(self, service: str, name: str) -> Operation | None:
        """Return the operation of a plain service with this name, if declared."""
        found = self.service(service)
        if found is None:
            return None
        return next((item for item in found.operations if item.name == name), None)

    def work_class(self, name: str) -> WorkClass:
        """Return the work class with this name, or one with default settings."""
        entry = self._entries.get(EntryKey(f"class/{name}"))
        return entry if isinstance(entry, WorkClass) else _DEFAULT_WORK_CLASS

    def has_class(self, name: str) -> bool:
        """Return whether a work class with this name is declared."""
        return f"class/{name}" in self._entries

    def caller_with_key_hash(self, digest: str) -> Caller | None:
        """Return the caller whose API key has this SHA-256 digest, if any."""
        return self._callers_by_hash.get(digest)

    def _find(self, key: str) -> Entry | None:
        entry = self._entries.get(EntryKey(key))
        if entry is None and self._source is not None:
            return self._source.find(EntryKey(key))
        return entry
