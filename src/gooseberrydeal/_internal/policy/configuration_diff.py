"""Compare two configurations."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.policy.configuration_chunks import RawEntries


@dataclass(frozen=True, slots=True)
class ConfigurationDiff:
    """List the keys of the entries that differ between two configurations."""

    added: tuple[EntryKey, ...]
    removed: tuple[EntryKey, ...]
    changed: tuple[EntryKey, ...]

    @property
    def keys(self) -> frozenset[EntryKey]:
        """Return all keys that differ."""
        return frozenset(self.added + self.removed + self.changed)

    @classmethod
    def between(cls, old: RawEntries, new: RawEntries) -> "ConfigurationDiff":
        """Return the changes from the old configuration to the new one."""
        return cls(
            added=tuple(sorted(new.keys() - old.keys())),
            removed=tuple(sorted(old.keys() - new.keys())),
            changed=tuple(
                sorted(key for key in old.keys() & new.keys() if old[key] != new[key])
            ),
        )
