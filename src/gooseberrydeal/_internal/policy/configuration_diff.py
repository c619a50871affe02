"""Compare and rebase configurations."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import EntryKey
from gooseberrydeal._internal.policy.configuration_chunks import RawEntries


@dataclass(frozen=True, slots=True)
class ConfigurationDiff:
    """List the keys in which two configurations differ."""

    added: tuple[EntryKey, ...]
    removed: tuple[EntryKey, ...]
    changed: tuple[EntryKey, ...]

    @property
    def keys(self) -> frozenset[EntryKey]:
        """Return every key that differs."""
        return frozenset(self.added + self.removed + self.changed)

    @classmethod
    def between(cls, old: RawEntries, new: RawEntries) -> "ConfigurationDiff":
        """Return what leads from the old configuration to the new one."""
        return cls(
            added=tuple(sorted(new.keys() - old.keys())),
            removed=tuple(sorted(old.keys() - new.keys())),
            changed=tuple(
                sorted(key for key in old.keys() & new.keys() if old[key] != new[key])
            ),
        )
